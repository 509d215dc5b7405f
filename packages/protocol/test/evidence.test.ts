import test from 'ava';
import fc from 'fast-check';
import {
  addCount,
  changesSince,
  createEvidence,
  dropOldWindows,
  mergeShare,
  totalOf,
  type Share,
} from '../src/evidence.js';
import {distinctBills, missingBills, type Bill} from '../src/bill.js';

const share = fc.record({
  node: fc.constantFrom('vm-1', 'vm-2', 'vm-3'),
  incarnation: fc.integer({min: 1, max: 2}),
  window: fc.constant(1),
  counters: fc.dictionary(fc.constantFrom('x', 'y'), fc.nat(100)),
});

const SETTINGS = {seed: 20_261_203, numRuns: 500};

function merged(shares: readonly Share[]) {
  const evidence = createEvidence();
  for (const each of shares) mergeShare(evidence, each);
  return evidence;
}

test('counters merge alike in any order, repeats included', t => {
  fc.assert(
    fc.property(fc.array(share), fc.nat(), (shares, rotate) => {
      const at = shares.length ? rotate % shares.length : 0;
      const turned = [...shares.slice(at), ...shares.slice(0, at)].reverse();
      const once = totalOf(merged(shares), 'x');
      return once === totalOf(merged([...turned, ...shares]), 'x');
    }),
    SETTINGS,
  );
  t.pass();
});

const OWNER = {node: 'vm-1', incarnation: 1, window: 1};

test("a node's counts survive at its peers when it is lost", t => {
  const own = createEvidence();
  addCount(own, OWNER, 'x');
  addCount(own, OWNER, 'x');
  const peer = merged([changesSince(own, OWNER, new Map())]);
  addCount(peer, {...OWNER, incarnation: 2}, 'x');
  t.is(totalOf(peer, 'x'), 3);
});

test('only what has changed is told again', t => {
  const own = createEvidence();
  addCount(own, OWNER, 'x');
  addCount(own, OWNER, 'y');
  const told = new Map([['x', 1]]);
  t.deepEqual(changesSince(own, OWNER, told).counters, {y: 1});
});

test('old windows are taken out of the totals', t => {
  const own = createEvidence();
  addCount(own, OWNER, 'x');
  addCount(own, {...OWNER, window: 3}, 'x');
  dropOldWindows(own, 3);
  t.is(totalOf(own, 'x'), 1);
});

const bill = fc.record({
  customer: fc.constantFrom('choir', 'chapel'),
  requestId: fc.constantFrom('1', '2', '3', '4'),
  model: fc.constant('hymn'),
  version: fc.constant('hymn-1'),
  tokens: fc.nat(10),
  cost: fc.nat(10),
}) as fc.Arbitrary<Bill>;

test('whoever writes a batch first, no bill is lost and none counts twice', t => {
  const batch = fc.array(bill);
  fc.assert(
    fc.property(batch, batch, (mine, theirs) => {
      const missing = missingBills({bills: theirs}, {bills: mine});
      const stored = [{bills: theirs}, {bills: missing}];
      const ids = new Set(
        [...mine, ...theirs].map(b => `${b.customer}/${b.requestId}`),
      );
      return distinctBills(stored).length === ids.size;
    }),
    SETTINGS,
  );
  t.pass();
});
