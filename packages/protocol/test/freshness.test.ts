import test from 'ava';
import {judgeFreshness, relayedConfirmation} from '../src/freshness.js';
import {
  applyVmList,
  createMembership,
  digest,
  hear,
  liveNodes,
  type Heartbeat,
  type ListedVm,
} from '../src/membership.js';

const vm = (node: string): ListedVm => ({
  node,
  address: `${node}:1`,
  failureDomain: 'gulberg',
  state: 'live',
});

const beat = (node: string, over: Partial<Heartbeat> = {}): Heartbeat => ({
  node,
  incarnation: 1,
  sequence: 1,
  revision: 7,
  confirmedAgeMs: 100,
  storeReachable: false,
  stopping: false,
  ageMs: 0,
  ...over,
});

const listed = () =>
  applyVmList(createMembership('a'), [vm('a'), vm('b'), vm('c')]);

const OLD = {confirmedAt: 0, storeReachable: false};
const NOW = 20_000;

test('a node whose every peer lacks the store goes on serving', t => {
  const known = hear(listed(), [beat('b'), beat('c')], NOW);
  t.is(judgeFreshness(OLD, known, NOW), 'store-down');
});

test('one peer that reaches the store, or is silent, makes a node stale', t => {
  const reached = [beat('b'), beat('c', {storeReachable: true})];
  t.is(judgeFreshness(OLD, hear(listed(), reached, NOW), NOW), 'stale');
  t.is(judgeFreshness(OLD, hear(listed(), [beat('b')], NOW), NOW), 'stale');
  const silent = hear(listed(), [beat('b'), beat('c')], NOW - 5_000);
  t.is(judgeFreshness(OLD, silent, NOW), 'stale');
});

test('ages are counted from the ask, so that relaying never makes them young', t => {
  let a = listed();
  let b = applyVmList(createMembership('b'), [vm('a'), vm('b'), vm('c')]);
  a = hear(a, [beat('c')], 0);
  // The two pass the same beat to and fro, each answer 300 ms on its way.
  for (let now = 0; now < 6_000; now += 600) {
    b = hear(b, digest(a, now + 150), now);
    a = hear(a, digest(b, now + 450), now + 300);
  }
  const heard = a.beats.get('c');
  t.true(heard === undefined || heard.sentAt <= 0);
  t.true(relayedConfirmation(a, 7) <= -100);
});

test('an older heartbeat of a node never replaces a newer one', t => {
  const newer = hear(listed(), [beat('b', {sequence: 5, revision: 9})], 100);
  const after = hear(newer, [beat('b', {sequence: 4, revision: 8})], 200);
  t.is(after.beats.get('b')?.beat.revision, 9);
  const restarted = [beat('b', {incarnation: 2, sequence: 1, revision: 1})];
  t.is(hear(after, restarted, 300).beats.get('b')?.beat.revision, 1);
});

test('stopping and silent nodes are not live', t => {
  const heard = [beat('b'), beat('c', {stopping: true})];
  const known = hear(listed(), heard, 0);
  t.deepEqual(liveNodes(known, 1_000), ['a', 'b']);
  t.deepEqual(liveNodes(known, 9_000), ['a']);
});
