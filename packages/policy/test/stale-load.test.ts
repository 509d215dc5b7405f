/** Tests of the split of load by old figures: water-filling, draws, arrivals, choice. */
import {expectArrivals, recordArrival} from '@parsleyarch/policy/arrivals';
import {
  createSpreadPositions,
  nextPosition,
} from '@parsleyarch/policy/spread-positions';
import {
  chooseByLevel,
  IDLE_MS,
  type QueuedUpstream,
  type RequestWork,
} from '@parsleyarch/policy/stale-load';
import {
  computeLevel,
  fillWork,
  pickQueue,
} from '@parsleyarch/policy/water-filling';
import test from 'ava';
import fc from 'fast-check';
import {seededRandom} from './random.js';

const arbitraryQueues = fc.array(
  fc.record({
    delay: fc.double({min: 0, max: 100, noNaN: true}),
    speed: fc.double({min: 0.1, max: 10, noNaN: true}),
  }),
  {minLength: 1, maxLength: 30},
);

test('the level takes exactly the amount, and leaves longer queues alone', t => {
  fc.assert(
    fc.property(
      arbitraryQueues,
      fc.double({min: 0.01, max: 1_000, noNaN: true}),
      (queues, amount) => {
        const level = computeLevel(queues, amount);
        let filled = 0;
        for (const queue of queues) filled += fillWork(queue, level);
        return Math.abs(filled - amount) < 1e-6 * (1 + amount);
      },
    ),
    {seed: 1},
  );
  t.pass();
});

test('only queues below the level are drawn, in proportion to what they lack', t => {
  const queues = [
    {delay: 0, speed: 1},
    {delay: 5, speed: 2},
    {delay: 20, speed: 1},
  ];
  const level = computeLevel(queues, 20);
  t.is(level, 10);
  t.deepEqual(
    [0, 0.49, 0.51, 0.99].map(position => pickQueue(queues, level, position)),
    [0, 0, 1, 1],
  );
  t.is(pickQueue(queues, 0, 0.5), undefined);
});

test('the draws of all nodes together lie evenly', t => {
  const nodes = Array.from({length: 60}, () => createSpreadPositions());
  const counts = Array.from({length: 20}, () => 0);
  for (let draw = 0; draw < 4; draw += 1) {
    for (const [index, positions] of nodes.entries()) {
      const position = nextPosition(positions, 's', 7, index / nodes.length);
      counts[Math.floor(position * counts.length)] += 1;
    }
  }
  t.true(counts.every(count => count >= 8 && count <= 16));
});

test('arrivals are expected at the rate at which they came, and fade', t => {
  const arrivals = new Map();
  for (let now = 0; now <= 20_000; now += 100)
    recordArrival(arrivals, 's', 2, now);
  const expected = expectArrivals(arrivals, 's', 20_000, 1_000);
  t.true(expected > 18 && expected < 22);
  t.true(expectArrivals(arrivals, 's', 60_000, 1_000) < 0.01);
  t.is(expectArrivals(arrivals, 'other', 20_000, 1_000), 0);
});

const PENALTIES = {otherDomain: 1, failure: 8, jitter: 0};
const NOTHING_EXPECTED = {
  ownDomainWork: 0,
  otherDomainWork: 0,
  samePromptCount: 0,
};

type Candidate = QueuedUpstream & RequestWork & {readonly id: string};

function createCandidate(
  id: string,
  work: number,
  changes: Partial<Candidate> = {},
): Candidate {
  return {
    id,
    sameDomain: true,
    presentWork: work,
    queuedWork: work,
    addedWork: 1,
    uncachedWork: 1,
    failures: 0,
    coldFull: false,
    speed: 1,
    isExpectedCached: false,
    ...changes,
  };
}

/** How often each of the candidates is chosen, at even positions. */
function countChoices(
  candidates: readonly Candidate[],
  expectation = NOTHING_EXPECTED,
): Record<string, number> {
  const random = seededRandom(1);
  const counts: Record<string, number> = {};
  for (let draw = 0; draw < 100; draw += 1) {
    const choice = chooseByLevel(
      candidates,
      candidate => candidate,
      PENALTIES,
      expectation,
      {position: draw / 100, random: random()},
    );
    const id = choice?.upstream.id ?? 'none';
    counts[id] = (counts[id] ?? 0) + 1;
  }
  return counts;
}

test('much expected work is split evenly, little goes to the least loaded', t => {
  const expectation = {...NOTHING_EXPECTED, ownDomainWork: 600};
  const candidates = [createCandidate('a', 5), createCandidate('b', 6)];
  const even = countChoices(candidates, expectation);
  t.true(even.a >= 45 && even.a <= 55);
  const uneven = [createCandidate('a', 0), createCandidate('b', 6)];
  t.deepEqual(countChoices(uneven), {a: 100});
});

test('an upstream whose queue lags behind gets half of its share, not nothing', t => {
  const expectation = {...NOTHING_EXPECTED, ownDomainWork: 600};
  const candidates = [createCandidate('a', 0), createCandidate('b', 6)];
  const counts = countChoices(candidates, expectation);
  t.true(counts.b >= 18 && counts.b <= 32);
});

test('slow upstreams get less, and cold ones at their limit nothing', t => {
  const counts = countChoices(
    [
      createCandidate('usual', 0),
      createCandidate('slow', 0, {speed: 0.5}),
      createCandidate('cold', 0, {coldFull: true}),
    ],
    {...NOTHING_EXPECTED, ownDomainWork: 30},
  );
  t.false('cold' in counts);
  t.true(counts.usual >= 60 && counts.usual <= 72);
  t.deepEqual(countChoices([createCandidate('cold', 0, {coldFull: true})]), {
    none: 100,
  });
});

test('work spills to another failure domain as far as the difference exceeds the distance', t => {
  const far = {sameDomain: false};
  const expectation = {
    ...NOTHING_EXPECTED,
    ownDomainWork: 20,
    otherDomainWork: 20,
  };
  const equal = [createCandidate('own', 4), createCandidate('far', 4, far)];
  t.deepEqual(countChoices(equal, expectation), {own: 100});
  const uneven = [createCandidate('own', 14), createCandidate('far', 0, far)];
  const counts = countChoices(uneven, expectation);
  t.true(counts.own > 20 && counts.far > 20);
});

test('a cached prompt draws its requests, unless more come than fit there', t => {
  const cached = {addedWork: 1, uncachedWork: 5, isExpectedCached: true};
  const candidates = [
    createCandidate('cached', 2, cached),
    createCandidate('b', 2, {addedWork: 5}),
    createCandidate('c', 2, {addedWork: 5}),
  ];
  const expectation = {...NOTHING_EXPECTED, ownDomainWork: 30};
  t.deepEqual(countChoices(candidates, expectation), {cached: 100});
  const hot = countChoices(candidates, {...expectation, samePromptCount: 50});
  t.true(hot.cached < 60);
});

test('an upstream that has just said that none waits is used before an average one', t => {
  const idle = createCandidate('idle', 9, {idleSinceMs: 0, queuedWork: 9});
  const others = [createCandidate('b', 3), createCandidate('c', 3)];
  const expectation = {...NOTHING_EXPECTED, ownDomainWork: 30};
  t.deepEqual(countChoices([idle, ...others], expectation), {idle: 100});
  const old = {...idle, idleSinceMs: IDLE_MS * 3};
  t.true((countChoices([old, ...others], expectation).idle ?? 0) < 50);
});
