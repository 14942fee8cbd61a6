/*
 * Model of an owner (O) and a worker (W) that restarts under its ID (issue 44): what
 * O sent to one incarnation may be carried out by a later one, which knows nothing
 * of before. O starts one task on W, up to two times, or elsewhere. Checks that no
 * two runs of the task exist at the same time, and that none begins once an end as
 * done has been or will be acknowledged, unless the lease was over in between.
 *
 * Orders: starts, stops and holds, two in transit at most. Any of them is carried out
 * by the incarnation that is there, in any order, within DELAY, or never. Its answer
 * reaches O at once or never. O may count an order as unanswered that is carried out
 * later, and has sent several copies of a start when it repeats it.
 *
 * Time passes in ticks. A lease is asked for on the clock of the incarnation that is
 * meant, counted from the sending; another one grants its longest lease. O is in
 * doubt from the sending of a start. The doubt ends when all copies are answered; when
 * they are answered or too old to be carried out and a later hold without an
 * acknowledgement shows no other run; or when W is lost and the longest lease is over
 * since the last order that asked for one, with the longest time in transit. While in
 * doubt, O neither makes a new attempt nor acknowledges ends.
 *
 * Left out: changes of the owner; answers that are held up; several tasks (so an
 * acknowledgement never waits for the starts of other tasks), gangs and speculative
 * copies; refusals for lack of room; a run elsewhere that ends; storing; clocks that
 * drift; orders before the first start. O may count W as silent after any unanswered
 * hold, and keeps no time-outs. That an answer comes from another incarnation than the
 * known one is always noticed: from a hold by the incarnation that it tells, from a
 * start or stop by the clock. Acknowledgements beyond the last end of an incarnation
 * don't concern later ends.
 *
 * Each macro removes one rule; the check must then fail:
 *   NO_DOUBT            an unanswered start on a lost worker counts as its leases do
 *   FROM_START          it counts from its own sending, not from the last order that
 *                       asked for a lease
 *   UNTIL_CONFIRMED     the doubt ends when the run is known to have begun, although
 *                       a copy of its start is unanswered
 *   FENCE_ENDS_DOUBT    the doubt ends when W has answered a hold with the raised token
 *   EARLY_RESTART       a new attempt does not wait for the end of the doubt
 *   RESTART_AFTER_DELAY it waits only until no start can be carried out any more
 *   ACK_BESIDE_START    an acknowledgement does not wait for the end of the doubt
 *   ACK_AFTER_DELAY     it waits only until no start can be carried out any more
 *   START_BESIDE_ACK    a start is sent while an acknowledgement awaits its answer
 *   ACK_KEEPS_TOKEN     an unanswered acknowledgement does not raise the token
 *   DONE_FORGOTTEN      an end as done of a run that is given up changes nothing, and
 *                       is acknowledged
 *   NO_FOREIGN_LEASES   a new incarnation has no leases from orders for former ones
 *   NO_RAISE            these are over the longest lease after any answer, and the
 *                       token does not rise
 *   ANY_INCARNATION     answers of any incarnation count as of the known one
 * Three rules hold on narrower premises, and must fail without these:
 *   UNTIL_CONFIRMED     holds if O never repeats a start (ONE_COPY)
 *   FENCE_ENDS_DOUBT    holds with one restart (INCARNATIONS=2)
 *   REGISTRY            the doubt on a lost worker lasts for the longest lease, and for
 *                       the time in transit only if the registry shows a later
 *                       incarnation, which it does within a tick: holds if DELAY and
 *                       that tick are no longer than the longest lease (not with
 *                       DELAY=2)
 */
#ifndef INCARNATIONS
#define INCARNATIONS 3
#endif
#define ATTEMPTS 2 /* on W */
#define ORDERS 2 /* in transit at most */

#define ASKED 1   /* the lease that orders ask for, in ticks */
#define LONGEST 2 /* the longest lease that a worker grants */
#ifndef DELAY
#define DELAY 1 /* the longest time in transit */
#endif
#define NO_LEASE 9
#ifndef TOKENS
#define TOKENS 4
#endif

/* Kinds of orders. */
#define FREE 0
#define START 1
#define STOP 2
#define HOLD 3

/* Kinds of ends. All but FAILED are reported as done. */
#define FAILED 1  /* or stopped, or ended with the lease */
#define DONE 2
#define STALE 3   /* done, and the task was started again since */
#define EXCUSED 4 /* done, and the lease was over since */

/* States of the task at O. */
#define IDLE 0
#define SENT 1
#define RUNNING 2
#define ELSEWHERE 3
#define FINISHED 4

typedef Order {
  byte kind;
  bool meant; /* for the incarnation that is there */
  byte token;
  byte what;    /* attempt, or the last end that is acknowledged */
  byte lease;   /* what is left of it on the clock of that incarnation */
  byte left;    /* time in transit that is left */
  bool there;   /* still in transit */
  bool awaited; /* O still waits for the answer */
};
Order orders[ORDERS];

/* W. */
byte incarnation = 1;
byte highest_token;
byte lease;
byte running; /* attempt, or 0 */
byte refused; /* attempts up to this one are refused */
byte ends;    /* number of the last end */
byte kind_of[ATTEMPTS];
byte attempt_of[ATTEMPTS];
byte acknowledged;

#ifdef REGISTRY
/* Whether the registry shows the incarnation that is there. */
bool registered = true;
#define IS_REGISTERED registered
#else
#define IS_REGISTERED true
#endif

bool runs_on_v;
bool noted; /* an end as done was acknowledged */

/* O. */
byte task;
byte attempt;
bool stop_requested;
bool stop_confirmed;
bool is_known = true; /* whether O knows the incarnation that is there */
byte token = 1;
bool fenced = true;
bool unanswered; /* the last hold */
bool silent;
byte seen; /* last end */
/* Remaining times. */
byte own_leases;
byte foreign_leases;
byte last_order; /* until a lease of the last order that asked for one ends */
bool in_doubt;   /* a start may have been carried out, or may yet be */
#ifdef FROM_START
byte since_start;
#define COUNT_FROM_START since_start = DELAY + LONGEST
#define NO_DOUBT_LEFT in_doubt = false; since_start = 0
#else
#define COUNT_FROM_START skip
#define NO_DOUBT_LEFT in_doubt = false
#endif

/* Whether O neither starts the task nor waits for anything any more. */
#define IS_OVER (task == ELSEWHERE || task == FINISHED)
#define HAS_BEGUN (task != IDLE || attempt > 0)
#define IS_START(i) (orders[i].kind == START)
#define IS_ACK(i) (orders[i].kind == HOLD && orders[i].what > 0)
#define ANY(is) (is(0) || is(1))
#define IS_AWAITED_ACK(i) (IS_ACK(i) && orders[i].awaited)
#define IS_AWAITED_HOLD(i) (orders[i].kind == HOLD && orders[i].awaited)
#define IS_AWAITED_START(i) (IS_START(i) && orders[i].awaited)
#define IS_AWAITED_STOP(i) (orders[i].kind == STOP && orders[i].awaited)
#define IS_OVERDUE(i) (orders[i].kind != FREE && orders[i].left == 0 && orders[i].awaited)
#define IS_FREE(i) (orders[i].kind == FREE)

#if defined(EARLY_RESTART)
#define MAY_START_AGAIN true
#elif defined(RESTART_AFTER_DELAY)
#define MAY_START_AGAIN (!ANY(IS_START))
#else
#define MAY_START_AGAIN (!in_doubt)
#endif
#if defined(ACK_BESIDE_START)
#define MAY_ACK true
#elif defined(ACK_AFTER_DELAY)
#define MAY_ACK (!ANY(IS_START))
#else
#define MAY_ACK (!in_doubt)
#endif
#ifdef ONE_COPY
#define MAY_REPEAT false
#else
#define MAY_REPEAT true
#endif
#ifdef START_BESIDE_ACK
#define NO_ACK_AWAITED true
#else
#define NO_ACK_AWAITED (!ANY(IS_AWAITED_ACK))
#endif
#ifdef ANY_INCARNATION
#define IS_FROM_KNOWN(j) true
#else
#define IS_FROM_KNOWN(j) orders[j].meant
#endif
#if defined(FROM_START)
#define IS_DOUBT_OVER (since_start == 0)
#elif defined(NO_DOUBT)
#define IS_DOUBT_OVER true
#elif defined(REGISTRY)
#define IS_DOUBT_OVER \
  (!in_doubt || last_order == 0 || (last_order <= DELAY && (is_known || !registered)))
#else
#define IS_DOUBT_OVER (!in_doubt || last_order == 0)
#endif

inline clear(j) {
  orders[j].kind = FREE;
  orders[j].meant = false;
  orders[j].token = 0;
  orders[j].what = 0;
  orders[j].lease = 0;
  orders[j].left = 0;
  orders[j].there = false;
  orders[j].awaited = false
}

inline send(k, w, l) {
  i = 0;
  do
  :: orders[i].kind != FREE -> i++
  :: else -> break
  od;
  orders[i].kind = k;
  orders[i].meant = is_known;
  orders[i].token = token;
  orders[i].what = w;
  orders[i].lease = (l == NO_LEASE || is_known -> l : 0);
  orders[i].left = DELAY;
  orders[i].there = true;
  orders[i].awaited = true;
  i = 0;
  if
  :: l != NO_LEASE && !IS_OVER -> own_leases = ASKED; last_order = DELAY + LONGEST
  :: else
  fi
}

/* Orders take the first places, so that there are fewer states. */
inline move(from, to) {
  if
  :: orders[to].kind == FREE && orders[from].kind != FREE ->
    orders[to].kind = orders[from].kind;
    orders[to].meant = orders[from].meant;
    orders[to].token = orders[from].token;
    orders[to].what = orders[from].what;
    orders[to].lease = orders[from].lease;
    orders[to].left = orders[from].left;
    orders[to].there = orders[from].there;
    orders[to].awaited = orders[from].awaited;
    clear(from)
  :: else
  fi
}

/* O does not wait for the answer any more. */
inline count_unanswered(j) {
  orders[j].awaited = false;
  if
  :: orders[j].kind == HOLD ->
    unanswered = !IS_OVER;
#ifndef ACK_KEEPS_TOKEN
    if
    :: orders[j].what > 0 -> token++
    :: else
    fi
#endif
  :: else
  fi
}

/* What does not matter any more is reset, so that there are fewer states. */
inline on_over(state) {
  task = state;
  attempt = 0;
  stop_requested = false;
  stop_confirmed = false;
  own_leases = 0;
  foreign_leases = 0;
  last_order = 0;
  silent = false;
  unanswered = false
}

inline mark_stale() {
  if
  :: kind_of[0] == DONE -> kind_of[0] = STALE
  :: else
  fi;
  if
  :: kind_of[1] == DONE -> kind_of[1] = STALE
  :: else
  fi
}

/* An end with the number n is acknowledged. */
inline note(n) {
  assert(kind_of[n - 1] != STALE);
  if
  :: kind_of[n - 1] == DONE -> noted = true
  :: else
  fi;
  kind_of[n - 1] = 0;
  attempt_of[n - 1] = 0
}

inline end_run(k) {
  kind_of[ends] = k;
  attempt_of[ends] = running;
  ends++;
  if
  :: running > refused -> refused = running
  :: else
  fi;
  running = 0
}

/* W extends its lease. */
inline grant(j) {
  if
  :: orders[j].lease == NO_LEASE
  :: else ->
    if
    :: !orders[j].meant -> lease = LONGEST
    :: orders[j].meant && orders[j].lease > lease ->
      lease = orders[j].lease
    :: else
    fi
  fi
}

/* O learns that there is no run any more. */
inline give_up() {
  task = IDLE;
  stop_requested = false;
  stop_confirmed = false
}

inline on_confirmed() {
  task = RUNNING;
#ifdef UNTIL_CONFIRMED
  NO_DOUBT_LEFT
#endif
}

#define IS_NEW_END(n) (ends > n && acknowledged <= n && seen <= n)
inline on_end(n) {
  if
  :: kind_of[n] != FAILED -> on_over(FINISHED)
  :: else -> give_up()
  fi
}

#define SHOWS_NO_OTHER_RUN \
  (running == 0 || (task == RUNNING && running == attempt))

/* The answer to a hold reaches O. */
inline on_hold(j) {
  if
  :: !is_known ->
    is_known = true;
#ifdef REGISTRY
    registered = true;
#endif
    seen = 0;
    foreign_leases = last_order;
    own_leases = 0;
#ifdef NO_FOREIGN_LEASES
    foreign_leases = 0;
#endif
#ifndef NO_RAISE
    token++;
#endif
    fenced = false
  :: else
  fi;
  if
  :: !fenced && orders[j].token == token ->
    fenced = true;
    if
    :: foreign_leases > LONGEST -> foreign_leases = LONGEST
    :: else
    fi;
#ifdef FENCE_ENDS_DOUBT
    if
    :: SHOWS_NO_OTHER_RUN -> NO_DOUBT_LEFT
    :: else
    fi
#endif
  :: else
  fi;
  silent = false;
  unanswered = false;
  if
  :: task == IDLE && ((IS_NEW_END(0) && kind_of[0] >= DONE) ||
                      (IS_NEW_END(1) && kind_of[1] >= DONE)) ->
#ifdef DONE_FORGOTTEN
    skip
#else
    on_over(FINISHED)
#endif
  :: task == SENT || task == RUNNING ->
    if
    :: running == attempt -> on_confirmed()
    :: running != attempt && IS_NEW_END(0) && attempt_of[0] == attempt ->
      on_end(0)
    :: running != attempt && IS_NEW_END(1) && attempt_of[1] == attempt ->
      on_end(1)
    :: else ->
      if
      :: fenced && (task == RUNNING || stop_confirmed) -> give_up()
      :: else
      fi
    fi
  :: else
  fi;
  if
  :: ends > seen && ends > acknowledged -> seen = ends
  :: else
  fi;
  /* The list shows whatever a start has done. */
  if
  :: !ANY(IS_START) && SHOWS_NO_OTHER_RUN -> NO_DOUBT_LEFT
  :: else
  fi
}

/* What O computed for the former incarnation means nothing to the next one. */
inline on_restart(j) {
  orders[j].meant = false;
  if
  :: orders[j].kind != FREE && orders[j].lease != NO_LEASE -> orders[j].lease = 0
  :: else
  fi
}

/* W carries out an order. */
inline carry_out(j) {
  if
  :: orders[j].token < highest_token ->
    /* Refused. */
    if
    :: orders[j].awaited -> clear(j)
    :: orders[j].awaited -> count_unanswered(j)
    :: else
    fi
  :: else ->
    highest_token = orders[j].token;
    if
    :: orders[j].kind == START ->
      if
      :: orders[j].meant && orders[j].lease == 0 /* too late */
      :: else ->
        grant(j);
        if
        :: orders[j].what <= refused || running == orders[j].what
        :: else ->
          assert(running == 0);
          assert(!runs_on_v);
          assert(!noted);
          mark_stale();
          running = orders[j].what
        fi
      fi;
      if
      :: orders[j].awaited ->
        if
        :: true -> count_unanswered(j)
        :: IS_FROM_KNOWN(j) ->
          if
          :: orders[j].what == running && attempt == running && task == SENT ->
            on_confirmed()
          :: else
          fi;
          clear(j);
          if
          :: !ANY(IS_START) && task != SENT -> NO_DOUBT_LEFT
          :: else
          fi
        :: !IS_FROM_KNOWN(j) ->
          silent = !IS_OVER; count_unanswered(j)
        fi
      :: else
      fi
    :: orders[j].kind == STOP ->
      if
      :: running == orders[j].what -> end_run(FAILED)
      :: else
      fi;
      if
      :: orders[j].what > refused -> refused = orders[j].what
      :: else
      fi;
      if
      :: orders[j].awaited ->
        if
        :: true
        :: IS_FROM_KNOWN(j) ->
          if
          :: attempt == orders[j].what && stop_requested -> stop_confirmed = true
          :: else
          fi
        :: !IS_FROM_KNOWN(j) -> silent = !IS_OVER
        fi
      :: else
      fi
    :: orders[j].kind == HOLD ->
      grant(j);
      if
      :: orders[j].what >= 1 && acknowledged < 1 && ends >= 1 -> note(1)
      :: else
      fi;
      if
      :: orders[j].what >= 2 && acknowledged < 2 && ends >= 2 -> note(2)
      :: else
      fi;
      if
      :: orders[j].what > acknowledged ->
        acknowledged = (orders[j].what < ends -> orders[j].what : ends)
      :: else
      fi;
      if
      :: orders[j].awaited -> on_hold(j)
      :: orders[j].awaited -> count_unanswered(j)
      :: else
      fi
    fi
  fi;
  /* O counts an unanswered start as possibly in transit. */
  if
  :: orders[j].kind == START ->
    orders[j].there = false;
    orders[j].meant = false;
    orders[j].token = 0;
    orders[j].what = 0;
    orders[j].lease = 0
  :: else -> clear(j)
  fi;
  move(1, 0)
}

inline tick_order(j) {
  if
  :: orders[j].kind != FREE ->
    if
    :: orders[j].left == 0 -> clear(j)
    :: else ->
      orders[j].left--;
      if
      :: orders[j].lease != NO_LEASE && orders[j].lease > 0 -> orders[j].lease--
      :: else
      fi
    fi
  :: else
  fi
}

#define COUNT_DOWN(t) t = (t > 0 -> t - 1 : 0)

active proctype System() {
  byte i;
  do
  /* Time passes. */
  :: atomic {
      !ANY(IS_OVERDUE) && IS_REGISTERED ->
      tick_order(0);
      tick_order(1);
      move(1, 0);
      COUNT_DOWN(own_leases);
      COUNT_DOWN(foreign_leases);
      COUNT_DOWN(last_order);
#ifdef FROM_START
      COUNT_DOWN(since_start);
#endif
      if
      :: lease == 1 ->
        if
        :: running != 0 -> end_run(FAILED)
        :: else
        fi;
        if
        :: kind_of[0] == DONE || kind_of[0] == STALE -> kind_of[0] = EXCUSED
        :: else
        fi;
        if
        :: kind_of[1] == DONE || kind_of[1] == STALE -> kind_of[1] = EXCUSED
        :: else
        fi
      :: else
      fi;
      COUNT_DOWN(lease)
    }
  /* W restarts. */
  :: atomic {
      incarnation < INCARNATIONS && IS_REGISTERED && HAS_BEGUN ->
      incarnation++;
      is_known = false;
#ifdef REGISTRY
      registered = false;
#endif
      on_restart(0);
      on_restart(1);
      highest_token = 0;
      lease = 0;
      running = 0;
      refused = 0;
      ends = 0;
      kind_of[0] = 0;
      kind_of[1] = 0;
      attempt_of[0] = 0;
      attempt_of[1] = 0;
      acknowledged = 0
    }
#ifdef REGISTRY
  :: atomic { !registered -> registered = true }
#endif
  /* A run ends. */
  :: atomic { running != 0 -> end_run(FAILED) }
  :: atomic { running != 0 -> end_run(DONE) }
  /* An order is carried out, or its answer is not awaited any more. */
  :: atomic { orders[0].there -> carry_out(0) }
  :: atomic { orders[1].there -> carry_out(1) }
  :: atomic { orders[0].awaited -> count_unanswered(0) }
  :: atomic { orders[1].awaited -> count_unanswered(1) }
  /* O starts the task, or repeats the start. */
  :: atomic {
      ANY(IS_FREE) && !silent && NO_ACK_AWAITED &&
      ((task == IDLE && attempt < ATTEMPTS && MAY_START_AGAIN) ||
       (MAY_REPEAT && task == SENT && !stop_requested && !ANY(IS_AWAITED_START))) ->
      if
      :: task == IDLE -> attempt++; task = SENT
      :: else
      fi;
      send(START, attempt, ASKED);
      in_doubt = true;
      COUNT_FROM_START
    }
  :: atomic {
      task == IDLE && attempt > 0 && MAY_START_AGAIN ->
      assert(running == 0);
      assert(!noted);
      mark_stale();
      on_over(ELSEWHERE);
      NO_DOUBT_LEFT;
      runs_on_v = true
    }
  /* O stops the run. */
  :: atomic {
      ANY(IS_FREE) && !silent && !ANY(IS_AWAITED_STOP) &&
      (((task == SENT || task == RUNNING) && !stop_confirmed) ||
       (task == IDLE && in_doubt)) ->
      stop_requested = (task != IDLE);
      send(STOP, attempt, NO_LEASE)
    }
  /* O holds W. */
  :: atomic {
      ANY(IS_FREE) && !ANY(IS_AWAITED_HOLD) && token < TOKENS && HAS_BEGUN ->
      if
      :: send(HOLD, 0, NO_LEASE)
      :: !silent && !unanswered && !IS_OVER -> send(HOLD, 0, ASKED)
      :: !silent && !unanswered && seen > 0 && MAY_ACK ->
        send(HOLD, seen, ASKED)
      fi
    }
  /* O counts W as silent, and gives up its runs. */
  :: atomic { unanswered && !silent && !IS_OVER -> silent = true }
  :: atomic {
      silent && (task == SENT || task == RUNNING || (task == IDLE && in_doubt)) &&
      own_leases == 0 && foreign_leases == 0 && IS_DOUBT_OVER ->
      give_up();
      NO_DOUBT_LEFT
    }
  od
}
