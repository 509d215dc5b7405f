/**
 * The sequential test of a new version against the old one. For each signal
 * the evidence that the new version is worse is a betting martingale over
 * counts; it may be looked at after every request without raising the chance
 * of a false stop. Pure functions only.
 */
import type {RolloutSpec} from '@parsleyarch/resource/schema';

/** Requests seen and those that went badly. */
export interface Tally {
  readonly seen: number;
  readonly bad: number;
}

/** Signals on which versions are compared. */
export const SIGNALS = ['error', 'latency', 'rating'] as const;
/** One of the signals. */
export type Signal = (typeof SIGNALS)[number];

/** Counts of one version, by signal. */
export type VersionTally = Readonly<Record<Signal, Tally>>;

/** A tally of nothing. */
export const EMPTY_TALLY: VersionTally = {
  error: {seen: 0, bad: 0},
  latency: {seen: 0, bad: 0},
  rating: {seen: 0, bad: 0},
};

/** Chance of stopping a roll-out of an equal version, all signals together. */
const FALSE_STOP = 0.006;

/** Difference in the rate of bad outcomes that is still accepted. */
const TOLERANCE = 0.01;

/** Stakes that are mixed; small ones see small differences, large ones soon. */
const STAKES = [0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 4, 12] as const;

/** Upper end of the old version's rate, two standard errors up. */
function upperRate({seen, bad}: Tally): number {
  const trials = seen + 4;
  const rate = (bad + 1) / trials;
  return Math.min(0.95, rate + 2 * Math.sqrt((rate * (1 - rate)) / trials));
}

function logWealth(stake: number, {seen, bad}: Tally, base: number): number {
  const lost = Math.log1p(-Math.min(stake, 0.95 / base) * base);
  const won = Math.log1p(Math.min(stake, 0.95 / base) * (1 - base));
  return bad * won + (seen - bad) * lost;
}

/** Log of the evidence that the new rate is above the old one. */
export function evidenceAgainst(fresh: Tally, old: Tally): number {
  const base = upperRate(old) + TOLERANCE;
  const logs = STAKES.map(stake => logWealth(stake, fresh, base));
  const top = Math.max(...logs);
  const sum = logs.reduce((total, log) => total + Math.exp(log - top), 0);
  return top + Math.log(sum / STAKES.length);
}

/** The signal on which the new version is worse, if any. */
export function findHarm(
  fresh: VersionTally,
  old: VersionTally,
): Signal | undefined {
  const bound = Math.log(SIGNALS.length / FALSE_STOP);
  for (const signal of SIGNALS) {
    if (evidenceAgainst(fresh[signal], old[signal]) >= bound) return signal;
  }
  return undefined;
}

/** Evidence, as a logarithm, at which a roll-out stays at its step for now. */
const DOUBT = 0;

/** Whether some signal leans against the new version, short of proof. */
export function isDoubtful(fresh: VersionTally, old: VersionTally): boolean {
  return SIGNALS.some(
    signal => evidenceAgainst(fresh[signal], old[signal]) > DOUBT,
  );
}

/** Requests that each step must see on the new version before the next. */
const STEP_REQUESTS = 40;

/** What the controller does with a roll-out. */
export type RolloutMove =
  | {readonly move: 'stay'}
  | {readonly move: 'advance'; readonly spec: RolloutSpec}
  | {
      readonly move: 'roll-back';
      readonly spec: RolloutSpec;
      readonly signal: Signal;
    };

/**
 * Decides the next step of a running roll-out. `seenAtStep` counts requests on
 * the new version since the step was entered, `stepAgeMs` its age.
 */
export function nextMove(
  rollout: RolloutSpec,
  fresh: VersionTally,
  old: VersionTally,
  seenAtStep: number,
  stepAgeMs: number,
  minStepMs: number,
): RolloutMove {
  if (rollout.state !== 'running') return {move: 'stay'};
  const signal = findHarm(fresh, old);
  if (signal) {
    return {
      move: 'roll-back',
      signal,
      spec: {...rollout, state: 'rolled-back'},
    };
  }
  if (seenAtStep < STEP_REQUESTS || stepAgeMs < minStepMs)
    return {move: 'stay'};
  if (isDoubtful(fresh, old)) return {move: 'stay'};
  const isLast = rollout.step >= rollout.steps.length - 1;
  const spec: RolloutSpec = isLast
    ? {...rollout, state: 'done'}
    : {...rollout, step: rollout.step + 1};
  return {move: 'advance', spec};
}
