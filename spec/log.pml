/*
 * The configuration log: two writers race for slots, the store may lose answers,
 * a former controller is paused between its check and its write, and a reader
 * follows with stale reads. See docs/PROTOCOL.md for the functions behind each
 * transition. Defining a MUTANT_* takes one rule out.
 */
#define SLOTS 3
#define EMPTY 0
#define GUARDED 2          /* changes 1 and 2 carry a precondition */

byte slot[SLOTS];          /* change id in each slot; written once */
byte acceptedAt[4];        /* slot in which each change was accepted, plus one */
byte writes[4];            /* slots that a change occupies */

/* Create-if-absent; the answer may be lost after the write took effect. */
inline create(number, id, answer) {
  atomic {
    if
    :: slot[number] == EMPTY ->
         slot[number] = id;
         writes[id]++;
         if
         :: answer = 1            /* created */
         :: answer = 2            /* lost */
         fi
#ifdef MUTANT_OVERWRITE
    :: slot[number] != EMPTY ->
         slot[number] = id;
         writes[id]++;
         answer = 1
#else
    :: slot[number] != EMPTY ->
         if
         :: answer = 0            /* exists */
         :: answer = 2            /* lost */
         fi
#endif
    :: answer = 2                 /* lost before any effect */
    fi
  }
}

/*
 * A writer appends one change. A guarded one moves the roll-out from the step
 * it has read: another guarded entry in between fails its precondition.
 */
proctype writer(byte id; bool guarded) {
  byte next = 0;             /* slots applied so far: the local revision */
  byte myStep = 0;           /* local step */
  byte based;
  byte answer;
  bool done = false;

  do
  :: done -> break
  :: !done && next < SLOTS ->
       /* Apply what is known: the tail may be anywhere behind. */
       if
       :: slot[next] != EMPTY ->
            if
            :: slot[next] == id ->        /* landed earlier: accepted */
                 acceptedAt[id] = next + 1; done = true
            :: else ->
                 if
                 :: slot[next] <= GUARDED -> myStep++
                 :: else -> skip
                 fi;
                 next++
            fi
       :: true ->
            based = myStep;
            /* The precondition: the step must be the one first read. */
            if
#ifndef MUTANT_NO_PRECONDITION
            :: guarded && based != 0 -> done = true  /* conflict */
            :: !guarded || based == 0 ->
#else
            :: true ->
#endif
                 create(next, id, answer);
                 if
                 :: answer == 1 ->
                      acceptedAt[id] = next + 1; done = true
                 :: answer == 0 ->
                      skip                /* read the slot in the next round */
                 :: answer == 2 ->
#ifdef MUTANT_PASS_LOST
                      next++              /* gives the slot up unread */
#else
                      skip                /* reads back; empty means retry */
#endif
                 fi
            fi
       fi
  :: !done && next >= SLOTS -> done = true
  od
}

/* A reader applies entries in order; its reads may lag, never reorder. */
byte readerRevision = 0;
byte readerSeen[SLOTS];

proctype reader() {
  byte steps = 0;
  do
  :: readerRevision < SLOTS && slot[readerRevision] != EMPTY ->
       atomic {
         readerSeen[readerRevision] = slot[readerRevision];
         readerRevision++
       }
#ifdef MUTANT_REVERT
  :: readerRevision > 1 -> readerRevision--
#endif
  :: steps < 6 -> steps++                 /* stale read: nothing new */
  :: steps >= 6 -> break
  od
}

byte highest = 0;

/* Watches every state. */
active proctype monitor() {
  do
  :: atomic {
       /* one order: what a reader saw is what the slot holds */
       assert(readerSeen[0] == EMPTY || readerSeen[0] == slot[0]);
       assert(readerSeen[1] == EMPTY || readerSeen[1] == slot[1]);
       /* each change stands in one slot at most */
       assert(writes[1] <= 1 && writes[2] <= 1 && writes[3] <= 1);
       /* an accepted change is in the slot in which it was accepted */
       assert(acceptedAt[1] == 0 || slot[acceptedAt[1] - 1] == 1);
       assert(acceptedAt[2] == 0 || slot[acceptedAt[2] - 1] == 2);
       assert(acceptedAt[3] == 0 || slot[acceptedAt[3] - 1] == 3);
       /* of two changes with the same precondition one is in the log */
       assert(writes[1] + writes[2] <= 1);
       /* no gaps */
       assert(slot[1] == EMPTY || slot[0] != EMPTY);
       assert(slot[2] == EMPTY || slot[1] != EMPTY);
       /* never reverts */
       assert(readerRevision >= highest);
       highest = readerRevision
     }
  :: timeout -> break
  od
}

init {
  atomic {
    run writer(1, true);     /* the controller */
    run writer(2, true);     /* a former one, paused at any point */
    run writer(3, false);    /* an operator */
    run reader()
  }
}
