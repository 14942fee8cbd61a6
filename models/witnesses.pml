/*
 * Model of the witnesses of leases (src/jobs/lease_witnesses.h): an owner (F) that
 * the store may not confirm any more, and its successor (S). Three workers and
 * three nodes are witnesses, and two of them may be replaced by incarnations that
 * have forgotten all tokens. F extends the lease of a worker that S does not reach.
 * Checks that this lease is over whenever S may start the task elsewhere.
 *
 * Time: of F's confirmations and leases only is known whether they date from before
 * or after the moment at which S counts F as stopped. Leases that rest on
 * confirmations from before are over at the end of S's wait. Only later answers and
 * confirmations are therefore modelled, and F extends the lease all the time until
 * then. Orders are answered at once: one that is delayed counts from when it was
 * sent, and allows no more. For the same reason S asks no witness any more once it
 * counts F as stopped. A party that is paused, dead or cut off is one that takes no
 * steps or is not asked. S knows at once when an incarnation is over.
 *
 * F stores new workers once, any of the living ones, and nodes once if there were
 * none: a further replacement begins with a set that both owners know, as here.
 *
 * A third owner is not modelled: its predecessors use the same stored witnesses, or
 * one of them replaced these after it counted the other as stopped. Neither is S's
 * time-out, which relies on F's own limit for an ownership without the store.
 * The worker with the lease does not restart: what an order of F grants, counted on
 * the clock of a former incarnation, is left out.
 *
 * Each macro removes one rule; the check must then fail:
 *   NO_FENCE               the store accepts F's appends after S has read it
 *   ONE_SET_CONFIRMS       F needs a majority of the workers or of the nodes
 *   MINORITY               half of a set is enough
 *   OVER_CONFIRMS          a witness that is over confirms F
 *   INCARNATION_FORGOTTEN  an answer of a later incarnation counts as the witness's
 *   EARLY_REPLACEMENT      S replaces witnesses before F has stopped
 *   EARLY_OVER             an answer from before S has read the store shows that a
 *                          witness is over
 *   ONE_SET_WHILE_STORING  F needs only the new set while its append is undecided
 *   NO_SET_WHILE_STORING   F needs no nodes while its first set is undecided
 *   CONFIRMED_AT_ANSWER    an append confirms F from when its answer arrives
 *   LEASE_FROM_GRANT       leases count from their grant, not from F's confirmation
 *   NO_LEASE_WAIT          S does not wait for the end of leases
 * Two more remove no rule. Two of the workers (or nodes) never answer anybody, and
 * it is claimed that S starts the task only with a majority of the stored workers
 * (or nodes, if there are any). These checks must fail too, which shows that S does
 * not need that majority:
 *   WORKERS_LOST, NODES_LOST
 */
#define WORKERS 0
#define NODES 1
#define SET_SIZE 3
#define WITNESSES 6 /* three workers, then three nodes */
#define FIRST(kind) (SET_SIZE * (kind))
#define KIND(i) ((i) / SET_SIZE)

/* Incarnations, which are bits so that answers of both can be kept. */
#define NONE 0
#define FIRST_INCARNATION 1
#define SECOND_INCARNATION 2

#define RESTARTS 2

#ifdef MINORITY
#define IS_MAJORITY(n, size) ((size) > 0 && 2 * (n) >= (size))
#else
#define IS_MAJORITY(n, size) (2 * (n) > (size))
#endif
#if defined(OVER_CONFIRMS)
#define CONFIRMS(set, i) \
  (set[i] != NONE && ((answers[i] & set[i]) != 0 || incarnation[i] != set[i]))
#elif defined(INCARNATION_FORGOTTEN)
#define CONFIRMS(set, i) (set[i] != NONE && answers[i] != 0)
#else
#define CONFIRMS(set, i) (set[i] != NONE && (answers[i] & set[i]) != 0)
#endif
#ifdef WORKERS_LOST
#define ANSWERS(i) (i != 0 && i != 1)
#elif defined(NODES_LOST)
#define ANSWERS(i) (i != 3 && i != 4)
#else
#define ANSWERS(i) true
#endif

/* Witnesses: the living incarnation, and whether S's token was shown to it. */
byte incarnation[WITNESSES];
byte restarts;
bool fenced[WITNESSES];

/* The sets of F: the incarnation of each witness, or NONE. `proposed` counts while
   its append is undecided, as far as F knows. */
byte present[WITNESSES];
byte proposed[WITNESSES];
bool storing[2];
bool has_replaced_workers;
bool proposed_is_stored[2];
/* Incarnations that answered orders which F sent after S counted it as stopped. */
byte answers[WITNESSES];
bool confirmed_by_store; /* after S counted F as stopped */
/* F's lease rests on a confirmation from after that; else on one from before. */
bool lease_from_after;

/* S: whether it has read the store, and counts F as stopped. */
bool restored;
bool stopped;
/* Whether the lease is valid once S has waited. */
#ifdef NO_LEASE_WAIT
#define IS_LEASE_VALID true
#else
#define IS_LEASE_VALID lease_from_after
#endif

#define MEMBERS(set, kind) \
  ((set[FIRST(kind)] != NONE) + (set[FIRST(kind) + 1] != NONE) + \
   (set[FIRST(kind) + 2] != NONE))
#define CONFIRMED_BY(set, kind) \
  IS_MAJORITY(CONFIRMS(set, FIRST(kind)) + CONFIRMS(set, FIRST(kind) + 1) + \
                  CONFIRMS(set, FIRST(kind) + 2), \
              MEMBERS(set, kind))
#ifdef ONE_SET_WHILE_STORING
#define CONFIRMED_BY_KIND(kind) \
  ((storing[kind] && CONFIRMED_BY(proposed, kind)) || \
   (!storing[kind] && CONFIRMED_BY(present, kind)))
#else
#define CONFIRMED_BY_KIND(kind) \
  (CONFIRMED_BY(present, kind) && \
   (!storing[kind] || CONFIRMED_BY(proposed, kind)))
#endif
/* Whether F never had nodes as witnesses. */
#ifdef NO_SET_WHILE_STORING
#define HAS_NO_NODES (MEMBERS(present, NODES) == 0)
#else
#define HAS_NO_NODES (MEMBERS(present, NODES) == 0 && !storing[NODES])
#endif
#ifdef ONE_SET_CONFIRMS
#define CONFIRMED_BY_WITNESSES (CONFIRMED_BY_KIND(WORKERS) || CONFIRMED_BY_KIND(NODES))
#else
#define CONFIRMED_BY_WITNESSES \
  (CONFIRMED_BY_KIND(WORKERS) && (HAS_NO_NODES || CONFIRMED_BY_KIND(NODES)))
#endif

#ifdef LEASE_FROM_GRANT
#define IS_CONFIRMED true
#else
#define IS_CONFIRMED (confirmed_by_store || CONFIRMED_BY_WITNESSES)
#endif
#ifdef NO_FENCE
#define IS_WRITABLE true
#else
#define IS_WRITABLE (!restored)
#endif
/* Whether F has any use for an answer of the living incarnation. */
#ifdef INCARNATION_FORGOTTEN
#define COUNTS(i) true
#else
#define COUNTS(i) (incarnation[i] == present[i] || incarnation[i] == proposed[i])
#endif

#ifdef EARLY_REPLACEMENT
bool replaced_by_s;
byte present_s[SET_SIZE];
#define STORED(i) \
  (replaced_by_s && KIND(i) == WORKERS -> present_s[(i) % SET_SIZE] : STORED_BY_F(i))
#else
#define STORED(i) STORED_BY_F(i)
#endif
#define STORED_BY_F(i) (proposed_is_stored[KIND(i)] -> proposed[i] : present[i])
#ifdef EARLY_OVER
byte early[WITNESSES]; /* the incarnation that answered S before it read the store */
#define IS_OVER(i) \
  (incarnation[i] != STORED(i) || (early[i] != NONE && early[i] != STORED(i)))
#else
#define IS_OVER(i) (incarnation[i] != STORED(i))
#endif
/* Whether the witness stands by F no more. */
#define HAS_LEFT(i) (STORED(i) != NONE && (IS_OVER(i) || fenced[i]))
#define STORED_MEMBERS(kind) \
  ((STORED(FIRST(kind)) != NONE) + (STORED(FIRST(kind) + 1) != NONE) + \
   (STORED(FIRST(kind) + 2) != NONE))
#define HAVE_LEFT(kind) \
  IS_MAJORITY(HAS_LEFT(FIRST(kind)) + HAS_LEFT(FIRST(kind) + 1) + \
                  HAS_LEFT(FIRST(kind) + 2), \
              STORED_MEMBERS(kind))

/* Chooses one or more of the living workers. */
#define CHOOSE_WORKERS(set) \
  do \
  :: i < SET_SIZE -> set[i] = incarnation[i]; i++ \
  :: i < SET_SIZE -> set[i] = NONE; i++ \
  :: i == SET_SIZE -> break \
  od; \
  if \
  :: set[0] == NONE && set[1] == NONE && set[2] == NONE -> set[0] = incarnation[0] \
  :: else \
  fi; \
  i = 0

#ifdef CONFIRMED_AT_ANSWER
#define CONFIRM_BY_ANSWER confirmed_by_store = stopped
#else
#define CONFIRM_BY_ANSWER skip
#endif
#define ON_STORED(kind) \
  storing[kind] = false; proposed_is_stored[kind] = false; \
  present[FIRST(kind)] = proposed[FIRST(kind)]; \
  present[FIRST(kind) + 1] = proposed[FIRST(kind) + 1]; \
  present[FIRST(kind) + 2] = proposed[FIRST(kind) + 2]; \
  proposed[FIRST(kind)] = NONE; \
  proposed[FIRST(kind) + 1] = NONE; \
  proposed[FIRST(kind) + 2] = NONE; \
  CONFIRM_BY_ANSWER

proctype Environment() {
  byte i;
  do
  /* A witness is replaced under its ID. */
  :: atomic {
      restarts < RESTARTS ->
      select(i : 0 .. WITNESSES - 1);
      if
      :: ANSWERS(i) && incarnation[i] == FIRST_INCARNATION ->
        incarnation[i] = SECOND_INCARNATION; fenced[i] = false; restarts++
      :: else
      fi;
      i = 0
    }
  od
}

proctype FormerOwner() {
  byte i;
  do
  /* Appends new witnesses. */
  :: atomic {
      !has_replaced_workers ->
      CHOOSE_WORKERS(proposed);
      has_replaced_workers = true;
      storing[WORKERS] = true
    }
  :: atomic {
      !storing[NODES] && MEMBERS(present, NODES) == 0 ->
      proposed[3] = incarnation[3];
      proposed[4] = incarnation[4];
      proposed[5] = incarnation[5];
      storing[NODES] = true
    }
  /* The append is stored. */
  :: atomic {
      IS_WRITABLE && storing[WORKERS] && !proposed_is_stored[WORKERS] ->
      proposed_is_stored[WORKERS] = true
    }
  :: atomic {
      IS_WRITABLE && storing[NODES] && !proposed_is_stored[NODES] ->
      proposed_is_stored[NODES] = true
    }
#ifdef NO_FENCE
  /* An append without new witnesses is stored. */
  :: atomic { stopped -> confirmed_by_store = true }
#endif
  /* F receives the answer to the append. */
  :: atomic { proposed_is_stored[WORKERS] -> ON_STORED(WORKERS) }
  :: atomic { proposed_is_stored[NODES] -> ON_STORED(NODES) }
  /* A witness answers F. */
  :: atomic {
      stopped ->
      select(i : 0 .. WITNESSES - 1);
      if
      :: ANSWERS(i) && !fenced[i] && COUNTS(i) ->
        answers[i] = answers[i] | incarnation[i]
      :: else
      fi;
      i = 0
    }
  /* F extends the lease. */
  :: atomic { stopped && IS_CONFIRMED -> lease_from_after = true }
  od
}

proctype Successor() {
  byte i;
  do
  /* A witness answers S. */
  :: atomic {
      !stopped ->
      select(i : 0 .. WITNESSES - 1);
      if
      :: ANSWERS(i) ->
        fenced[i] = true;
#ifdef EARLY_OVER
        if
        :: !restored -> early[i] = incarnation[i]
        :: else
        fi
#endif
      :: else
      fi;
      i = 0
    }
  /* S fences the store and reads it. */
  :: atomic { !restored -> restored = true }
#ifdef EARLY_REPLACEMENT
  :: atomic {
      restored && !stopped && !replaced_by_s ->
      CHOOSE_WORKERS(present_s);
      replaced_by_s = true
    }
#endif
  :: atomic {
      restored && !stopped && (HAVE_LEFT(WORKERS) || HAVE_LEFT(NODES)) ->
      stopped = true
    }
  /* S waits for the longest lease and starts the task. */
  :: atomic {
      stopped ->
      assert(!IS_LEASE_VALID);
#ifdef WORKERS_LOST
      assert(HAVE_LEFT(WORKERS));
#endif
#ifdef NODES_LOST
      assert(HAVE_LEFT(NODES) || STORED_MEMBERS(NODES) == 0)
#endif
    }
  od
}

init {
  byte i;
  atomic {
    for (i : 0 .. WITNESSES - 1) {
      incarnation[i] = FIRST_INCARNATION;
      present[i] = FIRST_INCARNATION
    }
    if
    /* The nodes are no witnesses yet. */
    :: present[3] = NONE; present[4] = NONE; present[5] = NONE
    :: true
    fi;
    i = 0;
    run Environment();
    run FormerOwner();
    run Successor()
  }
}
