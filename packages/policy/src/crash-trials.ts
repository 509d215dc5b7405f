/**
 * Decides when a request that ends upstreams is sent to one again. Requests like it
 * are refused meanwhile. All nodes count the same trials, so that few upstreams end
 * under a request once it is known, however many nodes receive it; a request that is
 * refused by mistake is served again after the first trial.
 */
import {TrialValue} from './crash-evidence.js';

/** Why a culprit may be sound after all. */
export const Doubt = {
  none: 'none',
  /** Upstreams have answered such requests before the ends. */
  answeredBefore: 'answered before',
  /** The upstreams ended at the same time, and may have a common cause. */
  commonCause: 'common cause',
} as const;
export type Doubt = (typeof Doubt)[keyof typeof Doubt];

const SECOND_MS = 1_000;
const MINUTE_MS = 60 * SECOND_MS;
/** Time before each further trial; three at most are made in this time. */
const LAST_DELAY_MS = 24 * 60 * MINUTE_MS;

/**
 * Times between an end or a trial and the next trial. After earlier answers the first
 * one waits only for those that are under way and may clear the request.
 */
const TRIAL_DELAYS_MS: Readonly<Record<Doubt, readonly number[]>> = {
  [Doubt.none]: [30 * SECOND_MS, 2 * MINUTE_MS, 10 * MINUTE_MS],
  [Doubt.answeredBefore]: [SECOND_MS, 3 * SECOND_MS, 30 * SECOND_MS],
  [Doubt.commonCause]: [0, 3 * SECOND_MS, 30 * SECOND_MS],
};

/** Further time before a trial that tells nothing, so that another may come first. */
const WORTHLESS_TRIAL_DELAY_MS = SECOND_MS;
/**
 * Ends of a segment beyond which a further one counts as a trial, once one was made. They
 * came too close together to be counted, and requests were sent meanwhile.
 */
const SEGMENT_END_COUNT = 5;
/** Time before trials that are left out because of such ends. */
const EXCESS_DELAY_MS = 10 * MINUTE_MS;

/** What is known of a culprit's trials. */
export interface TrialHistory {
  /** Trials that all nodes have made so far. */
  readonly trialCount: number;
  /** When the latest end or trial became known, monotonic milliseconds. */
  readonly changedAt: number;
  readonly doubt: Doubt;
  /** For a segment, the ends in which it was, also those that do not count. */
  readonly crashCount?: number;
  /** Conclusive by default. */
  readonly value?: TrialValue;
}

/** When a culprit may be sent to an upstream again, monotonic milliseconds. */
export function nextTrialAt({
  trialCount,
  changedAt,
  doubt,
  crashCount = 0,
  value = TrialValue.conclusive,
}: TrialHistory): number {
  const delays = TRIAL_DELAYS_MS[doubt];
  const delayMs = delays[trialCount] ?? LAST_DELAY_MS;
  if (value === TrialValue.none)
    return changedAt + delayMs + WORTHLESS_TRIAL_DELAY_MS;
  const excess = Math.max(0, crashCount - trialCount - SEGMENT_END_COUNT);
  const isExcessive = trialCount > 0 && trialCount + excess >= delays.length;
  if (value === TrialValue.conclusive && isExcessive)
    return changedAt + Math.max(delayMs, EXCESS_DELAY_MS);
  return changedAt + delayMs;
}
