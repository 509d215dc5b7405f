/** Tests of the placement of requests that share a prompt, without a network. */
import {
  expectCached,
  expectCommonTokens,
} from '@parsleyarch/policy/prompt-affinity';
import {hashName, type RendezvousMember} from '@parsleyarch/policy/rendezvous';
import {chooseCandidate} from '@parsleyarch/policy/upstream-choice';
import {prefillWork, relativeTime} from '@parsleyarch/policy/work';
import test from 'ava';
import {seededRandom} from './random.js';

interface Engine extends RendezvousMember {
  readonly id: string;
  /** When its queued prefill is done, milliseconds. */
  busyUntil: number;
  /** When each shared part was last used. */
  readonly usedAt: Map<number, number>;
}

const createEngines = (count: number): Engine[] =>
  Array.from({length: count}, (_, index) => ({
    id: `engine-${index}`,
    digest: hashName(`engine-${index}`),
    busyUntil: 0,
    usedAt: new Map(),
  }));

test('all nodes expect a shared part at the same engines', t => {
  const engines = createEngines(20);
  for (let key = 0; key < 50; key += 1) {
    const expected = expectCached(hashName(`part-${key}`), engines);
    const reversed = [...engines].reverse();
    t.deepEqual(expectCached(hashName(`part-${key}`), reversed), expected);
    const [first] = expected.keys();
    const others = engines.filter(engine => engine !== first);
    const [, second] = expected.keys();
    t.is(
      expectCached(hashName(`part-${key}`), others)
        .keys()
        .next().value,
      second,
    );
  }
});

const ENGINE_COUNT = 13;
const TOKENS_PER_MS = 50;
const SHARED_TOKENS = 13_300;
const OWN_TOKENS = 3_700;
const CACHE_TTL_MS = 10_000;
const PENALTIES = {otherDomain: 1, failure: 8, jitter: 1};

/** Time to the end of the prefill of each request, and the tokens read. */
function playLoad(requestsPerSecond: number, seconds: number, affine: boolean) {
  const random = seededRandom(7);
  const engines = createEngines(ENGINE_COUNT);
  const waits: number[] = [];
  let readTokens = 0;
  let now = 0;
  while (now < seconds * 1_000) {
    now += (-Math.log(1 - random()) / requestsPerSecond) * 1_000;
    const part = hashName(`part-${Math.floor(random() ** 2 * 60)}`);
    const cachedChances = affine ? expectCached(part, engines) : undefined;
    const candidates = engines.map(engine => ({
      id: engine.id,
      sameDomain: true,
      presentWork:
        (Math.max(0, engine.busyUntil - now) * TOKENS_PER_MS) / 1_000,
      addedWork: prefillWork(
        OWN_TOKENS + SHARED_TOKENS * (1 - (cachedChances?.get(engine) ?? 0)),
        1,
      ),
      failures: 0,
      down: false,
      coldFull: false,
    }));
    const choice = chooseCandidate(candidates, PENALTIES, random);
    const engine = engines.find(({id}) => id === choice?.id)!;
    const cached = now - (engine.usedAt.get(part) ?? -Infinity) < CACHE_TTL_MS;
    const tokens = OWN_TOKENS + (cached ? 0 : SHARED_TOKENS);
    readTokens += tokens;
    engine.busyUntil = Math.max(now, engine.busyUntil) + tokens / TOKENS_PER_MS;
    engine.usedAt.set(part, engine.busyUntil);
    waits.push(engine.busyUntil - now);
  }
  waits.sort((a, b) => a - b);
  return {p90: waits[Math.floor(waits.length * 0.9)], readTokens};
}

test('requests that share a long part are read less often and wait less near full load', t => {
  const spread = playLoad(36, 60, false);
  const affine = playLoad(36, 60, true);
  t.log({spread, affine});
  t.true(affine.readTokens < spread.readTokens * 0.8);
  t.true(affine.p90 < spread.p90 * 0.8);
});

test('a part that every request shares does not overload one engine', t => {
  const engines = createEngines(4);
  const part = hashName('hot');
  const counts = new Map<string, number>();
  const work = new Map(engines.map(({id}) => [id, 0]));
  for (let sent = 0; sent < 200; sent += 1) {
    const cachedChances = expectCached(part, engines);
    const candidates = engines.map(engine => ({
      id: engine.id,
      sameDomain: true,
      presentWork: work.get(engine.id)!,
      addedWork: prefillWork(1_000 * (1 - (cachedChances.get(engine) ?? 0)), 1),
      failures: 0,
      down: false,
      coldFull: false,
    }));
    const {id} = chooseCandidate(candidates, PENALTIES, seededRandom(sent))!;
    counts.set(id, (counts.get(id) ?? 0) + 1);
    work.set(id, work.get(id)! + 1);
  }
  for (const {id} of engines) t.true((counts.get(id) ?? 0) > 40);
});

test('a small model is expected to be faster than a large one, but not by its price', t => {
  t.is(relativeTime(1), 1);
  for (const cost of [0.05, 0.1, 0.3, 0.5, 0.9]) {
    t.true(relativeTime(cost) < 1);
    t.true(relativeTime(cost) > cost);
  }
});

test('segments that all engines get often are expected everywhere, those after a rare one nowhere', t => {
  const often = {tokens: 2_000, requestCount: 600};
  const rare = {tokens: 3_000, requestCount: 1};
  t.true(expectCommonTokens([often], 60) > 1_900);
  const tokens = expectCommonTokens([often, rare], 60);
  t.true(tokens > 1_900 && tokens < 2_200);
  t.true(expectCommonTokens([rare, often], 60) < 150);
  t.is(expectCommonTokens([], 60), 0);
});
