/*
 * One batch of bills, written under a single create-if-absent key by its origin or
 * by either of two peers that hold copies. Peers may suspect the origin at any
 * time, rightly or not; the origin may crash at any time after the copies were
 * made; answers of the store may be lost. The accounts deduplicate by request ID.
 * Each MUTANT_* macro disables one rule of the protocol.
 */
#define BILLS 2
#define ALL_BILLS 3        /* bit set of both bills */

byte stored = 0;           /* bills under the batch's key as a bit set; 0 if absent */
byte storedLater = 0;      /* bit set of the bills under later keys */
byte owed = 0;             /* bit set of the bills whose answers have ended */
byte copies[3];            /* by peer: bit set of the bills it has copies of */
byte firstStored = 0;      /* batch as it was first written */
byte endedCount = 0;       /* processes that have ended */

/* Writes a batch; bills missing from the stored batch go into a later one. */
inline writeBatch(batch, done) {
  atomic {
    if
    :: stored == 0 ->
         stored = batch;
         firstStored = batch;
         if
         :: done = true            /* created */
         :: skip                   /* answer lost: reads back in the next round */
         fi
    :: stored != 0 ->
#ifdef MUTANT_OVERWRITE
         stored = batch;
#else
#ifndef MUTANT_DROP_MISSING
         storedLater = storedLater | (batch & (ALL_BILLS ^ stored));
#endif
#endif
         done = true
    fi
  }
}

active proctype origin() {
  byte bill = 0;
  bool done = false;
  do
  :: bill < BILLS && !done ->
#ifndef MUTANT_NO_COPY
       atomic { copies[1] = copies[1] | (1 << bill) };
       atomic { copies[2] = copies[2] | (1 << bill) };
#endif
       owed = owed | (1 << bill);
       bill++
  :: bill > 0 && !done -> writeBatch(((1 << bill) - 1), done)
  :: done -> break
  :: true -> break                 /* crashes */
  od;
  endedCount++
}

proctype peer(byte id) {
  bool done = false;
  byte written = 0;
  do
  :: copies[id] != written ->      /* suspects the origin */
       written = copies[id];
       done = false;
       do
       :: !done -> writeBatch(written, done)
       :: done -> break
       od
  :: endedCount >= 1 && copies[id] == written -> break
  od;
  endedCount++
}

init {
  atomic {
    run peer(1);
    run peer(2)
  }
  endedCount == 3;
  assert((owed & (ALL_BILLS ^ (stored | storedLater))) == 0);
  assert(stored == firstStored)
}
