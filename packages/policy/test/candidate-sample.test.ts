/** Tests of the upstreams that a request compares, with the load they answer. */
import {sampleCandidates} from '@parsleyarch/policy/candidate-sample';
import {chooseCandidate} from '@parsleyarch/policy/upstream-choice';
import test from 'ava';
import {seededRandom} from './random.js';

const ENGINE_COUNT = 55;
const NODE_COUNT = 195;
const DOMAIN_COUNT = 5;
/** Age of the shared load when it arrives, and time between two updates. */
const LOAD_AGE_MS = 300;
const UPDATE_INTERVAL_MS = 400;
const WORK_UNIT_MS = 50;
const PENALTIES = {otherDomain: 1, failure: 8, jitter: 1};

/** Share of requests that wait longer than a limit, when nodes know old loads. */
function playLoad(
  requestsPerSecond: number,
  limitMs: number,
  sampled: boolean,
) {
  const random = seededRandom(3);
  const engines = Array.from({length: ENGINE_COUNT}, (_, index) => ({
    id: `engine-${index}`,
    domain: index % DOMAIN_COUNT,
    busyUntil: 0,
    known: 0,
  }));
  const snapshots: {at: number; backlogs: number[]}[] = [];
  let late = 0;
  let count = 0;
  let now = 0;
  let updatedAt = 0;
  while (now < 60_000) {
    now += (-Math.log(1 - random()) / requestsPerSecond) * 1_000;
    snapshots.push({
      at: now,
      backlogs: engines.map(e => Math.max(0, e.busyUntil - now)),
    });
    if (now - updatedAt >= UPDATE_INTERVAL_MS) {
      updatedAt = now;
      while (snapshots.length > 1 && snapshots[1].at <= now - LOAD_AGE_MS)
        snapshots.shift();
      for (const [index, engine] of engines.entries())
        engine.known = snapshots[0].backlogs[index] / WORK_UNIT_MS;
    }
    const domain = Math.floor(random() * NODE_COUNT) % DOMAIN_COUNT;
    const compared = sampled
      ? sampleCandidates(
          engines,
          engine => engine.domain === domain,
          [],
          random,
        )
      : engines;
    const candidates = compared.map(engine => ({
      id: engine.id,
      sameDomain: engine.domain === domain,
      presentWork: engine.known,
      addedWork: 1,
      failures: 0,
      down: false,
      coldFull: false,
    }));
    const choice = chooseCandidate(candidates, PENALTIES, random);
    const engine = engines.find(({id}) => id === choice?.id)!;
    const workMs = -Math.log(1 - random()) * 90;
    engine.busyUntil = Math.max(now, engine.busyUntil) + workMs;
    count += 1;
    if (engine.busyUntil - now > limitMs) late += 1;
  }
  return late / count;
}

test('with load some hundred milliseconds old, a few random upstreams serve better than the least loaded of all', t => {
  const all = playLoad(350, 1_000, false);
  const sampled = playLoad(350, 1_000, true);
  t.log({all, sampled});
  t.true(sampled < all / 2);
});

test('a sample holds the given upstreams and some of the own domain', t => {
  const upstreams = Array.from({length: 50}, (_, index) => index);
  const random = seededRandom(1);
  for (let drawn = 0; drawn < 100; drawn += 1) {
    const sample = sampleCandidates(
      upstreams,
      index => index < 10,
      [42, 43],
      random,
    );
    t.true(sample.includes(42) && sample.includes(43));
    t.true(sample.filter(index => index < 10).length >= 2);
    t.true(sample.length >= 5 && sample.length <= 7);
    t.is(new Set(sample).size, sample.length);
  }
  t.deepEqual(
    sampleCandidates([1], () => true, [], random),
    [1],
  );
});
