import test from 'ava';
import {assessFreshness, findLatestPeerConfirmation} from '../src/freshness.js';
import {
  applyVmList,
  createMembership,
  collectHeartbeats,
  mergeHeartbeats,
  listLiveNodes,
  type Heartbeat,
  type ListedVm,
} from '../src/membership.js';

const listedVm = (node: string): ListedVm => ({
  node,
  address: `${node}:1`,
  failureDomain: 'gulberg',
  state: 'live',
});

const heartbeat = (
  node: string,
  overrides: Partial<Heartbeat> = {},
): Heartbeat => ({
  node,
  incarnation: 1,
  sequence: 1,
  revision: 7,
  confirmedAgeMs: 100,
  storeReachable: false,
  stopping: false,
  ageMs: 0,
  ...overrides,
});

const createListed = () =>
  applyVmList(createMembership('a'), [
    listedVm('a'),
    listedVm('b'),
    listedVm('c'),
  ]);

const EXPIRED_TAIL = {confirmedAt: 0, storeReachable: false};
const NOW_MS = 20_000;

test('a node is not stale while the store is unreachable for all its peers', t => {
  const known = mergeHeartbeats(
    createListed(),
    [heartbeat('b'), heartbeat('c')],
    NOW_MS,
  );
  t.is(assessFreshness(EXPIRED_TAIL, known, NOW_MS), 'store-down');
});

test('a node is stale if one peer reaches the store or sends no heartbeat', t => {
  const oneReachable = [heartbeat('b'), heartbeat('c', {storeReachable: true})];
  t.is(
    assessFreshness(
      EXPIRED_TAIL,
      mergeHeartbeats(createListed(), oneReachable, NOW_MS),
      NOW_MS,
    ),
    'stale',
  );
  t.is(
    assessFreshness(
      EXPIRED_TAIL,
      mergeHeartbeats(createListed(), [heartbeat('b')], NOW_MS),
      NOW_MS,
    ),
    'stale',
  );
  const silent = mergeHeartbeats(
    createListed(),
    [heartbeat('b'), heartbeat('c')],
    NOW_MS - 5_000,
  );
  t.is(assessFreshness(EXPIRED_TAIL, silent, NOW_MS), 'stale');
});

test('relayed heartbeats never become younger', t => {
  let a = createListed();
  let b = applyVmList(createMembership('b'), [
    listedVm('a'),
    listedVm('b'),
    listedVm('c'),
  ]);
  a = mergeHeartbeats(a, [heartbeat('c')], 0);
  // Both nodes relay the same heartbeat to each other; each answer takes 300 ms.
  // Ages that were counted from the answer would omit that time.
  for (let now = 0; now < 6_000; now += 600) {
    b = mergeHeartbeats(b, collectHeartbeats(a, now + 150), now);
    a = mergeHeartbeats(a, collectHeartbeats(b, now + 450), now + 300);
  }
  const last = a.heartbeats.get('c');
  t.true(last === undefined || last.sentAt <= 0);
  t.true(findLatestPeerConfirmation(a, 7) <= -100);
});

test('an older heartbeat of a node never replaces a newer one', t => {
  const newer = mergeHeartbeats(
    createListed(),
    [heartbeat('b', {sequence: 5, revision: 9})],
    100,
  );
  const after = mergeHeartbeats(
    newer,
    [heartbeat('b', {sequence: 4, revision: 8})],
    200,
  );
  t.is(after.heartbeats.get('b')?.heartbeat.revision, 9);
  const restarted = [
    heartbeat('b', {incarnation: 2, sequence: 1, revision: 1}),
  ];
  t.is(
    mergeHeartbeats(after, restarted, 300).heartbeats.get('b')?.heartbeat
      .revision,
    1,
  );
});

test('nodes that are stopping or send no heartbeats are not live', t => {
  const received = [heartbeat('b'), heartbeat('c', {stopping: true})];
  const known = mergeHeartbeats(createListed(), received, 0);
  t.deepEqual(listLiveNodes(known, 1_000), ['a', 'b']);
  t.deepEqual(listLiveNodes(known, 9_000), ['a']);
});
