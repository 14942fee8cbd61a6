/*
 * Model of one task in a shard with a single writer
 * (docs/adr/0030-jobs-by-one-writer.md): an owner (A) that may be partitioned,
 * paused or slow, and its successor (B), with two workers and a store that both
 * can reach. Checks that the task never runs twice at once, and not again once
 * its end was stored or acknowledged. A worker that is unreachable or dead is
 * modelled as one that no owner calls.
 *
 * Each macro removes one rule; the check must then fail:
 *   NO_FENCE     workers execute orders with a lower token
 *   NO_EPOCH     the store accepts appends with a lower epoch
 *   EARLY_ORDER  a start is ordered before its intent is stored
 *   EARLY_ACK    an end is acknowledged before it is stored
 *   DOUBT_LOST   a start without an answer is treated as one that never arrived
 *   NO_HOLD      B treats an intent found in the store as one that never ran
 *                before the worker has B's token
 *   NO_WAIT      B does not wait until leases that A may have granted expire
 */
#define WORKERS 2
#define NO_WORKER WORKERS
#define A 1
#define B 2
#define NONE 0
#define ATTEMPTS 4
#define STARTS_PER_OWNER 2

/* States of the attempt as its owner knows it. */
#define FOUND 1     /* intent of a former owner, read from the store */
#define INTENDED 2  /* intent stored, start not ordered */
#define UNCONFIRMED 3     /* start ordered, no answer received */
#define CONFIRMED 4 /* reported by the worker */
#define ENDED 5      /* end reported by the worker */

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
#define FORMER_LEASES_EXPIRED(w) true
#else
#define FORMER_LEASES_EXPIRED(w) \
  (a_expired && !lease_a[w] && !(transit_owner[w] == A && transit_lease[w]))
#endif

/* Workers. */
byte token[WORKERS];
byte running[WORKERS]; /* attempt, or NONE */
byte ended[WORKERS];   /* attempt whose end no owner has acknowledged */
bool lease_a[WORKERS]; /* whether the lease granted by A has not expired */
bool lease_b[WORKERS];
bool never_start0[ATTEMPTS + 1]; /* attempts that worker 0 or 1 never starts again */
bool never_start1[ATTEMPTS + 1];
/* A start in transit, which may arrive at any time or never. */
byte transit_owner[WORKERS];
byte transit_attempt[WORKERS];
bool transit_lease[WORKERS];

/* The store. */
byte epoch;
byte stored_attempt;
byte stored_worker = NO_WORKER;
bool stored_end;

bool acknowledged; /* whether a worker was told to forget the end */
bool a_expired;       /* whether A has had no proof of its ownership for too long */

#define IS_NEVER_STARTED(w, a) ((w == 0 && never_start0[a]) || (w == 1 && never_start1[a]))

inline set_never_start(w, a) {
  if
  :: w == 0 -> never_start0[a] = true
  :: else -> never_start1[a] = true
  fi
}

/* A worker executes a start that it did not refuse. */
inline execute_start(w, a, by) {
  if
  :: by > token[w] -> token[w] = by
  :: else
  fi;
  if
  :: !IS_NEVER_STARTED(w, a) ->
    set_never_start(w, a);
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

/* A worker ends its run once no lease is left. */
inline end_without_lease(w) {
  if
  :: !lease_a[w] && !lease_b[w] -> running[w] = NONE
  :: else
  fi
}

proctype Environment() {
  byte w;
  do
  :: atomic {
      select(w : 0 .. WORKERS - 1);
      if
      /* The task ends by itself. */
      :: running[w] != NONE -> ended[w] = running[w]; running[w] = NONE
      /* Leases expire, and A's time without proof runs out. */
      :: lease_a[w] -> lease_a[w] = false; end_without_lease(w)
      :: lease_b[w] -> lease_b[w] = false; end_without_lease(w)
      :: transit_lease[w] -> transit_lease[w] = false
      :: epoch == B -> a_expired = true
      /* A start in transit arrives or is lost. The worker does not execute it once
         its lease has expired. */
      :: transit_owner[w] != NONE && transit_lease[w] &&
            !IS_FENCED(w, transit_owner[w]) ->
        execute_start(w, transit_attempt[w], transit_owner[w]);
        transit_owner[w] = NONE; transit_attempt[w] = NONE; transit_lease[w] = false
      :: transit_owner[w] != NONE ->
        transit_owner[w] = NONE; transit_attempt[w] = NONE; transit_lease[w] = false
      :: else
      fi
    }
  od
}

proctype Owner(byte me) {
  byte assigned = NO_WORKER;
  byte attempt;
  byte state;
  byte starts;
  bool passive;
  byte w;

  /* An empty append fences off owners with a lower epoch, so what is read
     afterwards is complete. */
  atomic {
    if
    :: epoch > me -> passive = true
    :: else ->
      epoch = me;
      passive = stored_end;
      assigned = stored_worker;
      attempt = stored_attempt;
      state = FOUND
    fi
  }
  do
  :: atomic { passive || (me == A && a_expired) -> break }
  /* Plans a start and stores the intent. */
  :: atomic {
      !passive && !(me == A && a_expired) && assigned == NO_WORKER &&
          starts < STARTS_PER_OWNER ->
      select(w : 0 .. WORKERS - 1);
      starts++;
      attempt++;
      assigned = w;
      state = INTENDED;
#ifndef EARLY_ORDER
      if
      :: IS_REFUSED(me) -> passive = true
      :: else -> stored_attempt = attempt; stored_worker = w
      fi
#endif
    }
  /* Orders the start, or repeats the order. */
  :: atomic {
      !passive && !(me == A && a_expired) &&
          (state == INTENDED || state == UNCONFIRMED) && assigned != NO_WORKER ->
      if
      :: IS_FENCED(assigned, me) -> passive = true
      :: !IS_FENCED(assigned, me) ->
        execute_start(assigned, attempt, me);
        if
        :: state = CONFIRMED
        :: state = UNCONFIRMED /* the answer is lost */
        fi
      :: transit_owner[assigned] == NONE ->
        transit_owner[assigned] = me;
        transit_attempt[assigned] = attempt;
        transit_lease[assigned] = true;
        state = UNCONFIRMED
      :: state = UNCONFIRMED
      fi
    }
#ifdef EARLY_ORDER
  /* The intent is stored after the order. */
  :: atomic {
      !passive && assigned != NO_WORKER && state >= UNCONFIRMED &&
          stored_attempt != attempt && state != FOUND ->
      if
      :: IS_REFUSED(me) -> passive = true
      :: else -> stored_attempt = attempt; stored_worker = assigned
      fi
    }
#endif
#ifdef DOUBT_LOST
  :: atomic {
      !passive && state == UNCONFIRMED && assigned != NO_WORKER -> assigned = NO_WORKER
    }
#endif
#ifdef NO_HOLD
  :: atomic {
      !passive && state == FOUND && assigned != NO_WORKER -> assigned = NO_WORKER
    }
#endif
  /* Renews: shows its token to the worker, renews the lease, and learns what runs
     there. */
  :: atomic {
      !passive && !(me == A && a_expired) && assigned != NO_WORKER &&
          state != INTENDED && state != ENDED ->
      if
      :: IS_FENCED(assigned, me) -> passive = true
      :: else ->
        if
        :: token[assigned] < me -> token[assigned] = me
        :: else
        fi;
        if
        :: running[assigned] == attempt ->
          state = CONFIRMED;
          if
          :: me == A -> lease_a[assigned] = true
          :: else -> lease_b[assigned] = true
          fi
        :: running[assigned] != attempt && ended[assigned] == attempt ->
          state = ENDED;
#ifdef EARLY_ACK
          ended[assigned] = NONE; acknowledged = true
#endif
        :: running[assigned] != attempt && ended[assigned] != attempt ->
          if
          /* Gives the attempt up: the worker records never to start it. */
          :: state == UNCONFIRMED -> set_never_start(assigned, attempt); assigned = NO_WORKER
          /* Orders with a lower token are refused from now on. */
          :: state == FOUND -> assigned = NO_WORKER
          :: state == CONFIRMED -> assigned = NO_WORKER
          :: state == UNCONFIRMED
          fi
        fi
      fi
    }
  /* Stores the end, then acknowledges it. */
  :: atomic {
      !passive && assigned != NO_WORKER && state == ENDED ->
      if
      :: IS_REFUSED(me) -> passive = true
      :: else -> stored_end = true
      fi
    };
    atomic {
      if
      :: !passive && ended[assigned] == attempt ->
        ended[assigned] = NONE; acknowledged = true
      :: else
      fi;
      passive = true
    }
  /* The worker was unreachable until every lease that it may have expired. */
  :: atomic {
      !passive && assigned != NO_WORKER && state != INTENDED && state != ENDED &&
          !(me == A && (lease_a[assigned] ||
                        (transit_owner[assigned] == A && transit_lease[assigned]))) &&
          !(me == B && (lease_b[assigned] ||
                        (transit_owner[assigned] == B && transit_lease[assigned]) ||
                        !FORMER_LEASES_EXPIRED(assigned))) ->
      assigned = NO_WORKER
    }
  od
}

init {
  atomic {
    run Environment();
    run Owner(A);
    run Owner(B)
  }
}
