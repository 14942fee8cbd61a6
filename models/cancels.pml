/*
 * Model of the cancellation of one job in a shard with a single writer
 * (docs/adr/0037-cancels-of-unknown-jobs.md): an owner (A) that may be slow or
 * replaced without noticing it, its successor (B), a worker and the store. Copies
 * of the job's submission and cancels arrive at both owners, in any order, and a
 * submission may be withdrawn. Checks that the owner of the newest epoch orders
 * no start once a cancel was acknowledged, and that no run is left when nothing
 * more happens. Leases are left out: a run ends only by a stop. So is forgetting
 * by time: what is remembered is remembered for ever.
 *
 * Each macro removes one rule; the check must then fail:
 *   UNKNOWN_AT_ONCE     a cancel of an unknown job is answered before it is stored
 *   KNOWN_AT_ONCE       a cancel of a known job is answered before it is stored
 *   NOT_RESTORED        a new owner does not read the cancelled IDs
 *   WITHDRAWN_FORGOTTEN a withdrawal forgets the cancel
 *   REPLACED_ANSWERS    an owner whose append is refused acknowledges its cancels
 *   NO_EPOCH            the store accepts appends with a lower epoch
 *   ID_NOT_LOOKED_UP    a submission of a cancelled ID starts its job
 *   STOPPED_ONCE        a run that outlives a confirmed stop is not stopped again
 */
#define A 1
#define B 2
#define NONE 0
#define SUBMISSIONS_PER_OWNER 2
#define CANCELS_PER_OWNER 2
#define STARTS_PER_OWNER 2
/* Stops that are confirmed without ending the run. */
#define VAIN_STOPS 1

/* States of an append. */
#define SENT 1
#define STORED 2 /* not answered yet */
#define REFUSED 3

#ifdef NO_EPOCH
#define IS_REFUSED(me) false
#else
#define IS_REFUSED(me) (epoch > me)
#endif

/* The store. */
byte epoch;
bool stored_job;
bool stored_end; /* whether the job is stored as cancelled */
bool stored_id;  /* whether the ID is stored as cancelled */

/* The worker. */
byte token;
bool running;
byte vain_stops = VAIN_STOPS;
byte transit_owner; /* the owner of a start in transit, or NONE */

bool acknowledged; /* whether a caller was told that the job is cancelled */

proctype Environment() {
  do
  /* A start arrives at any time, or is lost. */
  :: atomic { transit_owner != NONE ->
      if
      :: transit_owner >= token -> token = transit_owner; running = true
      :: true
      fi;
      transit_owner = NONE
    }
  /* Nothing more can happen. */
  :: timeout -> assert(!acknowledged || !running); break
  od
}

proctype Owner(byte me) {
  byte submissions = SUBMISSIONS_PER_OWNER;
  byte cancels = CANCELS_PER_OWNER;
  byte starts = STARTS_PER_OWNER;
  /* The job. */
  bool known;
  bool cancelled;
  bool written;     /* part of an append */
  bool startable;   /* stored as accepted */
  bool job_changed;
  byte waiting_submissions;
  /* The cancelled ID. */
  bool remembered;
  bool id_changed;
  /* The append that is not answered yet, or NONE, and what it holds. */
  byte append = NONE;
  bool append_job;
  bool append_end;
  bool append_id;
  /* Cancels that wait for the next append, or for the present one. */
  bool waits_for_next;
  bool waits_for_append;
  bool vainly_stopped;
  bool passive;

  /* Fences earlier owners, then reads what is stored. */
  atomic {
    if
    :: epoch > me -> passive = true
    :: else ->
      epoch = me;
      known = stored_job;
      cancelled = stored_end;
#ifndef NOT_RESTORED
      remembered = stored_id;
#endif
      written = known;
      startable = known
    fi
  }
end:
  do
  :: atomic { passive -> break }
  /* A copy of the submission arrives. */
  :: atomic { !passive && submissions > 0 ->
      submissions--;
      if
      :: known -> waiting_submissions++
      :: else ->
        known = true;
#ifndef ID_NOT_LOOKED_UP
        cancelled = remembered;
#endif
        job_changed = true;
        waiting_submissions = 1
      fi
    }
  /* A submission gives up before the job is part of an append. */
  :: atomic { !passive && known && !written && waiting_submissions > 0 ->
      waiting_submissions--;
      if
      :: waiting_submissions == 0 ->
#ifndef WITHDRAWN_FORGOTTEN
        if
        :: cancelled && !remembered -> remembered = true; id_changed = true
        :: else
        fi;
#endif
        known = false; cancelled = false; job_changed = false
      :: else
      fi
    }
  /* A cancel arrives. */
  :: atomic { !passive && cancels > 0 ->
      cancels--;
      if
      :: known ->
        if
        :: !cancelled -> cancelled = true; job_changed = true
        :: else
        fi;
#ifdef KNOWN_AT_ONCE
        acknowledged = true;
#endif
      :: else ->
        if
        :: !remembered -> remembered = true; id_changed = true
        :: else
        fi;
#ifdef UNKNOWN_AT_ONCE
        acknowledged = true;
#endif
      fi;
      if
      :: job_changed || id_changed -> waits_for_next = true
      :: !job_changed && !id_changed && append != NONE -> waits_for_append = true
      :: else -> acknowledged = true
      fi
    }
  /* Sends an append. Without changes of this job it holds those of others. */
  :: atomic { !passive && append == NONE &&
        (job_changed || id_changed || waits_for_next) ->
      append = SENT;
      append_job = known;
      append_end = cancelled;
      append_id = remembered;
      written = known;
      job_changed = false;
      id_changed = false;
      waits_for_append = waits_for_next;
      waits_for_next = false
    }
  /* The append takes effect or is refused, whether or not the owner lives on. */
  :: atomic { append == SENT ->
      if
      :: IS_REFUSED(me) -> append = REFUSED
      :: else ->
        append = STORED;
        stored_job = stored_job || append_job;
        stored_end = stored_end || append_end;
        stored_id = stored_id || append_id
      fi
    }
  :: atomic { !passive && append == STORED ->
      append = NONE;
      startable = startable || append_job;
      acknowledged = acknowledged || waits_for_append;
      waits_for_append = false
    }
  :: atomic { !passive && append == REFUSED ->
#ifdef REPLACED_ANSWERS
      acknowledged = acknowledged || waits_for_append;
#endif
      passive = true
    }
  /* Orders a start. */
  :: atomic { !passive && known && startable && !cancelled && starts > 0 &&
        transit_owner == NONE ->
      assert(!acknowledged || epoch != me);
      starts--;
      transit_owner = me
    }
  /* Holds the worker: shows it the token, and stops a run of a job that is
     cancelled or not known. */
  :: atomic { !passive && token < me -> token = me }
  :: atomic { !passive && token > me -> passive = true }
  :: atomic { !passive && token == me && running && (!known || cancelled) &&
        !vainly_stopped ->
      if
      :: running = false
      :: vain_stops > 0 ->
        vain_stops--;
#ifdef STOPPED_ONCE
        vainly_stopped = true
#endif
      fi
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
