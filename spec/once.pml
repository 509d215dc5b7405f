/*
 * At-most-once calls: two nodes and a caller that repeats one key through the
 * other, a crash or a pause anywhere, lost store answers. Nodes claim, dispatch
 * and answer as docs/PROTOCOL.md ties to the code. Defining a MUTANT_* takes
 * one rule out.
 */
#define NOBODY 0
#define RELEASED 9

byte claim = NOBODY;        /* holder of the claim */
bool stored = false;        /* whether the outcome stands in the claim */
byte runs = 0;              /* times that the service carried the call out */
bool saidNotRun[3];         /* answers given to the caller, by node */
bool ranBy[3];              /* whether the service ran the call for a node */
bool gone[3];               /* node has crashed */

proctype node(byte me) {
  byte answer;
  byte seen;
  byte tries = 0;

claiming:
  if
  :: gone[me] -> goto end
  :: !gone[me] && tries >= 2 ->
       saidNotRun[me] = true;             /* store away: refuse, not run */
       goto end
  :: !gone[me] && tries < 2 ->
       tries++;
       atomic {
         if
         :: claim == NOBODY || claim == RELEASED ->
              if
              :: claim = me; answer = 1   /* created */
              :: claim = me; answer = 2   /* lost after its effect */
              :: answer = 2               /* lost before its effect */
              fi
         :: claim != NOBODY && claim != RELEASED ->
              answer = 0                  /* exists */
         fi
       }
  fi;

  if
  :: answer == 1 -> goto dispatch
  :: answer != 1 ->
#ifdef MUTANT_TRUST_LOST
       if
       :: answer == 2 -> goto dispatch    /* takes a lost answer for a yes */
       :: else -> skip
       fi;
#endif
       /* Reads the claim back; the read itself may fail. */
       if
       :: goto claiming
       :: atomic { seen = claim };
          if
          :: seen == NOBODY || seen == RELEASED -> goto claiming
          :: seen == me -> goto dispatch
          :: else ->
#ifdef MUTANT_STEAL
               atomic { claim = me };
               goto dispatch              /* takes over from a silent holder */
#else
               goto end                   /* answers the outcome, or unknown */
#endif
          fi
       fi
  fi;

dispatch:
  if
  :: gone[me] -> goto end
  :: !gone[me] ->                         /* connection refused: never left */
       atomic {
         if
         :: claim == me -> claim = RELEASED
         :: else -> skip
         fi;
         saidNotRun[me] = true
       };
       goto end
  :: !gone[me] ->                         /* bytes leave for the service */
       if
       :: atomic { runs++; ranBy[me] = true }
       :: skip                            /* cut before the service ran it */
       fi;
       if
       :: goto stores
       :: 
#ifdef MUTANT_EARLY_NOT_RUN
          saidNotRun[me] = true;          /* says not run after bytes left */
#endif
#ifdef MUTANT_RELEASE_UNKNOWN
          claim = RELEASED;               /* frees a claim after bytes left */
#endif
          goto end                        /* cut: the answer is unknown */
       fi
  fi;

stores:
  if
  :: stored = true
  :: skip                                 /* store away: repeats get unknown */
  fi;

end:
  skip
}

active proctype crasher() {
  if
  :: gone[1] = true
  :: gone[2] = true
  :: skip
  fi
}

active proctype monitor() {
  do
  :: atomic {
       assert(runs <= 1);
       assert(!(saidNotRun[1] && ranBy[1]));
       assert(!(saidNotRun[2] && ranBy[2]))
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
