import test from 'ava';
import fc from 'fast-check';
import {
  addCount,
  mergeShare,
  NO_EVIDENCE,
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

test('counters merge alike in any order, repeats included', t => {
  fc.assert(
    fc.property(fc.array(share), fc.nat(), (shares, rotate) => {
      const forward = shares.reduce(mergeShare, NO_EVIDENCE);
      const at = shares.length ? rotate % shares.length : 0;
      const turned = [...shares.slice(at), ...shares.slice(0, at)].reverse();
      const twice = [...turned, ...shares].reduce(mergeShare, NO_EVIDENCE);
      return totalOf(forward, 'x') === totalOf(twice, 'x');
    }),
    SETTINGS,
  );
  t.pass();
});

test("a node's counts survive at its peers when it is lost", t => {
  const owner = {node: 'vm-1', incarnation: 1, window: 1};
  const own = addCount(addCount(NO_EVIDENCE, owner, 'x'), owner, 'x');
  const [told] = own.values();
  const peer = mergeShare(NO_EVIDENCE, told as Share);
  const restarted = {...owner, incarnation: 2};
  t.is(totalOf(addCount(peer, restarted, 'x'), 'x'), 3);
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
