/**
 * How far a version is rolled out, from an order to its end. A small share of
 * new sessions tries the version at first, and as many as the allowed exposure
 * bears once it has served without harm. From the half of the time on sessions
 * move, and the share grows while the evidence stays good. Answers versions that are bad
 * at once, late, or only under load. Pure functions only.
 */
import {findHarm, isDoubtful, type VersionTally} from './rollout.js';

/** What part of a roll-out is under way. */
export const Phase = {
  /** The new upstreams have not been used yet. */
  waiting: 'waiting',
  /** A small share of new sessions uses the version. */
  canary: 'canary',
  /** Sessions move to the version in growing shares. */
  ramp: 'ramp',
  complete: 'complete',
  reverted: 'reverted',
} as const;
export type Phase = (typeof Phase)[keyof typeof Phase];

/** What all nodes act on. */
export interface RolloutPlan {
  /** Revision of the order. */
  readonly order: number;
  readonly service: string;
  readonly target: string;
  readonly phase: Phase;
  /** Share of session buckets on the version, 0 to 1. */
  readonly share: number;
  /** Grows with each change of the plan. */
  readonly sequence: number;
  /** Time since the order when the plan was written, milliseconds. */
  readonly elapsedMs: number;
}

/** What the holder knows when it decides. */
export interface RolloutView {
  readonly plan: RolloutPlan;
  readonly elapsedMs: number;
  readonly durationMs: number;
  /** Age of the plan's last change, milliseconds. */
  readonly planAgeMs: number;
  readonly freshReady: number;
  readonly oldReady: number;
  readonly fresh: VersionTally;
  readonly old: VersionTally;
  /** Counts of the version over the last few seconds only. */
  readonly freshRecent: VersionTally;
  /** Whether every registered node follows the plan. */
  readonly followed: boolean;
  /** Requests that still run on the old version, all nodes together. */
  readonly oldInFlight: number;
  /** Largest share of all requests that a bad version may get. */
  readonly exposeShare: number;
  /** Requests that a bad version may get on top of that share. */
  readonly exposeSlack: number;
}

/** First share of the canary, as a multiple of the share that may be exposed. */
const CANARY_PART = 1.2;
/** Requests that the version must have served before more sessions try it. */
const WIDEN_SEEN = 30;
/** Shortest time at the canary's first share, milliseconds. */
const WIDEN_MS = 2_500;
/** Largest share of new sessions that try the version. */
const WIDE_SHARE = 0.4;
/** Time in which a version that turns bad is found and no longer used. */
const FIND_MS = 2_500;
/** Part of the time after which sessions may move, a little over the half. */
const MOVE_PART = 0.52;
/** Shares of the ramp; at the middle one both versions' upstreams are in use. */
const RAMP = [0.3, 0.5, 1] as const;
/** Part of the time up to which the ramp stays at its middle share. */
const HOLD_PART = 0.75;
/** Time that is kept for requests on the old version to end, milliseconds. */
const DRAIN_MS = 5_500;
/** Shortest time at a share of the ramp: milliseconds, or part of the time. */
const STEP_MS = 1_000;
const STEP_PART = 0.04;
/** Longest wait for nodes that do not follow a step of the ramp. */
const FOLLOW_MS = 3_000;
/** Requests that the version must have served before the ramp. */
const MIN_SEEN = 12;
/** Part of the time after which a version with little traffic moves on. */
const SPARSE_PART = 0.6;
/** Part of the time after which old requests are no longer waited for. */
const LAST_PART = 0.95;

/** A new plan for an order that has none. */
export function firstPlan(
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

/** A change of the plan, with its reason. */
export interface PlanChange {
  readonly phase: Phase;
  readonly share: number;
  readonly reason: string;
}

function findBadSignal(view: RolloutView): string | undefined {
  return findHarm(view.fresh, view.old) ?? findHarm(view.freshRecent, view.old);
}

function nextShare(share: number): number | undefined {
  for (const step of RAMP) {
    if (step > share) return step;
  }
  return undefined;
}

/** Short roll-outs take shorter steps, so that all of them fit. */
function isStepOver({planAgeMs, durationMs}: RolloutView): boolean {
  return planAgeMs >= Math.min(STEP_MS, durationMs * STEP_PART);
}

/**
 * Share of new sessions with which a version that turns bad before sessions may
 * move is found within the allowed exposure.
 */
function affordableShare(view: RolloutView): number {
  const {elapsedMs, durationMs, fresh, old} = view;
  const seen = fresh.error.seen + old.error.seen;
  if (seen === 0) return 0;
  const perMs = seen / elapsedMs;
  const allowed = view.exposeShare * durationMs * perMs + view.exposeSlack;
  const whileFinding = FIND_MS * perMs * RAMP[1];
  const left = allowed - whileFinding - fresh.error.seen;
  const share = left / (perMs * (durationMs * MOVE_PART - elapsedMs));
  return Math.min(WIDE_SHARE, share);
}

function widen(view: RolloutView): PlanChange | undefined {
  const {plan, fresh, old, freshRecent} = view;
  const first = view.exposeShare * CANARY_PART;
  if (plan.share > first || view.planAgeMs < WIDEN_MS) return undefined;
  if (fresh.error.seen < WIDEN_SEEN) return undefined;
  if (isDoubtful(fresh, old) || isDoubtful(freshRecent, old)) return undefined;
  const share = affordableShare(view);
  if (share <= first) return undefined;
  const reason = `${fresh.error.seen} requests without harm`;
  return {phase: Phase.canary, share, reason};
}

function rampUp(view: RolloutView): PlanChange | undefined {
  const {plan} = view;
  if (!isStepOver(view)) return undefined;
  // A node that is gone must not hold a good version up.
  if (!view.followed && view.planAgeMs < FOLLOW_MS) return undefined;
  if (isDoubtful(view.freshRecent, view.old)) return undefined;
  const share = nextShare(plan.share);
  if (share === undefined) return undefined;
  const holdUntil = Math.min(
    view.durationMs * HOLD_PART,
    view.durationMs - DRAIN_MS,
  );
  if (share === 1 && view.elapsedMs < holdUntil) return undefined;
  const reason = `${view.fresh.error.seen} requests without harm`;
  return {phase: Phase.ramp, share, reason};
}

function finish(view: RolloutView): PlanChange | undefined {
  const late = view.elapsedMs >= view.durationMs * LAST_PART;
  const drained = view.followed && view.oldInFlight === 0;
  if (!isStepOver(view) || !(drained || late)) return undefined;
  const reason = drained ? 'nothing runs on the old version' : 'time is over';
  return {phase: Phase.complete, share: 1, reason};
}

const NEXT: Readonly<
  Record<Phase, (view: RolloutView) => PlanChange | undefined>
> = {
  waiting: view => {
    if (view.freshReady === 0) return undefined;
    const share = view.exposeShare * CANARY_PART;
    return {phase: Phase.canary, share, reason: 'new upstreams are ready'};
  },
  canary: view => {
    const {elapsedMs, durationMs, freshReady, oldReady} = view;
    if (freshReady * 2 < oldReady) return undefined;
    if (elapsedMs < durationMs * MOVE_PART) return widen(view);
    const sparse = elapsedMs >= durationMs * SPARSE_PART;
    if (!sparse && view.fresh.error.seen < MIN_SEEN) return undefined;
    return rampUp(view);
  },
  ramp: view => (view.plan.share >= 1 ? finish(view) : rampUp(view)),
  complete: () => undefined,
  reverted: () => undefined,
};

/** Whether a plan has come to its end. */
export function isOver({phase}: RolloutPlan): boolean {
  return phase === Phase.complete || phase === Phase.reverted;
}

/** The next change of a plan; `undefined`: it stays as it is. */
export function nextChange(view: RolloutView): PlanChange | undefined {
  if (isOver(view.plan)) return undefined;
  const signal = findBadSignal(view);
  if (signal) return {phase: Phase.reverted, share: 0, reason: signal};
  return NEXT[view.plan.phase](view);
}

/** How many hexadecimal digits of a session's hash place it in a bucket. */
const BUCKET_DIGITS = 6;

/** Whether a session's bucket is among the share that is moved. */
export function isMoved(hash: string, share: number): boolean {
  const bucket = parseInt(hash.slice(0, BUCKET_DIGITS), 16);
  return bucket / 16 ** BUCKET_DIGITS < share;
}
