/**
 * Sequential test of a new version against the old one. For each signal, a Bayes
 * factor over the counts weighs the evidence that the new version is worse against
 * the evidence that it is equal. It can be evaluated after every request without
 * raising the probability of a false stop. Pure functions only.
 */
import type {RolloutSpec} from '@parsleyarch/resource/schema';

/** Requests seen, and how many of them had a bad outcome. */
export interface Tally {
  readonly seen: number;
  readonly bad: number;
}

/** Signals on which versions are compared. */
export const SIGNALS = ['error', 'latency', 'rating'] as const;
export type Signal = (typeof SIGNALS)[number];

/** Counts of one version, by signal. */
export type VersionTally = Readonly<Record<Signal, Tally>>;

export const EMPTY_TALLY: VersionTally = {
  error: {seen: 0, bad: 0},
  latency: {seen: 0, bad: 0},
  rating: {seen: 0, bad: 0},
};

/**
 * Bound on the probability of stopping the roll-out of an equal version, over all
 * signals.
 */
const FALSE_STOP_PROBABILITY = 0.03;

/** Increase in the rate of bad outcomes up to which versions count as equal. */
const MAX_BAD_RATE_INCREASE = 0.01;

/** Increases of the alternative, that the new version is worse. */
const WORSE_BAD_RATE_INCREASES = [0.05, 0.1, 0.2, 0.35, 0.5, 0.7] as const;

/**
 * Requests up to which counts of the old version are trusted in full: bad outcomes
 * come in bursts, so that more requests say less than their number.
 */
const MAX_OLD_REQUEST_COUNT = 400;

/** Rates of the old version that are considered, in standard errors. */
const RATE_OFFSETS = Array.from({length: 11}, (_, i) => -2.4 + i * 0.6);

interface WeightedRate {
  readonly rate: number;
  /** Log of the weight, up to a constant. */
  readonly logWeight: number;
}

function logLikelihood({seen, bad}: Tally, rate: number): number {
  return bad * Math.log(rate) + (seen - bad) * Math.log1p(-rate);
}

/** Rates that the old version may have, by its counts. */
function listOldRates({seen, bad}: Tally): WeightedRate[] {
  const ratio = Math.min(1, MAX_OLD_REQUEST_COUNT / Math.max(1, seen));
  // One bad outcome in four requests is added, so that few requests do not
  // suggest a rate near zero.
  const known = {seen: seen * ratio + 4, bad: bad * ratio + 1};
  const mean = known.bad / known.seen;
  const error = Math.sqrt((mean * (1 - mean)) / known.seen);
  const rates: WeightedRate[] = [];
  for (const offset of RATE_OFFSETS) {
    const rate = mean + offset * error;
    if (rate <= 0 || rate >= 1) continue;
    rates.push({rate, logWeight: logLikelihood(known, rate)});
  }
  return rates;
}

function logSum(logs: readonly number[]): number {
  const top = Math.max(...logs);
  return (
    top + Math.log(logs.reduce((sum, log) => sum + Math.exp(log - top), 0))
  );
}

const MAX_RATE = 0.98;

/** Log likelihood of the new version's counts if it is worse by an increase. */
function logMarginal(
  fresh: Tally,
  oldRates: readonly WeightedRate[],
  increase: number,
): number {
  return logSum(
    oldRates.map(({rate, logWeight}) => {
      const freshRate = Math.min(MAX_RATE, rate + increase);
      return logWeight + logLikelihood(fresh, freshRate);
    }),
  );
}

/**
 * Log of the Bayes factor of the new version being worse against it being equal.
 * Negative values are evidence that it is equal.
 */
export function logEvidenceAgainst(fresh: Tally, old: Tally): number {
  if (fresh.seen === 0) return 0;
  const oldRates = listOldRates(old);
  const worse = WORSE_BAD_RATE_INCREASES.map(increase =>
    logMarginal(fresh, oldRates, increase),
  );
  const equal = logMarginal(fresh, oldRates, MAX_BAD_RATE_INCREASE);
  return logSum(worse) - Math.log(worse.length) - equal;
}

/**
 * The first signal on which the new version is proven worse, if any. Where each of
 * several observers compares its own counts, `observerCount` keeps the probability
 * that any of them stops an equal version below the bound.
 */
export function findRegression(
  fresh: VersionTally,
  old: VersionTally,
  observerCount = 1,
): Signal | undefined {
  const testCount = SIGNALS.length * observerCount;
  const bound = Math.log(testCount / FALSE_STOP_PROBABILITY);
  for (const signal of SIGNALS) {
    if (logEvidenceAgainst(fresh[signal], old[signal]) >= bound) return signal;
  }
  return undefined;
}

/** Log evidence above which a roll-out stays at its step for now. */
const HOLD_LOG_EVIDENCE = 0;

/**
 * Log evidence above which a roll-out stays although its time is running out. A
 * good version that is rolled back costs one more roll-out, a bad one that is
 * kept harms every caller.
 */
const LATE_HOLD_LOG_EVIDENCE = Math.log(5);

/** Whether some signal suggests, even without proof, that the version is worse. */
export function hasAdverseEvidence(
  fresh: VersionTally,
  old: VersionTally,
  isLate = false,
): boolean {
  const bound = isLate ? LATE_HOLD_LOG_EVIDENCE : HOLD_LOG_EVIDENCE;
  return SIGNALS.some(
    signal => logEvidenceAgainst(fresh[signal], old[signal]) > bound,
  );
}

/** Whether, on all signals with requests, the odds of being equal are high enough. */
export function hasEqualityOdds(
  fresh: VersionTally,
  old: VersionTally,
  odds: number,
): boolean {
  return SIGNALS.every(
    signal =>
      fresh[signal].seen === 0 ||
      logEvidenceAgainst(fresh[signal], old[signal]) <= -Math.log(odds),
  );
}

/** Requests that the new version must serve at each step before the next one. */
const MIN_STEP_REQUEST_COUNT = 40;

/** Action of the controller on a roll-out. */
export type RolloutAction =
  | {readonly action: 'stay'}
  | {readonly action: 'advance'; readonly spec: RolloutSpec}
  | {
      readonly action: 'roll-back';
      readonly spec: RolloutSpec;
      readonly signal: Signal;
    };

/**
 * Decides how a running roll-out continues. `seenAtStep` counts requests on the
 * new version since the step began, `stepAgeMs` is the time since then.
 */
export function nextRolloutAction(
  rollout: RolloutSpec,
  fresh: VersionTally,
  old: VersionTally,
  seenAtStep: number,
  stepAgeMs: number,
  minStepMs: number,
): RolloutAction {
  if (rollout.state !== 'running') return {action: 'stay'};
  const signal = findRegression(fresh, old);
  if (signal) {
    return {
      action: 'roll-back',
      signal,
      spec: {...rollout, state: 'rolled-back'},
    };
  }
  if (seenAtStep < MIN_STEP_REQUEST_COUNT || stepAgeMs < minStepMs)
    return {action: 'stay'};
  if (hasAdverseEvidence(fresh, old)) return {action: 'stay'};
  const isLast = rollout.step >= rollout.steps.length - 1;
  const spec: RolloutSpec = isLast
    ? {...rollout, state: 'done'}
    : {...rollout, step: rollout.step + 1};
  return {action: 'advance', spec};
}
