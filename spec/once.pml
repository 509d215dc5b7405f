/*
 * At-most-once calls: a caller sends one idempotency key through two nodes. Either
 * node may crash or pause at any point, and answers of the store may be lost.
 * docs/PROTOCOL.md lists the functions that implement claim, dispatch and answer.
 * Each MUTANT_* macro disables one rule of the protocol.
 */
#define UNCLAIMED 0
#define RELEASED 9

byte holder = UNCLAIMED;    /* node with the claim, UNCLAIMED or RELEASED */
bool outcomeStored = false; /* whether the claim contains the outcome */
byte executions = 0;        /* number of executions by the service */
bool answeredNotRun[3];     /* by node: it answered `not run` to the caller */
bool executedFor[3];        /* by node: the service executed its call */
bool crashed[3];            /* by node: it has crashed */

proctype node(byte id) {
  byte answer;
  byte readHolder;
  byte attempts = 0;

claiming:
  if
  :: crashed[id] -> goto end
  :: !crashed[id] && attempts >= 2 ->
       answeredNotRun[id] = true;         /* store unavailable: refuses as not run */
       goto end
  :: !crashed[id] && attempts < 2 ->
       attempts++;
       atomic {
         if
         :: holder == UNCLAIMED || holder == RELEASED ->
              if
              :: holder = id; answer = 1  /* created */
              :: holder = id; answer = 2  /* lost after it was applied */
              :: answer = 2               /* lost before it was applied */
              fi
         :: holder != UNCLAIMED && holder != RELEASED ->
              answer = 0                  /* exists */
         fi
       }
  fi;

  if
  :: answer == 1 -> goto dispatch
  :: answer != 1 ->
#ifdef MUTANT_TRUST_LOST
       if
       :: answer == 2 -> goto dispatch    /* treats a lost answer as success */
       :: else -> skip
       fi;
#endif
       /* Reads the claim back; the read may fail, too. */
       if
       :: goto claiming
       :: atomic { readHolder = holder };
          if
          :: readHolder == UNCLAIMED || readHolder == RELEASED -> goto claiming
          :: readHolder == id -> goto dispatch
          :: else ->
#ifdef MUTANT_STEAL_CLAIM
               atomic { holder = id };
               goto dispatch              /* takes over from a silent holder */
#else
               goto end                   /* answers the outcome, or unknown */
#endif
          fi
       fi
  fi;

dispatch:
  if
  :: crashed[id] -> goto end
  :: !crashed[id] ->                      /* connection refused: nothing was sent */
       atomic {
         if
         :: holder == id -> holder = RELEASED
         :: else -> skip
         fi;
         answeredNotRun[id] = true
       };
       goto end
  :: !crashed[id] ->                      /* bytes are sent to the service */
       if
       :: atomic { executions++; executedFor[id] = true }
       :: skip                            /* connection lost before the execution */
       fi;
       if
       :: goto store_outcome
       :: 
#ifdef MUTANT_EARLY_NOT_RUN
          answeredNotRun[id] = true;      /* answers `not run` after bytes were sent */
#endif
#ifdef MUTANT_RELEASE_UNKNOWN
          holder = RELEASED;              /* releases the claim after bytes were sent */
#endif
          goto end                        /* connection lost: outcome unknown */
       fi
  fi;

store_outcome:
  if
  :: outcomeStored = true
  :: skip                                 /* store unavailable: repeated calls get unknown */
  fi;

end:
  skip
}

active proctype crasher() {
  if
  :: crashed[1] = true
  :: crashed[2] = true
  :: skip
  fi
}

active proctype monitor() {
  do
  :: atomic {
       assert(executions <= 1);
       assert(!(answeredNotRun[1] && executedFor[1]));
       assert(!(answeredNotRun[2] && executedFor[2]))
     }
  :: timeout -> break
  od
}

init {
  atomic {
    run node(1);
    run node(2)
  }
}
