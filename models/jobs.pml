/*
 * A task of a shard that one node writes (docs/adr/0030-jobs-by-one-writer.md):
 * an owner (A) that may be cut off, paused or late, and its successor (B), with
 * two workers and a store that answers both. Checks that the task never runs
 * twice at once, and not again once its end was stored or acknowledged. A worker
 * that is out of reach for a while, or dead, is one that no owner calls.
 *
 * Each macro removes one rule; the check must then fail:
 *   NO_FENCE     workers carry out orders with a lower token
 *   NO_EPOCH     the store takes appends with a lower epoch
 *   EARLY_ORDER  a start is ordered before its intent is stored
 *   EARLY_ACK    an end is acknowledged before it is stored
 *   DOUBT_LOST   a start without an answer is taken for one that never arrived
 *   NO_HOLD      B takes an intent that it found for one that never ran, before
 *                the worker knows its token
 *   NO_WAIT      B does not wait for the end of leases that A may have given
 */
#define WORKERS 2
#define NOWHERE WORKERS
#define A 1
#define B 2
#define NONE 0
#define ATTEMPTS 4
#define STARTS_EACH 2

/* States of an owner's run. */
#define FOUND 1     /* in the store, by a former owner */
#define INTENDED 2  /* stored, not ordered */
#define DOUBT 3     /* ordered, no answer */
#define CONFIRMED 4 /* the worker has told of it */
#define OVER 5      /* the worker has told its end */

#ifdef NO_FENCE
#define IS_FENCED(w, me) false
#else
#define IS_FENCED(w, me) (token[w] > me)
#endif
#ifdef NO_EPOCH
#define IS_REFUSED(me) false
#else
#define IS_REFUSED(me) (epoch > me)
#endif
#ifdef NO_WAIT
#define FORMER_LEASE_IS_OVER(w) true
#else
#define FORMER_LEASE_IS_OVER(w) \
  (a_over && !lease_a[w] && !(late_by[w] == A && late_lease[w]))
#endif

/* Workers. */
byte token[WORKERS];
byte running[WORKERS]; /* attempt, or NONE */
byte ended[WORKERS];   /* attempt whose end no owner has acknowledged */
bool lease_a[WORKERS]; /* time is left on the lease that an owner gave */
bool lease_b[WORKERS];
bool known0[ATTEMPTS + 1]; /* attempts that are not started again */
bool known1[ATTEMPTS + 1];
/* A start on its way, that may arrive at any time or never. */
byte late_by[WORKERS];
byte late_attempt[WORKERS];
bool late_lease[WORKERS];

/* The store. */
byte epoch;
byte stored_attempt;
byte stored_worker = NOWHERE;
bool stored_end;

bool acknowledged; /* some worker has forgotten an end */
bool a_over;       /* A's time without proof of its ownership has passed */

#define IS_KNOWN(w, a) ((w == 0 && known0[a]) || (w == 1 && known1[a]))

inline set_known(w, a) {
  if
  :: w == 0 -> known0[a] = true
  :: else -> known1[a] = true
  fi
}

/* A worker carries out a start that was not refused. */
inline carry_out(w, a, by) {
  if
  :: by > token[w] -> token[w] = by
  :: else
  fi;
  if
  :: !IS_KNOWN(w, a) ->
    set_known(w, a);
    assert(running[0] == NONE && running[1] == NONE);
    assert(!stored_end);
    assert(!acknowledged);
    running[w] = a;
    if
    :: by == A -> lease_a[w] = true
    :: else -> lease_b[w] = true
    fi
  :: else
  fi
}

/* A worker ends what has no lease left. */
inline settle(w) {
  if
  :: !lease_a[w] && !lease_b[w] -> running[w] = NONE
  :: else
  fi
}

proctype Nature() {
  byte w;
  do
  :: atomic {
      select(w : 0 .. WORKERS - 1);
      if
      /* The task ends by itself. */
      :: running[w] != NONE -> ended[w] = running[w]; running[w] = NONE
      /* Time passes. */
      :: lease_a[w] -> lease_a[w] = false; settle(w)
      :: lease_b[w] -> lease_b[w] = false; settle(w)
      :: late_lease[w] -> late_lease[w] = false
      :: epoch == B -> a_over = true
      /* A start that was on its way arrives, or is lost for good. Beyond the end
         of its lease it is not carried out. */
      :: late_by[w] != NONE && late_lease[w] &&
            !IS_FENCED(w, late_by[w]) ->
        carry_out(w, late_attempt[w], late_by[w]);
        late_by[w] = NONE; late_attempt[w] = NONE; late_lease[w] = false
      :: late_by[w] != NONE ->
        late_by[w] = NONE; late_attempt[w] = NONE; late_lease[w] = false
      :: else
      fi
    }
  od
}

proctype Owner(byte me) {
  byte place = NOWHERE;
  byte attempt;
  byte state;
  byte starts;
  bool passive;
  byte w;

  /* The empty append takes the epoch; what is read afterwards is complete. */
  atomic {
    if
    :: epoch > me -> passive = true
    :: else ->
      epoch = me;
      passive = stored_end;
      place = stored_worker;
      attempt = stored_attempt;
      state = FOUND
    fi
  }
  do
  :: atomic { passive || (me == A && a_over) -> break }
  /* Plans a start and stores the intent. */
  :: atomic {
      !passive && !(me == A && a_over) && place == NOWHERE &&
          starts < STARTS_EACH ->
      select(w : 0 .. WORKERS - 1);
      starts++;
      attempt++;
      place = w;
      state = INTENDED;
#ifndef EARLY_ORDER
      if
      :: IS_REFUSED(me) -> passive = true
      :: else -> stored_attempt = attempt; stored_worker = w
      fi
#endif
    }
  /* Orders the start, or orders it again. */
  :: atomic {
      !passive && !(me == A && a_over) &&
          (state == INTENDED || state == DOUBT) && place != NOWHERE ->
      if
      :: IS_FENCED(place, me) -> passive = true
      :: !IS_FENCED(place, me) ->
        carry_out(place, attempt, me);
        if
        :: state = CONFIRMED
        :: state = DOUBT /* The answer is lost. */
        fi
      :: late_by[place] == NONE ->
        late_by[place] = me;
        late_attempt[place] = attempt;
        late_lease[place] = true;
        state = DOUBT
      :: state = DOUBT
      fi
    }
#ifdef EARLY_ORDER
  /* The intent is stored after the order. */
  :: atomic {
      !passive && place != NOWHERE && state >= DOUBT &&
          stored_attempt != attempt && state != FOUND ->
      if
      :: IS_REFUSED(me) -> passive = true
      :: else -> stored_attempt = attempt; stored_worker = place
      fi
    }
#endif
#ifdef DOUBT_LOST
  :: atomic {
      !passive && state == DOUBT && place != NOWHERE -> place = NOWHERE
    }
#endif
#ifdef NO_HOLD
  :: atomic {
      !passive && state == FOUND && place != NOWHERE -> place = NOWHERE
    }
#endif
  /* Holds the worker: shows its token, renews, and hears what is there. */
  :: atomic {
      !passive && !(me == A && a_over) && place != NOWHERE &&
          state != INTENDED && state != OVER ->
      if
      :: IS_FENCED(place, me) -> passive = true
      :: else ->
        if
        :: token[place] < me -> token[place] = me
        :: else
        fi;
        if
        :: running[place] == attempt ->
          state = CONFIRMED;
          if
          :: me == A -> lease_a[place] = true
          :: else -> lease_b[place] = true
          fi
        :: running[place] != attempt && ended[place] == attempt ->
          state = OVER;
#ifdef EARLY_ACK
          ended[place] = NONE; acknowledged = true
#endif
        :: running[place] != attempt && ended[place] != attempt ->
          if
          /* Given up: the worker takes note not to start it any more. */
          :: state == DOUBT -> set_known(place, attempt); place = NOWHERE
          /* Orders with a lower token can't arrive any more. */
          :: state == FOUND -> place = NOWHERE
          :: state == CONFIRMED -> place = NOWHERE
          :: state == DOUBT
          fi
        fi
      fi
    }
  /* Stores the end, then acknowledges it. */
  :: atomic {
      !passive && place != NOWHERE && state == OVER ->
      if
      :: IS_REFUSED(me) -> passive = true
      :: else -> stored_end = true
      fi
    };
    atomic {
      if
      :: !passive && ended[place] == attempt ->
        ended[place] = NONE; acknowledged = true
      :: else
      fi;
      passive = true
    }
  /* Out of reach until the last lease that it may have is over. */
  :: atomic {
      !passive && place != NOWHERE && state != INTENDED && state != OVER &&
          !(me == A && (lease_a[place] ||
                        (late_by[place] == A && late_lease[place]))) &&
          !(me == B && (lease_b[place] ||
                        (late_by[place] == B && late_lease[place]) ||
                        !FORMER_LEASE_IS_OVER(place))) ->
      place = NOWHERE
    }
  od
}

init {
  atomic {
    run Nature();
    run Owner(A);
    run Owner(B)
  }
}
