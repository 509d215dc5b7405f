/** Exposure to bad versions, by the pure test and shares of sessions. */
import {
  EMPTY_TALLY,
  findRegression,
  nextRolloutAction,
  type VersionTally,
} from '@parsleyarch/policy/rollout';
import {rolloutPercent} from '@parsleyarch/policy/version';
import type {RolloutSpec} from '@parsleyarch/resource/schema';
import {round, seeded, type Figures} from './figures.js';

const CALLERS = 400;
const REQUESTS_PER_SECOND = 50;
const OLD_RATE = 0.05;
const OLD_SEEN = 2_000;
/** Time for nodes to hear each other's counters. */
const SHARE_MS = 1_000;
const NODES = 9;
const MIN_STEP_MS = 60_000;
const LIMIT_MS = 3_600_000;
const ROLLOUT: RolloutSpec = {
  model: 'hymn',
  from: 'old',
  to: 'new',
  steps: [1, 10, 50, 100],
  step: 0,
  state: 'running',
};

interface Run {
  readonly exposed: number;
  readonly requests: number;
  readonly stopped: boolean;
  readonly seconds: number;
}

function tally(seen: number, bad: number): VersionTally {
  return {...EMPTY_TALLY, error: {seen, bad}};
}

interface Counts {
  seen: number;
  bad: number;
}

/**
 * One roll-out; each node sees its own counts at once, others' with a lag.
 * Without the test the steps go on by requests and time alone.
 */
function runOnce(seed: number, rate: number, tested: boolean): Run {
  const random = seeded(seed);
  const old = tally(OLD_SEEN, Math.round(OLD_SEEN * OLD_RATE));
  const buckets = Array.from({length: CALLERS}, () => random() * 100);
  const own: Counts[] = Array.from({length: NODES}, () => ({seen: 0, bad: 0}));
  let shared = own.map(counts => ({...counts}));
  const exposed = new Set<number>();
  let spec = ROLLOUT;
  let stepAt = 0;
  let seenBefore = 0;
  let requests = 0;
  let sharedAt = 0;
  for (let now = 0; now < LIMIT_MS; now += 1_000 / REQUESTS_PER_SECOND) {
    if (now - sharedAt >= SHARE_MS) {
      shared = own.map(counts => ({...counts}));
      sharedAt = now;
    }
    const node = Math.floor(random() * NODES);
    const caller = Math.floor(random() * CALLERS);
    if (buckets[caller] >= rolloutPercent(spec)) continue;
    exposed.add(caller);
    requests += 1;
    own[node].seen += 1;
    if (random() < rate) own[node].bad += 1;
    const view = shared.map((counts, at) => (at === node ? own[at] : counts));
    const seen = view.reduce((sum, counts) => sum + counts.seen, 0);
    const bad = view.reduce((sum, counts) => sum + counts.bad, 0);
    const fresh = tally(seen, bad);
    const seconds = now / 1_000;
    if (tested && findRegression(fresh, old))
      return {exposed: exposed.size, requests, stopped: true, seconds};
    const move = nextRolloutAction(
      spec,
      tested ? fresh : old,
      old,
      seen - seenBefore,
      now - stepAt,
      MIN_STEP_MS,
    );
    if (move.action === 'stay') continue;
    spec = move.spec;
    stepAt = now;
    seenBefore = seen;
    if (spec.state === 'done')
      return {exposed: exposed.size, requests, stopped: false, seconds};
  }
  return {
    exposed: exposed.size,
    requests,
    stopped: false,
    seconds: LIMIT_MS / 1_000,
  };
}

const RUNS = 60;
const EQUAL_RUNS = 400;

function summarise(seed: number, worseBy: number, runs: number, tested = true) {
  const all = Array.from({length: runs}, (_, run) =>
    runOnce(seed * 10_000 + run, OLD_RATE + worseBy, tested),
  );
  const sorted = (pick: (run: Run) => number) =>
    all.map(pick).sort((a, b) => a - b);
  const middle = Math.floor(runs / 2);
  return {
    stoppedShare: round(all.filter(run => run.stopped).length / runs),
    // Nobody's bucket lies in the first step, which then never ends.
    nobodyExposedShare: round(
      all.filter(run => run.exposed === 0).length / runs,
    ),
    callersExposedMedian: sorted(run => run.exposed)[middle],
    callersExposedMost: sorted(run => run.exposed)[runs - 1],
    requestsMedian: sorted(run => run.requests)[middle],
    secondsMedian: Math.round(sorted(run => run.seconds)[middle]),
  };
}

/** Bad versions of three grades, and equal ones. */
export async function measureRollout(seed: number): Promise<Figures> {
  const equal = summarise(seed, 0, EQUAL_RUNS);
  return {
    violations: equal.stoppedShare >= 0.01 ? 1 : 0,
    callers: CALLERS,
    badBy50: summarise(seed, 0.5, RUNS),
    badBy20: summarise(seed, 0.2, RUNS),
    badBy5: summarise(seed, 0.05, RUNS),
    falseStops: equal.stoppedShare,
    equal,
    badBy50WithoutTest: summarise(seed, 0.5, RUNS, false),
  };
}
