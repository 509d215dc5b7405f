/*
 * Hand-over of the one credit of a cold upstream from an allocator that is cut off
 * or paused to another that the log names, with a bounded clock, grants with an
 * expiry, and requests that outlast their grant. Node 1 is on the new allocator's
 * VM list and runs requests of any length. Node 2 is not listed yet; its
 * requests end within its grant. Defining a MUTANT_* takes one rule out.
 */
#define TTL 1              /* lifetime of a grant, ticks */
#define FRESH 1            /* age up to which an allocator acts, ticks */
#define LAST 7             /* ticks explored */

#ifdef MUTANT_NO_FRESHNESS
#define IS_FRESH true
#else
#define IS_FRESH (now <= confirmedAt + FRESH)
#endif
#ifdef MUTANT_NO_WAIT
#define HAS_WAITED true
#else
#define HAS_WAITED (now > takenAt + FRESH + TTL)
#endif
#ifdef MUTANT_NO_REPORTS
#define HAS_REPORTS true
#else
#define HAS_REPORTS (moved[1])
#endif

byte now = 0;
byte holder = 1;           /* allocator by the log: 1, then 2 */
byte takenAt = 0;          /* tick at which allocator 2 was named */
byte confirmedAt = 0;      /* last tick at which allocator 1 knew the log */
byte goodUntil[3];         /* expiry of the grant of each node, plus one */
bool held1[3];             /* allocator 1 counts a credit of the node */
bool held2[3];
bool moved[3];             /* node has reported to allocator 2 */
byte running[3];

active proctype clock() {
  do
  :: atomic {
       /* node 2's requests end within its grant */
       now < LAST && !(running[2] && now + 1 >= goodUntil[2]) -> now++
     }
  :: now >= LAST -> break
  od
}

active proctype log() {
  if
  :: atomic { holder == 1 -> holder = 2; takenAt = now }
  :: true
  fi
}

/* Allocator 1 learns at any time that it is still named, or never again. */
active proctype allocator1() {
  byte n;
  do
  :: now >= LAST -> break
  :: atomic { holder == 1 -> confirmedAt = now }
  :: atomic {
       now < LAST && IS_FRESH ->
       if
       :: n = 1
       :: n = 2
       fi;
       if
       :: !held1[3 - n] && !moved[n] ->
            held1[n] = true;
            goodUntil[n] = now + TTL + 1
       :: else -> skip
       fi
     }
  od
}

active proctype allocator2() {
  byte n;
  do
  :: now >= LAST -> break
  :: atomic {
       now < LAST && holder == 2 && HAS_WAITED && HAS_REPORTS ->
       if
       :: n = 1
       :: n = 2
       fi;
       if
       :: !held2[3 - n] && moved[n] ->
            held2[n] = true;
            goodUntil[n] = now + TTL + 1
       :: else -> skip
       fi
     }
  od
}

proctype node(byte me) {
  do
  :: now >= LAST -> break
  :: atomic { running[me] == 0 && now < goodUntil[me] && now < LAST ->
       running[me] = 1 }
  :: atomic { running[me] == 1 -> running[me] = 0 }
  /* gives an unused credit back to whichever allocator it knows */
  :: atomic { running[me] == 0 && goodUntil[me] > 0 ->
       goodUntil[me] = 0;
       if
       :: moved[me] -> held2[me] = false
       :: else -> held1[me] = false
       fi
     }
  /* learns of allocator 2 and reports what it runs and may still start */
  :: atomic { holder == 2 && !moved[me] ->
       moved[me] = true;
#ifndef MUTANT_NO_HOLDING
       held2[me] = running[me] || now < goodUntil[me]
#endif
     }
  /* reports again: what it runs now is all that it holds */
  :: atomic { moved[me] && held2[me] && running[me] == 0 ->
       goodUntil[me] = 0;
       held2[me] = false }
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
