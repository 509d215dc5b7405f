/*
 * One batch of bills, written by its origin or by either of two peers that hold
 * copies, under one key created only when absent. Peers may suspect the origin
 * at any time, rightly or not; the origin may die at any moment after the
 * copies were made; answers of the store may be lost. The accounts drop repeats
 * by request id. Defining a MUTANT_* takes one rule out.
 */
#define BILLS 2
#define ALL 3              /* both bills, as a bit set */

byte key = 0;              /* bills under the batch's key: bit set, 0 if absent */
byte later = 0;            /* bills under keys of later batches */
byte answered = 0;         /* bills that are owed: their answers have ended */
byte copies[3];            /* bills that each peer holds */
byte writtenAs = 0;        /* the batch when it was written first */
byte ended = 0;

/* Writes a batch; what the stored batch lacks goes into a later one. */
inline settle(mine, done) {
  atomic {
    if
    :: key == 0 ->
         key = mine;
         writtenAs = mine;
         if
         :: done = true            /* created */
         :: skip                   /* lost: reads back in the next round */
         fi
    :: key != 0 ->
#ifdef MUTANT_OVERWRITE
         key = mine;
#else
#ifndef MUTANT_DROP_MISSING
         later = later | (mine & (ALL ^ key));
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
       answered = answered | (1 << bill);
       bill++
  :: bill > 0 && !done -> settle(((1 << bill) - 1), done)
  :: done -> break
  :: true -> break                 /* dies */
  od;
  ended++
}

proctype peer(byte me) {
  bool done = false;
  byte wrote = 0;
  do
  :: copies[me] != wrote ->        /* suspects the origin */
       wrote = copies[me];
       done = false;
       do
       :: !done -> settle(wrote, done)
       :: done -> break
       od
  :: ended >= 1 && copies[me] == wrote -> break
  od;
  ended++
}

init {
  atomic {
    run peer(1);
    run peer(2)
  }
  ended == 3;
  assert((answered & (ALL ^ (key | later))) == 0);
  assert(key == writtenAs)
}
