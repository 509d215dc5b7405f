/**
 * Simulates how many callers reach a bad version before the regression test
 * stops its roll-out.
 */
import {
  EMPTY_TALLY,
  findRegression,
  nextRolloutAction,
  type VersionTally,
} from '@parsleyarch/policy/rollout';
import {rolloutPercent} from '@parsleyarch/policy/version';
import type {RolloutSpec} from '@parsleyarch/resource/schema';
import {round, seededRandom, type MeasurementResult} from './figures.js';

const CALLER_COUNT = 400;
const REQUESTS_PER_SECOND = 50;
const OLD_ERROR_RATIO = 0.05;
const OLD_REQUEST_COUNT = 2_000;
/** Interval at which nodes exchange their counters. */
const COUNTER_EXCHANGE_MS = 1_000;
const NODE_COUNT = 9;
const MIN_STEP_MS = 60_000;
const MAX_SIMULATED_MS = 3_600_000;
const ROLLOUT_SPEC: RolloutSpec = {
  model: 'hymn',
  from: 'old',
  to: 'new',
  steps: [1, 10, 50, 100],
  step: 0,
  state: 'running',
};

interface SimulatedRollout {
  readonly exposedCallerCount: number;
  readonly requestCount: number;
  readonly stopped: boolean;
  readonly seconds: number;
}

function createTally(seen: number, bad: number): VersionTally {
  return {...EMPTY_TALLY, error: {seen, bad}};
}

interface Counts {
  seen: number;
  bad: number;
}

/**
 * Simulates one roll-out. A node sees its own counts at once and those of other
 * nodes with a delay. Without the regression test, steps depend only on request
 * count and time.
 */
function simulateRollout(
  seed: number,
  errorRatio: number,
  checkRegression: boolean,
): SimulatedRollout {
  const random = seededRandom(seed);
  const oldTally = createTally(
    OLD_REQUEST_COUNT,
    Math.round(OLD_REQUEST_COUNT * OLD_ERROR_RATIO),
  );
  const buckets = Array.from({length: CALLER_COUNT}, () => random() * 100);
  const countsByNode: Counts[] = Array.from({length: NODE_COUNT}, () => ({
    seen: 0,
    bad: 0,
  }));
  let exchangedCounts = countsByNode.map(counts => ({...counts}));
  const exposedCallers = new Set<number>();
  let spec = ROLLOUT_SPEC;
  let stepStartedAt = 0;
  let seenBeforeStep = 0;
  let requestCount = 0;
  let exchangedAt = 0;
  for (
    let now = 0;
    now < MAX_SIMULATED_MS;
    now += 1_000 / REQUESTS_PER_SECOND
  ) {
    if (now - exchangedAt >= COUNTER_EXCHANGE_MS) {
      exchangedCounts = countsByNode.map(counts => ({...counts}));
      exchangedAt = now;
    }
    const node = Math.floor(random() * NODE_COUNT);
    const caller = Math.floor(random() * CALLER_COUNT);
    if (buckets[caller] >= rolloutPercent(spec)) continue;
    exposedCallers.add(caller);
    requestCount += 1;
    countsByNode[node].seen += 1;
    if (random() < errorRatio) countsByNode[node].bad += 1;
    const visibleCounts = exchangedCounts.map((counts, index) =>
      index === node ? countsByNode[index] : counts,
    );
    const seen = visibleCounts.reduce((sum, counts) => sum + counts.seen, 0);
    const bad = visibleCounts.reduce((sum, counts) => sum + counts.bad, 0);
    const newTally = createTally(seen, bad);
    const seconds = now / 1_000;
    if (checkRegression && findRegression(newTally, oldTally))
      return {
        exposedCallerCount: exposedCallers.size,
        requestCount,
        stopped: true,
        seconds,
      };
    const next = nextRolloutAction(
      spec,
      checkRegression ? newTally : oldTally,
      oldTally,
      seen - seenBeforeStep,
      now - stepStartedAt,
      MIN_STEP_MS,
    );
    if (next.action === 'stay') continue;
    spec = next.spec;
    stepStartedAt = now;
    seenBeforeStep = seen;
    if (spec.state === 'done')
      return {
        exposedCallerCount: exposedCallers.size,
        requestCount,
        stopped: false,
        seconds,
      };
  }
  return {
    exposedCallerCount: exposedCallers.size,
    requestCount,
    stopped: false,
    seconds: MAX_SIMULATED_MS / 1_000,
  };
}

const BAD_VERSION_RUN_COUNT = 60;
const EQUAL_VERSION_RUN_COUNT = 400;

function summarizeRuns(
  seed: number,
  addedErrorRatio: number,
  runCount: number,
  checkRegression = true,
) {
  const results = Array.from({length: runCount}, (_, run) =>
    simulateRollout(
      seed * 10_000 + run,
      OLD_ERROR_RATIO + addedErrorRatio,
      checkRegression,
    ),
  );
  const sortedBy = (select: (run: SimulatedRollout) => number) =>
    results.map(select).sort((a, b) => a - b);
  const medianIndex = Math.floor(runCount / 2);
  return {
    stoppedShare: round(results.filter(run => run.stopped).length / runCount),
    // If no caller's bucket lies in the first step, that step never ends.
    nobodyExposedShare: round(
      results.filter(run => run.exposedCallerCount === 0).length / runCount,
    ),
    callersExposedMedian: sortedBy(run => run.exposedCallerCount)[medianIndex],
    callersExposedMost: sortedBy(run => run.exposedCallerCount)[runCount - 1],
    requestsMedian: sortedBy(run => run.requestCount)[medianIndex],
    secondsMedian: Math.round(sortedBy(run => run.seconds)[medianIndex]),
  };
}

/** Error ratio raised by 50, 20 and 5 points, and unchanged. */
export async function measureRollout(seed: number): Promise<MeasurementResult> {
  const equal = summarizeRuns(seed, 0, EQUAL_VERSION_RUN_COUNT);
  return {
    violations: equal.stoppedShare >= 0.01 ? 1 : 0,
    callers: CALLER_COUNT,
    badBy50: summarizeRuns(seed, 0.5, BAD_VERSION_RUN_COUNT),
    badBy20: summarizeRuns(seed, 0.2, BAD_VERSION_RUN_COUNT),
    badBy5: summarizeRuns(seed, 0.05, BAD_VERSION_RUN_COUNT),
    falseStops: equal.stoppedShare,
    equal,
    badBy50WithoutTest: summarizeRuns(seed, 0.5, BAD_VERSION_RUN_COUNT, false),
  };
}
