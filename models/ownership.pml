/*
 * Model of the ownership of one cell with two workers and one exclusive task: an
 * old owner (A) that may be partitioned, paused or slow, and a successor (B) that
 * claims the cell by a log record. Checks that the task never runs twice at once.
 *
 * Each macro removes one rule; the check must then fail:
 *   NO_FENCE      workers accept commands with a lower token
 *   NO_HOLD       B starts the task before every worker is fenced or gone
 *   NO_LOG_CHECK  A relies on an expired lease without reading the log
 *   STRAYS        B starts the task while an attempt that must stop still runs
 *   FORGET        a worker forgets an attempt whose start may still arrive
 *   NO_DOUBT      A relies on an expired lease although a start may still arrive
 */
#define WORKERS 2
#define ATTEMPTS 4 /* 0 and 1 are A's, 2 and 3 are B's */
#define NO_WORKER WORKERS
#define A 0
#define B 1

#ifdef NO_DOUBT
#define NO_START_IN_TRANSIT true
#else
#define NO_START_IN_TRANSIT (!unconfirmed_a)
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
/* Whether the lease that the owner granted last has not expired. */
bool lease_a[WORKERS];
bool lease_b[WORKERS];
/* Attempts that worker 0 or 1 has started, and so does not start again. */
bool started0[ATTEMPTS];
bool started1[ATTEMPTS];
/* A start in transit, which may arrive at any time or never. */
byte transit_attempt[WORKERS];
byte transit_token[WORKERS];

/* The log: whether B's claim is in force, else A's. */
bool b_claimed;

/* What the owners believe. */
byte worker_a = NO_WORKER;
byte attempt_a;
bool unconfirmed_a;
bool passive_a;
byte next_a;
byte worker_b = NO_WORKER;
byte attempt_b;
byte next_b = 2;
bool fenced_b[WORKERS];
bool gone_b[WORKERS];
bool stray_b[WORKERS];

byte w;

inline is_started(worker, attempt, result) {
  if
  :: worker == 0 -> result = started0[attempt]
  :: else -> result = started1[attempt]
  fi
}

inline set_started(worker, attempt, value) {
  if
  :: worker == 0 -> started0[attempt] = value
  :: else -> started1[attempt] = value
  fi
}

/* A worker executes a start; `accepted` is false if its token is stale. */
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
    is_started(worker, attempt, seen);
    if
    :: !seen ->
      set_started(worker, attempt, true);
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

/* The worker ends its run once no lease is left. */
inline end_without_lease(worker) {
  if
  :: !lease_a[worker] && !lease_b[worker] -> running[worker] = false
  :: else
  fi
}

/* Events outside the owners: failures, expiries, and starts that were delayed. */
proctype Environment() {
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
      /* Leases expire. */
      :: lease_a[i] -> lease_a[i] = false; end_without_lease(i)
      :: lease_b[i] -> lease_b[i] = false; end_without_lease(i)
      /* A start in transit arrives or is lost. */
      :: alive[i] && transit_token[i] > 0 ->
         execute_start(i, transit_token[i], transit_attempt[i], transit_token[i] - 1, ok);
         transit_token[i] = 0
      :: transit_token[i] > 0 -> transit_token[i] = 0
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
  /* Starts the task. The answer may be lost, and the start delayed. */
  :: atomic {
      !passive_a && worker_a == NO_WORKER && next_a < 2 ->
      select(i : 0 .. WORKERS - 1);
      attempt_a = next_a;
      next_a++;
      if
      :: alive[i] ->
         execute_start(i, 1, attempt_a, A, ok);
         if
         :: ok -> worker_a = i; unconfirmed_a = false
         :: else -> passive_a = true
         fi
      :: transit_token[i] == 0 ->
         transit_token[i] = 1; transit_attempt[i] = attempt_a;
         worker_a = i; unconfirmed_a = true
      fi
    }
  /* Sends the same start again, while the first one may still arrive. */
  :: atomic {
      !passive_a && worker_a != NO_WORKER && unconfirmed_a && alive[worker_a] ->
      execute_start(worker_a, 1, attempt_a, A, ok);
      if
      :: ok -> unconfirmed_a = false
      :: else -> passive_a = true
      fi
    }
  /* Renews the lease. */
  :: atomic {
      !passive_a && worker_a != NO_WORKER && !unconfirmed_a && alive[worker_a] ->
#ifndef NO_FENCE
      if
      :: token[worker_a] > 1 -> passive_a = true
      :: else ->
#endif
      if
      :: running[worker_a] -> lease_a[worker_a] = true
      /* The report says that it has ended. */
      :: else ->
#ifdef FORGET
         set_started(worker_a, attempt_a, false);
#endif
         worker_a = NO_WORKER
      fi
#ifndef NO_FENCE
      fi
#endif
    }
  /* The VM list says that the worker is gone. */
  :: atomic {
      !passive_a && worker_a != NO_WORKER && !alive[worker_a] ->
      worker_a = NO_WORKER; unconfirmed_a = false
    }
  /* A's lease has expired and the log names no other owner. */
  :: atomic {
      !passive_a && worker_a != NO_WORKER && !lease_a[worker_a] &&
          NO_START_IN_TRANSIT && STILL_OWNER ->
      worker_a = NO_WORKER
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
         :: running[i] && worker_b == NO_WORKER -> worker_b = i
         /* B believes that the task runs elsewhere: this attempt must stop before B
            starts the task again. */
         :: running[i] && worker_b != NO_WORKER -> stray_b[i] = true
         :: else
         fi
      :: !alive[i] -> gone_b[i] = true
      :: else
      fi
    }
  /* Stops a stray attempt. */
  :: atomic {
      select(i : 0 .. WORKERS - 1);
      if
      :: stray_b[i] -> running[i] = false; stray_b[i] = false
      :: else
      fi
    }
  :: atomic {
      worker_b == NO_WORKER && next_b < ATTEMPTS && MAY_START && NO_STRAYS ->
      select(i : 0 .. WORKERS - 1);
      if
      :: alive[i] && fenced_b[i] ->
         attempt_b = next_b;
         next_b++;
         execute_start(i, 2, attempt_b, B, ok);
         worker_b = i
      :: else
      fi
    }
  :: atomic {
      worker_b != NO_WORKER && alive[worker_b] ->
      if
      :: running[worker_b] -> lease_b[worker_b] = true
      :: else -> worker_b = NO_WORKER
      fi
    }
  :: atomic { worker_b != NO_WORKER && !alive[worker_b] -> worker_b = NO_WORKER }
  od
}

init {
  atomic {
    for (w : 0 .. WORKERS - 1) {
      alive[w] = true
    }
    run Environment();
    run OldOwner();
    run NewOwner()
  }
}
