import test from 'ava';
import fc from 'fast-check';
import {
  incrementCounter,
  collectChangedCounters,
  createReplicatedCounters,
  dropOldWindows,
  mergeShard,
  readTotal,
  type CounterShard,
} from '../src/evidence.js';
import {deduplicateBills, findMissingBills, type Bill} from '../src/bill.js';

const shardArbitrary = fc.record({
  node: fc.constantFrom('vm-1', 'vm-2', 'vm-3'),
  incarnation: fc.integer({min: 1, max: 2}),
  window: fc.constant(1),
  counters: fc.dictionary(fc.constantFrom('x', 'y'), fc.nat(100)),
});

const CHECK_OPTIONS = {seed: 20_261_203, numRuns: 500};

function mergeAll(shards: readonly CounterShard[]) {
  const replicated = createReplicatedCounters();
  for (const each of shards) mergeShard(replicated, each);
  return replicated;
}

test('merging does not depend on order or repetition', t => {
  fc.assert(
    fc.property(fc.array(shardArbitrary), fc.nat(), (shards, rotate) => {
      const offset = shards.length ? rotate % shards.length : 0;
      const reordered = [
        ...shards.slice(offset),
        ...shards.slice(0, offset),
      ].reverse();
      const once = readTotal(mergeAll(shards), 'x');
      return once === readTotal(mergeAll([...reordered, ...shards]), 'x');
    }),
    CHECK_OPTIONS,
  );
  t.pass();
});

const OWNER = {node: 'vm-1', incarnation: 1, window: 1};

test("a node's counters survive at its peers when it is lost", t => {
  const local = createReplicatedCounters();
  incrementCounter(local, OWNER, 'x');
  incrementCounter(local, OWNER, 'x');
  const peer = mergeAll([collectChangedCounters(local, OWNER, new Map())]);
  incrementCounter(peer, {...OWNER, incarnation: 2}, 'x');
  t.is(readTotal(peer, 'x'), 3);
});

test('only changed counters are sent again', t => {
  const local = createReplicatedCounters();
  incrementCounter(local, OWNER, 'x');
  incrementCounter(local, OWNER, 'y');
  const sent = new Map([['x', 1]]);
  t.deepEqual(collectChangedCounters(local, OWNER, sent).counters, {y: 1});
});

test('the counters of old windows are subtracted from the totals', t => {
  const local = createReplicatedCounters();
  incrementCounter(local, OWNER, 'x');
  incrementCounter(local, {...OWNER, window: 3}, 'x');
  dropOldWindows(local, 3);
  t.is(readTotal(local, 'x'), 1);
});

const billArbitrary = fc.record({
  customer: fc.constantFrom('choir', 'chapel'),
  requestId: fc.constantFrom('1', '2', '3', '4'),
  model: fc.constant('hymn'),
  version: fc.constant('hymn-1'),
  tokens: fc.nat(10),
  cost: fc.nat(10),
}) as fc.Arbitrary<Bill>;

test('no bill is lost or counted twice, whichever writer stores its batch first', t => {
  const batchArbitrary = fc.array(billArbitrary);
  fc.assert(
    fc.property(batchArbitrary, batchArbitrary, (mine, theirs) => {
      const missing = findMissingBills({bills: theirs}, {bills: mine});
      const stored = [{bills: theirs}, {bills: missing}];
      const ids = new Set(
        [...mine, ...theirs].map(b => `${b.customer}/${b.requestId}`),
      );
      return deduplicateBills(stored).length === ids.size;
    }),
    CHECK_OPTIONS,
  );
  t.pass();
});
