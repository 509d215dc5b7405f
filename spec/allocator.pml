/*
 * Handover of the single credit of a cold upstream from allocator 1, which may be
 * partitioned or paused, to allocator 2, which the log names as its successor. The
 * model has a bounded clock, grants that expire, and requests that can outlast
 * their grant. Node 1 is on allocator 2's VM list and runs requests of any length.
 * Node 2 is not on the list yet; its requests end within its grant.
 * Each MUTANT_* macro disables one rule of the protocol.
 */
#define TTL 1              /* lifetime of a grant, ticks */
#define MAX_AGE 1          /* maximum age of a confirmation to grant on, ticks */
#define LAST_TICK 7        /* last tick that is explored */

#ifdef MUTANT_NO_FRESHNESS
#define IS_FRESH true
#else
#define IS_FRESH (now <= confirmedAt + MAX_AGE)
#endif
#ifdef MUTANT_NO_WAIT
#define HAS_WAITED true
#else
#define HAS_WAITED (now > namedAt + MAX_AGE + TTL)
#endif
#ifdef MUTANT_NO_REPORTS
#define HAS_REPORTS true
#else
#define HAS_REPORTS (reported[1])
#endif

byte now = 0;              /* current tick */
byte holder = 1;           /* allocator named in the log: 1, then 2 */
byte namedAt = 0;          /* tick at which allocator 2 was named */
byte confirmedAt = 0;      /* last tick at which allocator 1 was confirmed */
byte grantEnd[3];          /* by node: last tick of its grant plus one, or 0 */
bool granted1[3];          /* by node: allocator 1 counts a credit of it */
bool granted2[3];          /* by node: allocator 2 counts a credit of it */
bool reported[3];          /* by node: it has reported to allocator 2 */
byte running[3];           /* by node: requests that it runs */

active proctype clock() {
  do
  :: atomic {
       /* node 2's requests end within its grant */
       now < LAST_TICK && !(running[2] && now + 1 >= grantEnd[2]) -> now++
     }
  :: now >= LAST_TICK -> break
  od
}

active proctype log() {
  if
  :: atomic { holder == 1 -> holder = 2; namedAt = now }
  :: true
  fi
}

/* Allocator 1 may confirm that it is still named at any tick, or never again. */
active proctype allocator1() {
  byte n;
  do
  :: now >= LAST_TICK -> break
  :: atomic { holder == 1 -> confirmedAt = now }
  :: atomic {
       now < LAST_TICK && IS_FRESH ->
       if
       :: n = 1
       :: n = 2
       fi;
       if
       :: !granted1[3 - n] && !reported[n] ->
            granted1[n] = true;
            grantEnd[n] = now + TTL + 1
       :: else -> skip
       fi
     }
  od
}

active proctype allocator2() {
  byte n;
  do
  :: now >= LAST_TICK -> break
  :: atomic {
       now < LAST_TICK && holder == 2 && HAS_WAITED && HAS_REPORTS ->
       if
       :: n = 1
       :: n = 2
       fi;
       if
       :: !granted2[3 - n] && reported[n] ->
            granted2[n] = true;
            grantEnd[n] = now + TTL + 1
       :: else -> skip
       fi
     }
  od
}

proctype node(byte id) {
  do
  :: now >= LAST_TICK -> break
  :: atomic { running[id] == 0 && now < grantEnd[id] && now < LAST_TICK ->
       running[id] = 1 }
  :: atomic { running[id] == 1 -> running[id] = 0 }
  /* returns an unused credit to the allocator that it knows */
  :: atomic { running[id] == 0 && grantEnd[id] > 0 ->
       grantEnd[id] = 0;
       if
       :: reported[id] -> granted2[id] = false
       :: else -> granted1[id] = false
       fi
     }
  /* learns of allocator 2; reports a running request or an unexpired grant */
  :: atomic { holder == 2 && !reported[id] ->
       reported[id] = true;
#ifndef MUTANT_NO_HOLDING
       granted2[id] = running[id] || now < grantEnd[id]
#endif
     }
  /* reports again once its request has ended: it holds no credit any more */
  :: atomic { reported[id] && granted2[id] && running[id] == 0 ->
       grantEnd[id] = 0;
       granted2[id] = false }
  od
}

active proctype monitor() {
  do
  :: assert(running[1] + running[2] <= 1)
  :: timeout -> break
  od
}

init {
  atomic {
    run node(1);
    run node(2)
  }
}
