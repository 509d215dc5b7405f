/**
 * Progress of the ordered roll-out of a service, from its order to completion or
 * reversion. (Declared roll-outs of models follow `nextRolloutAction` instead.)
 * The canary starts with a small share of new sessions. Once the version has
 * served without a regression, the canary widens as far as the allowed exposure
 * permits. After half of the duration, existing sessions move too, and the share
 * grows while no evidence of a regression appears. All sessions move, and the old
 * version is replaced, only on evidence that the new one is as good. This limits the
 * exposure to versions that fail at once, late, or only under load. Pure functions
 * only.
 */
import {
  findRegression,
  hasAdverseEvidence,
  hasEqualityOdds,
  type VersionTally,
} from './rollout.js';

export const Phase = {
  /** The new upstreams have not been used yet. */
  waiting: 'waiting',
  /** A limited share of new sessions uses the version. */
  canary: 'canary',
  /** New and existing sessions move to the version in growing shares. */
  ramp: 'ramp',
  complete: 'complete',
  reverted: 'reverted',
} as const;
export type Phase = (typeof Phase)[keyof typeof Phase];

/** Plan that all nodes follow; stored as JSON. */
export interface RolloutPlan {
  /** Revision of the order. */
  readonly order: number;
  readonly service: string;
  readonly target: string;
  readonly phase: Phase;
  /** Share of session buckets on the version, 0 to 1. */
  readonly share: number;
  /** Increases with each change of the plan. */
  readonly sequence: number;
  /** Time since the order when the plan was written, milliseconds. */
  readonly elapsedMs: number;
}

/** Input of a decision by the node that holds the lease on roll-outs. */
export interface RolloutView {
  readonly plan: RolloutPlan;
  /** Time since the order, milliseconds. */
  readonly elapsedMs: number;
  /** Time from the order until the roll-out has to be complete, milliseconds. */
  readonly durationMs: number;
  /** Age of the plan's last change, milliseconds. */
  readonly planAgeMs: number;
  /** Ready upstreams with the new version. */
  readonly freshReady: number;
  /** Ready upstreams with the old version. */
  readonly oldReady: number;
  /** Counts of the new version. */
  readonly fresh: VersionTally;
  /** Counts of the old version. */
  readonly old: VersionTally;
  /** Counts of the new version over the last few seconds only. */
  readonly freshRecent: VersionTally;
  /** Whether every registered node follows the plan. */
  readonly followed: boolean;
  /** Requests that still run on the old version, summed over all nodes. */
  readonly oldInFlight: number;
  /** Largest share of all requests that a bad version may receive. */
  readonly exposeShare: number;
  /** Requests that a bad version may receive on top of that share. */
  readonly exposeSlack: number;
}

/**
 * First share of the canary, as a multiple of the allowed exposure share. It may
 * exceed 1, since the exposure is a share of all requests of the duration, and
 * the canary lasts only for a part of that.
 */
const CANARY_EXPOSURE_RATIO = 1.2;
/** Requests that the new version must have served before the canary widens. */
const MIN_WIDEN_REQUEST_COUNT = 30;
/** Minimum time at the canary's first share. */
const MIN_CANARY_MS = 2_500;
/** Largest share of new sessions on the version during the canary. */
const MAX_CANARY_RATIO = 0.4;
/** Time to detect a version that turns bad and to take it out of use. */
const DETECTION_MS = 2_500;
/**
 * Fraction of the duration after which existing sessions may move, slightly
 * more than half.
 */
const RAMP_START_RATIO = 0.52;
/** Shares of the ramp; the middle one uses the upstreams of both versions. */
const RAMP_RATIOS = [0.3, 0.5, 1] as const;
/** Fraction of the duration up to which the ramp stays at its middle share. */
const RAMP_HOLD_END_RATIO = 0.75;
/** Time reserved at the end for requests on the old version to finish. */
const RESERVED_DRAIN_MS = 5_500;
/** Minimum time at a share of the ramp, unless the ratio below gives less. */
const MIN_STEP_MS = 1_000;
/** Minimum time at a share of the ramp, as a fraction of the duration. */
const MIN_STEP_RATIO = 0.04;
/** Longest wait for nodes that do not follow a step of the ramp. */
const MAX_FOLLOW_WAIT_MS = 3_000;
/** Requests that the new version must have served before the ramp. */
const MIN_RAMP_REQUEST_COUNT = 12;
/**
 * Fraction of the duration after which the ramp starts even when the version
 * has served fewer than `MIN_RAMP_REQUEST_COUNT` requests.
 */
const SPARSE_RAMP_START_RATIO = 0.6;
/**
 * Fraction of the duration after which completion no longer waits for requests
 * on the old version, nor for a proof that the new one is equal.
 */
const DRAIN_WAIT_END_RATIO = 0.95;

/** Odds of being equal from which a version replaces the old one. */
const PROMOTION_ODDS = 10;
/** The same for all sessions, once time is running out. */
const LATE_PROMOTION_ODDS = 0.5;

/** Fraction of the duration after which weak evidence holds nothing back. */
const LATE_RATIO = 0.78;

/** Creates the first plan of an order. */
export function createRolloutPlan(
  order: number,
  service: string,
  target: string,
): RolloutPlan {
  return {
    order,
    service,
    target,
    phase: Phase.waiting,
    share: 0,
    sequence: 1,
    elapsedMs: 0,
  };
}

export interface PlanChange {
  readonly phase: Phase;
  readonly share: number;
  readonly reason: string;
}

function findRegressedSignal(view: RolloutView): string | undefined {
  return (
    findRegression(view.fresh, view.old) ??
    findRegression(view.freshRecent, view.old)
  );
}

function isLate({elapsedMs, durationMs}: RolloutView): boolean {
  return elapsedMs >= durationMs * LATE_RATIO;
}

/** Whether the new version seems worse, over all its requests or the last ones. */
function looksWorse(view: RolloutView): boolean {
  const {fresh, freshRecent, old} = view;
  return [fresh, freshRecent].some(tally =>
    hasAdverseEvidence(tally, old, isLate(view)),
  );
}

function nextShare(share: number): number | undefined {
  for (const step of RAMP_RATIOS) {
    if (step > share) return step;
  }
  return undefined;
}

/** Short roll-outs have shorter steps, so that all steps fit. */
function isMinStepElapsed({planAgeMs, durationMs}: RolloutView): boolean {
  return planAgeMs >= Math.min(MIN_STEP_MS, durationMs * MIN_STEP_RATIO);
}

/**
 * Largest canary share at which a version that turns bad before the ramp is
 * detected within the allowed exposure.
 */
function maxCanaryShare(view: RolloutView): number {
  const {elapsedMs, durationMs, fresh, old} = view;
  const seen = fresh.error.seen + old.error.seen;
  if (seen === 0) return 0;
  const requestsPerMs = seen / elapsedMs;
  const allowed =
    view.exposeShare * durationMs * requestsPerMs + view.exposeSlack;
  // Until it is out of use, the version is assumed to get the middle ramp share.
  const duringDetection = DETECTION_MS * requestsPerMs * RAMP_RATIOS[1];
  const remaining = allowed - duringDetection - fresh.error.seen;
  const share =
    remaining / (requestsPerMs * (durationMs * RAMP_START_RATIO - elapsedMs));
  return Math.min(MAX_CANARY_RATIO, share);
}

function widenCanary(view: RolloutView): PlanChange | undefined {
  const {plan, fresh} = view;
  const first = view.exposeShare * CANARY_EXPOSURE_RATIO;
  if (plan.share > first || view.planAgeMs < MIN_CANARY_MS) return undefined;
  if (fresh.error.seen < MIN_WIDEN_REQUEST_COUNT) return undefined;
  if (looksWorse(view)) return undefined;
  const share = maxCanaryShare(view);
  if (share <= first) return undefined;
  const reason = `${fresh.error.seen} requests without a regression`;
  return {phase: Phase.canary, share, reason};
}

function rampUp(view: RolloutView): PlanChange | undefined {
  const {plan} = view;
  if (!isMinStepElapsed(view)) return undefined;
  // A node that has failed must not block the roll-out of a good version.
  if (!view.followed && view.planAgeMs < MAX_FOLLOW_WAIT_MS) return undefined;
  if (looksWorse(view)) return undefined;
  const share = nextShare(plan.share);
  if (share === undefined) return undefined;
  const holdUntil = Math.min(
    view.durationMs * RAMP_HOLD_END_RATIO,
    view.durationMs - RESERVED_DRAIN_MS,
  );
  if (share === 1 && view.elapsedMs < holdUntil) return undefined;
  const odds = isLate(view) ? LATE_PROMOTION_ODDS : PROMOTION_ODDS;
  if (share === 1 && !hasEqualityOdds(view.fresh, view.old, odds))
    return undefined;
  const reason = `${view.fresh.error.seen} requests without a regression`;
  return {phase: Phase.ramp, share, reason};
}

/** Whether the time limit of the order is so near that a decision is due. */
function isEnding({elapsedMs, durationMs}: RolloutView): boolean {
  return elapsedMs >= durationMs * DRAIN_WAIT_END_RATIO;
}

/**
 * Whether the evidence speaks against a version at the end of the duration. Less is
 * enough for one that has not got all sessions, as it cannot be completed.
 */
function isRejected(view: RolloutView): boolean {
  const {plan, fresh, old} = view;
  if (plan.share < 1 && !hasEqualityOdds(fresh, old, LATE_PROMOTION_ODDS))
    return true;
  return looksWorse(view);
}

/** Completion stops the old version for good, so it needs the strongest evidence. */
function completeRollout(view: RolloutView): PlanChange | undefined {
  const drained = view.followed && view.oldInFlight === 0;
  const isProven =
    hasEqualityOdds(view.fresh, view.old, PROMOTION_ODDS) && !looksWorse(view);
  const isReady = (drained && isProven) || isEnding(view);
  if (!isMinStepElapsed(view) || !isReady) return undefined;
  const reason = drained
    ? 'old version drained'
    : 'roll-out duration is ending';
  return {phase: Phase.complete, share: 1, reason};
}

const CHANGE_BY_PHASE: Readonly<
  Record<Phase, (view: RolloutView) => PlanChange | undefined>
> = {
  waiting: view => {
    if (view.freshReady === 0) return undefined;
    const share = view.exposeShare * CANARY_EXPOSURE_RATIO;
    return {phase: Phase.canary, share, reason: 'new upstreams are ready'};
  },
  canary: view => {
    const {elapsedMs, durationMs, freshReady, oldReady} = view;
    // Waits for half as many new upstreams as old ones to carry a larger share.
    if (freshReady * 2 < oldReady) return undefined;
    if (elapsedMs < durationMs * RAMP_START_RATIO) return widenCanary(view);
    const sparse = elapsedMs >= durationMs * SPARSE_RAMP_START_RATIO;
    if (!sparse && view.fresh.error.seen < MIN_RAMP_REQUEST_COUNT)
      return undefined;
    return rampUp(view);
  },
  ramp: view => (view.plan.share >= 1 ? completeRollout(view) : rampUp(view)),
  complete: () => undefined,
  reverted: () => undefined,
};

/** Whether a roll-out is complete or reverted. */
export function isRolloutOver({phase}: RolloutPlan): boolean {
  return phase === Phase.complete || phase === Phase.reverted;
}

/** The next change of a plan; `undefined` if it stays as it is. */
export function nextPlanChange(view: RolloutView): PlanChange | undefined {
  if (isRolloutOver(view.plan)) return undefined;
  const signal = findRegressedSignal(view);
  if (signal) return {phase: Phase.reverted, share: 0, reason: signal};
  if (isEnding(view) && isRejected(view)) {
    const reason = 'evidence favours the old version at the end';
    return {phase: Phase.reverted, share: 0, reason};
  }
  return CHANGE_BY_PHASE[view.plan.phase](view);
}

/** Hexadecimal digits of a session's hash that determine its bucket. */
const BUCKET_HEX_DIGIT_COUNT = 6;

/** Whether the bucket of a session's hash is on the new version. */
export function isHashInShare(hash: string, share: number): boolean {
  const bucket = parseInt(hash.slice(0, BUCKET_HEX_DIGIT_COUNT), 16);
  return bucket / 16 ** BUCKET_HEX_DIGIT_COUNT < share;
}
