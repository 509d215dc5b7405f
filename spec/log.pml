/*
 * The configuration log: writers race for slots, answers of the store may be lost,
 * a former controller is paused between its check and its write, and a reader
 * follows the log with stale reads. docs/PROTOCOL.md lists the functions that
 * implement each transition. Each MUTANT_* macro disables one rule of the protocol.
 */
#define SLOTS 3
#define EMPTY 0
#define LAST_GUARDED 2     /* changes 1 to 2 have a precondition */

byte slot[SLOTS];          /* id of the change in each slot; written once */
byte acceptedAt[4];        /* by change: slot it was accepted in plus one, or 0 */
byte writes[4];            /* by change: number of slots that contain it */

/* Create-if-absent; the answer may be lost after the write was applied. */
inline create(index, id, answer) {
  atomic {
    if
    :: slot[index] == EMPTY ->
         slot[index] = id;
         writes[id]++;
         if
         :: answer = 1            /* created */
         :: answer = 2            /* lost */
         fi
#ifdef MUTANT_OVERWRITE
    :: slot[index] != EMPTY ->
         slot[index] = id;
         writes[id]++;
         answer = 1
#else
    :: slot[index] != EMPTY ->
         if
         :: answer = 0            /* exists */
         :: answer = 2            /* lost */
         fi
#endif
    :: answer = 2                 /* lost before it was applied */
    fi
  }
}

/*
 * A writer appends one change. A guarded change advances the roll-out from the
 * step that the writer has read; its precondition fails if another guarded change
 * was appended since.
 */
proctype writer(byte id; bool guarded) {
  byte nextSlot = 0;         /* local revision: slots applied so far */
  byte localStep = 0;        /* step of the roll-out at the local revision */
  byte baseStep;
  byte answer;
  bool done = false;

  do
  :: done -> break
  :: !done && nextSlot < SLOTS ->
       /* Apply the log; reads may be stale by any number of slots. */
       if
       :: slot[nextSlot] != EMPTY ->
            if
            :: slot[nextSlot] == id ->    /* written earlier: accepted */
                 acceptedAt[id] = nextSlot + 1; done = true
            :: else ->
                 if
                 :: slot[nextSlot] <= LAST_GUARDED -> localStep++
                 :: else -> skip
                 fi;
                 nextSlot++
            fi
       :: true ->
            baseStep = localStep;
            /* Precondition: the step is still the one that was read first. */
            if
#ifndef MUTANT_NO_PRECONDITION
            :: guarded && baseStep != 0 -> done = true  /* conflict */
            :: !guarded || baseStep == 0 ->
#else
            :: true ->
#endif
                 create(nextSlot, id, answer);
                 if
                 :: answer == 1 ->
                      acceptedAt[id] = nextSlot + 1; done = true
                 :: answer == 0 ->
                      skip                /* reads the slot in the next round */
                 :: answer == 2 ->
#ifdef MUTANT_SKIP_UNREAD
                      nextSlot++          /* skips the slot without reading it */
#else
                      skip                /* reads back; retries if empty */
#endif
                 fi
            fi
       fi
  :: !done && nextSlot >= SLOTS -> done = true
  od
}

/* A reader applies entries in order; its reads may be stale, but never reordered. */
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
  :: steps < 6 -> steps++                 /* stale read without a new entry */
  :: steps >= 6 -> break
  od
}

byte highestRevision = 0;

/* Checks the invariants in every state. */
active proctype monitor() {
  do
  :: atomic {
       /* single order: an entry that the reader has applied is the one in the slot */
       assert(readerSeen[0] == EMPTY || readerSeen[0] == slot[0]);
       assert(readerSeen[1] == EMPTY || readerSeen[1] == slot[1]);
       /* each change occupies at most one slot */
       assert(writes[1] <= 1 && writes[2] <= 1 && writes[3] <= 1);
       /* an accepted change is in the slot in which it was accepted */
       assert(acceptedAt[1] == 0 || slot[acceptedAt[1] - 1] == 1);
       assert(acceptedAt[2] == 0 || slot[acceptedAt[2] - 1] == 2);
       assert(acceptedAt[3] == 0 || slot[acceptedAt[3] - 1] == 3);
       /* of two changes with the same precondition, at most one is in the log */
       assert(writes[1] + writes[2] <= 1);
       /* no gaps */
       assert(slot[1] == EMPTY || slot[0] != EMPTY);
       assert(slot[2] == EMPTY || slot[1] != EMPTY);
       /* the reader never reverts to an earlier revision */
       assert(readerRevision >= highestRevision);
       highestRevision = readerRevision
     }
  :: timeout -> break
  od
}

init {
  atomic {
    run writer(1, true);     /* the controller */
    run writer(2, true);     /* a former controller, paused at any point */
    run writer(3, false);    /* an operator */
    run reader()
  }
}
