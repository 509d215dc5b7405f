/**
 * Sequential test of a new version against the old one. For each signal, a
 * betting martingale over the counts measures the evidence that the new version
 * is worse. It can be evaluated after every request without raising the
 * probability of a false stop. Pure functions only.
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
const FALSE_STOP_PROBABILITY = 0.006;

/** Largest increase in the rate of bad outcomes that is accepted. */
const MAX_BAD_RATE_INCREASE = 0.01;

/**
 * Stakes of the mixture: small ones detect small differences, large ones detect
 * large differences early.
 */
const STAKES = [0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 4, 12] as const;

/**
 * Upper bound of the old version's bad rate: two standard errors above it. One
 * bad outcome in four requests is added, so that few requests give no bound near
 * zero.
 */
function upperRate({seen, bad}: Tally): number {
  const trials = seen + 4;
  const rate = (bad + 1) / trials;
  return Math.min(0.95, rate + 2 * Math.sqrt((rate * (1 - rate)) / trials));
}

/**
 * Log of the wealth after betting that the bad rate exceeds `base`. The stake is
 * limited so that a good outcome loses 95% of the wealth at most.
 */
function logWealth(stake: number, {seen, bad}: Tally, base: number): number {
  const lost = Math.log1p(-Math.min(stake, 0.95 / base) * base);
  const won = Math.log1p(Math.min(stake, 0.95 / base) * (1 - base));
  return bad * won + (seen - bad) * lost;
}

/** Log of the evidence that the new version's bad rate exceeds the old one's. */
export function logEvidenceAgainst(fresh: Tally, old: Tally): number {
  const base = upperRate(old) + MAX_BAD_RATE_INCREASE;
  const logs = STAKES.map(stake => logWealth(stake, fresh, base));
  const top = Math.max(...logs);
  const sum = logs.reduce((total, log) => total + Math.exp(log - top), 0);
  return top + Math.log(sum / STAKES.length);
}

/** The first signal on which the new version is proven worse, if any. */
export function findRegression(
  fresh: VersionTally,
  old: VersionTally,
): Signal | undefined {
  const bound = Math.log(SIGNALS.length / FALSE_STOP_PROBABILITY);
  for (const signal of SIGNALS) {
    if (logEvidenceAgainst(fresh[signal], old[signal]) >= bound) return signal;
  }
  return undefined;
}

/** Log evidence above which a roll-out stays at its step for now. */
const HOLD_LOG_EVIDENCE = 0;

/** Whether some signal suggests, even without proof, that the version is worse. */
export function hasAdverseEvidence(
  fresh: VersionTally,
  old: VersionTally,
): boolean {
  return SIGNALS.some(
    signal =>
      logEvidenceAgainst(fresh[signal], old[signal]) > HOLD_LOG_EVIDENCE,
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
