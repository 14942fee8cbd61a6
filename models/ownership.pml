/*
 * The ownership of one cell with two workers and one exclusive task: an old
 * owner (A) that may be cut off, paused or late, and a successor (B) that claims
 * the cell by a log record. Checks that the task never runs twice.
 *
 * Each macro removes one rule; the check must then fail:
 *   NO_FENCE      workers accept commands with a lower token
 *   NO_HOLD       B starts before every worker was fenced or is gone
 *   NO_LOG_CHECK  A trusts a lapsed lease without reading the log
 *   STRAYS        B starts beside an attempt that it has asked to stop
 *   FORGET        a worker forgets an attempt whose start may still arrive
 *   NO_DOUBT      A trusts a lapsed lease although a start may still arrive
 */
#define WORKERS 2
#define ATTEMPTS 4 /* 0 and 1 are A's, 2 and 3 are B's */
#define NOWHERE WORKERS
#define A 0
#define B 1

#ifdef NO_DOUBT
#define NO_LATE_START true
#else
#define NO_LATE_START (!doubt_a)
#endif
#ifdef NO_LOG_CHECK
#define STILL_OWNER true
#else
#define STILL_OWNER (!b_claimed)
#endif
#ifdef STRAYS
#define NO_STRAYS true
#else
#define NO_STRAYS (!stray_b[0] && !stray_b[1])
#endif
#ifdef NO_HOLD
#define MAY_START true
#else
#define MAY_START ((fenced_b[0] || gone_b[0]) && (fenced_b[1] || gone_b[1]))
#endif

/* Workers. */
bool alive[WORKERS];
byte token[WORKERS];
bool running[WORKERS];
/* Time is left on the lease that an owner granted last. */
bool lease_a[WORKERS];
bool lease_b[WORKERS];
/* Attempts that a worker has started, and so does not start again. */
bool known0[ATTEMPTS];
bool known1[ATTEMPTS];
/* A start on its way that may arrive at any time, or never. */
byte late_attempt[WORKERS];
byte late_token[WORKERS];

/* The log: whose claim is in force. */
bool b_claimed;

/* What the owners believe. */
byte place_a = NOWHERE;
byte attempt_a;
bool doubt_a;
bool passive_a;
byte next_a;
byte place_b = NOWHERE;
byte attempt_b;
byte next_b = 2;
bool fenced_b[WORKERS];
bool gone_b[WORKERS];
bool stray_b[WORKERS];

byte w;

inline is_known(worker, attempt, result) {
  if
  :: worker == 0 -> result = known0[attempt]
  :: else -> result = known1[attempt]
  fi
}

inline set_known(worker, attempt, value) {
  if
  :: worker == 0 -> known0[attempt] = value
  :: else -> known1[attempt] = value
  fi
}

/* Executes a start at a worker; `accepted` is false when it was stale. */
inline execute_start(worker, tok, attempt, by, accepted) {
  accepted = true;
#ifndef NO_FENCE
  if
  :: tok < token[worker] -> accepted = false
  :: else -> token[worker] = tok
  fi;
#endif
  if
  :: accepted ->
    is_known(worker, attempt, seen);
    if
    :: !seen ->
      set_known(worker, attempt, true);
      assert(!running[0] && !running[1]);
      running[worker] = true;
      if
      :: by == A -> lease_a[worker] = true
      :: else -> lease_b[worker] = true
      fi
    :: else
    fi
  :: else
  fi
}

/* The worker ends what has no lease left. */
inline settle(worker) {
  if
  :: !lease_a[worker] && !lease_b[worker] -> running[worker] = false
  :: else
  fi
}

/* What happens to the workers, by themselves and by late messages. */
proctype Nature() {
  byte i;
  bool ok;
  bool seen;
  do
  :: atomic {
      select(i : 0 .. WORKERS - 1);
      if
      /* The VM dies. */
      :: alive[i] -> alive[i] = false; running[i] = false;
         lease_a[i] = false; lease_b[i] = false
      /* The task ends by itself. */
      :: running[i] -> running[i] = false
      /* Time passes. */
      :: lease_a[i] -> lease_a[i] = false; settle(i)
      :: lease_b[i] -> lease_b[i] = false; settle(i)
      /* A late start arrives, or is lost for good. */
      :: alive[i] && late_token[i] > 0 ->
         execute_start(i, late_token[i], late_attempt[i], late_token[i] - 1, ok);
         late_token[i] = 0
      :: late_token[i] > 0 -> late_token[i] = 0
      :: else
      fi
    }
  od
}

proctype OldOwner() {
  byte i;
  bool ok;
  bool seen;
  do
  :: atomic { passive_a -> break }
  /* Reads the log. */
  :: atomic { b_claimed -> passive_a = true }
  /* Starts the task; the answer may be lost and the start late. */
  :: atomic {
      !passive_a && place_a == NOWHERE && next_a < 2 ->
      select(i : 0 .. WORKERS - 1);
      attempt_a = next_a;
      next_a++;
      if
      :: alive[i] ->
         execute_start(i, 1, attempt_a, A, ok);
         if
         :: ok -> place_a = i; doubt_a = false
         :: else -> passive_a = true
         fi
      :: late_token[i] == 0 ->
         late_token[i] = 1; late_attempt[i] = attempt_a;
         place_a = i; doubt_a = true
      fi
    }
  /* Sends the same start again, while the first one may still arrive. */
  :: atomic {
      !passive_a && place_a != NOWHERE && doubt_a && alive[place_a] ->
      execute_start(place_a, 1, attempt_a, A, ok);
      if
      :: ok -> doubt_a = false
      :: else -> passive_a = true
      fi
    }
  /* Renews. */
  :: atomic {
      !passive_a && place_a != NOWHERE && !doubt_a && alive[place_a] ->
#ifndef NO_FENCE
      if
      :: token[place_a] > 1 -> passive_a = true
      :: else ->
#endif
      if
      :: running[place_a] -> lease_a[place_a] = true
      /* The report says that it has ended. */
      :: else ->
#ifdef FORGET
         set_known(place_a, attempt_a, false);
#endif
         place_a = NOWHERE
      fi
#ifndef NO_FENCE
      fi
#endif
    }
  /* The VM list says that the worker is gone. */
  :: atomic {
      !passive_a && place_a != NOWHERE && !alive[place_a] ->
      place_a = NOWHERE; doubt_a = false
    }
  /* The own renewals have run out and the log names no other owner. */
  :: atomic {
      !passive_a && place_a != NOWHERE && !lease_a[place_a] &&
          NO_LATE_START && STILL_OWNER ->
      place_a = NOWHERE
    }
  od
}


proctype NewOwner() {
  byte i;
  bool ok;
  bool seen;
  b_claimed = true;
  do
  /* Fences a worker and adopts what runs there. */
  :: atomic {
      select(i : 0 .. WORKERS - 1);
      if
      :: alive[i] && !fenced_b[i] ->
         token[i] = 2;
         fenced_b[i] = true;
         if
         :: running[i] && place_b == NOWHERE -> place_b = i
         /* The task is believed elsewhere: this attempt must stop first. */
         :: running[i] && place_b != NOWHERE -> stray_b[i] = true
         :: else
         fi
      :: !alive[i] -> gone_b[i] = true
      :: else
      fi
    }
  /* Stops a stray. */
  :: atomic {
      select(i : 0 .. WORKERS - 1);
      if
      :: stray_b[i] -> running[i] = false; stray_b[i] = false
      :: else
      fi
    }
  :: atomic {
      place_b == NOWHERE && next_b < ATTEMPTS && MAY_START && NO_STRAYS ->
      select(i : 0 .. WORKERS - 1);
      if
      :: alive[i] && fenced_b[i] ->
         attempt_b = next_b;
         next_b++;
         execute_start(i, 2, attempt_b, B, ok);
         place_b = i
      :: else
      fi
    }
  :: atomic {
      place_b != NOWHERE && alive[place_b] ->
      if
      :: running[place_b] -> lease_b[place_b] = true
      :: else -> place_b = NOWHERE
      fi
    }
  :: atomic { place_b != NOWHERE && !alive[place_b] -> place_b = NOWHERE }
  od
}

init {
  atomic {
    for (w : 0 .. WORKERS - 1) {
      alive[w] = true
    }
    run Nature();
    run OldOwner();
    run NewOwner()
  }
}
