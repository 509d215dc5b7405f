import {hashName, rankMember} from '@parsleyarch/policy/rendezvous';
import {
  consumeSend,
  countHolders,
  createShareBucket,
  shareOfLimit,
  timeUntilSend,
} from '@parsleyarch/policy/shared-limit';
import test from 'ava';
import fc from 'fast-check';
import {seededRandom} from './random.js';

const WINDOW_MS = 4_000;
const STEP_MS = 20;
const UPSTREAM = hashName('i-1');

/** A node of the simulation, with the members and the limit that it knows. */
interface SimulatedNode {
  readonly digest: number;
  readonly bucket: ReturnType<typeof createShareBucket>;
  members: readonly SimulatedNode[];
  limit: number;
}

/** A change of the members or of the limit, which nodes learn late. */
interface Change {
  readonly at: number;
  readonly apply: (node: SimulatedNode) => void;
}

const createNode = (name: string, limit: number): SimulatedNode => ({
  digest: hashName(name),
  bucket: createShareBucket(0),
  members: [],
  limit,
});

/** Sends all that is allowed; returns when the sends arrive. */
function simulate(
  nodes: readonly SimulatedNode[],
  changes: readonly Change[],
  durationMs: number,
  {lagMs, travelMs, seed}: {lagMs: number; travelMs: number; seed: number},
): number[] {
  const random = seededRandom(seed);
  const arrivals: number[] = [];
  const pending = changes.flatMap(({at, apply}) =>
    nodes.map(node => ({at: at + random() * lagMs, node, apply})),
  );
  pending.sort((a, b) => a.at - b.at);
  for (let now = 0; now < durationMs; now += STEP_MS) {
    while (pending.length > 0 && pending[0].at <= now) {
      const {node, apply} = pending.shift()!;
      apply(node);
    }
    for (const node of nodes) {
      const {members, limit, bucket} = node;
      const rank = members.includes(node)
        ? rankMember(UPSTREAM, node, members)
        : Infinity;
      const share = shareOfLimit(limit, rank, members.length);
      if (timeUntilSend(bucket, share, now) > 0) continue;
      consumeSend(bucket);
      arrivals.push(now + random() * travelMs);
    }
  }
  return arrivals.sort((a, b) => a - b);
}

function countMost(arrivals: readonly number[]): number {
  let most = 0;
  let first = 0;
  for (let last = 0; last < arrivals.length; last += 1) {
    while (arrivals[first] <= arrivals[last] - WINDOW_MS) first += 1;
    most = Math.max(most, last - first + 1);
  }
  return most;
}

const allowedBy = (limit: number) => 1.5 * limit * (WINDOW_MS / 1_000) + 5;

test('holders that send all they may stay within the limit at any number of nodes', t => {
  const property = fc.property(
    fc.double({min: 0, max: 60, noNaN: true}),
    fc.integer({min: 1, max: 200}),
    fc.integer(),
    (limit, count, seed) => {
      const nodes = Array.from({length: count}, (_, index) =>
        createNode(`node-${index}-${seed}`, limit),
      );
      for (const node of nodes) node.members = nodes;
      const times = {lagMs: 0, travelMs: 500, seed};
      const arrivals = simulate(nodes, [], 10_000, times);
      return countMost(arrivals) <= allowedBy(limit);
    },
  );
  fc.assert(property, {numRuns: 40});
  t.pass();
});

test('members that come and go one by one, and are known late, keep the limit', t => {
  const property = fc.property(
    fc.double({min: 0.2, max: 30, noNaN: true}),
    fc.integer({min: 2, max: 40}),
    fc.integer(),
    (limit, count, seed) => {
      const nodes = Array.from({length: count}, (_, index) =>
        createNode(`node-${index}-${seed}`, limit),
      );
      for (const node of nodes) node.members = nodes;
      const changes: Change[] = [];
      for (let index = 1; index <= 3; index += 1) {
        const gone = nodes[index % count];
        const rest = nodes.filter(node => node !== gone);
        changes.push(
          {at: index * 4_000, apply: node => void (node.members = rest)},
          {at: index * 4_000 + 2_000, apply: node => (node.members = nodes)},
        );
      }
      const times = {lagMs: 1_000, travelMs: 100, seed};
      const arrivals = simulate(nodes, changes, 16_000, times);
      return countMost(arrivals) <= allowedBy(limit);
    },
  );
  fc.assert(property, {numRuns: 40});
  t.pass();
});

test('a limit that changes holds from the moment at which all nodes know it', t => {
  const property = fc.property(
    fc.double({min: 0.2, max: 20, noNaN: true}),
    fc.double({min: 0.2, max: 20, noNaN: true}),
    fc.integer({min: 1, max: 40}),
    fc.integer(),
    (before, after, count, seed) => {
      const nodes = Array.from({length: count}, (_, index) =>
        createNode(`node-${index}-${seed}`, before),
      );
      for (const node of nodes) node.members = nodes;
      const changedAt = 6_000;
      const apply = (node: SimulatedNode) => void (node.limit = after);
      const times = {lagMs: 500, travelMs: 100, seed};
      const arrivals = simulate(nodes, [{at: changedAt, apply}], 16_000, times);
      const knownAt = changedAt + 600;
      const late = arrivals.filter(at => at >= knownAt);
      return countMost(late) <= allowedBy(after);
    },
  );
  fc.assert(property, {numRuns: 40});
  t.pass();
});

test('the holders together use the whole limit', t => {
  for (const [limit, count] of [
    [0.5, 9],
    [2.6, 9],
    [2.6, 195],
    [40, 9],
    [40, 195],
  ]) {
    const nodes = Array.from({length: count}, (_, index) =>
      createNode(`node-${index}`, limit),
    );
    for (const node of nodes) node.members = nodes;
    const times = {lagMs: 0, travelMs: 0, seed: 1};
    const sent = simulate(nodes, [], 20_000, times).length;
    // The rest is lost to the steps of the simulation.
    t.true(sent >= 0.8 * limit * 20 && sent <= limit * 20);
  }
});

test('an upstream whose limit is zero is asked now and then whether it still has one', t => {
  const sharesOf = (limit: number) =>
    [0, 1, 2, 3].map(rank => shareOfLimit(limit, rank, 9).perSecond);
  const sum = sharesOf(0).reduce((total, share) => total + share, 0);
  t.true(sum > 0 && 4 * sum + countHolders(0, 9) <= allowedBy(0));
});

const HALF = {perSecond: 0.5, burst: 1};

test('a node that becomes a holder has saved nothing', t => {
  const bucket = createShareBucket(0);
  t.is(timeUntilSend(bucket, HALF, 60_000), 2_000);
  t.is(timeUntilSend(bucket, HALF, 62_000), 0);
  consumeSend(bucket);
  t.is(timeUntilSend(bucket, {perSecond: 0, burst: 1}, 70_000), Infinity);
  t.is(timeUntilSend(bucket, HALF, 70_000), 2_000);
});

test('few nodes with a large limit save up more than one send each', t => {
  const share = shareOfLimit(40, 0, 9);
  t.true(share.burst > 1);
  const bucket = createShareBucket(0);
  timeUntilSend(bucket, share, 0);
  let sent = 0;
  while (timeUntilSend(bucket, share, 60_000) === 0) {
    consumeSend(bucket);
    sent += 1;
  }
  t.is(sent, share.burst);
});
