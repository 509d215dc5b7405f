/**
 * Simulates ordered roll-outs with the decisions of the holder: how often a good
 * version is reverted, a bad one completed, and how many requests a bad one gets.
 */
import {
  reportIntervalMs,
  stepIntervalMs,
} from '@parsleyarch/policy/report-times';
import {EMPTY_TALLY, type VersionTally} from '@parsleyarch/policy/rollout';
import {
  createRolloutPlan,
  isRolloutOver,
  nextPlanChange,
  Phase,
  type PlanChange,
  type RolloutPlan,
  type RolloutView,
} from '@parsleyarch/policy/rollout-plan';
import {round, seededRandom, type MeasurementResult} from './figures.js';

const DURATION_MS = 15_000;
const FIRST_READY_MS = 700;
const ARRIVAL_STEP_MS = 20;
const RECENT_WINDOW_MS = 4_000;
const FOLLOW_MS = 1_000;
const DRAIN_MS = 2_000;
const MEAN_ANSWER_MS = 700;
const LOST_REPORT_RATIO = 0.05;
const EXPOSE_SHARE = 0.15;
const EXPOSE_SLACK = 30;
/** A bad version may get no request this long after its 50th bad answer. */
const BAD_ANSWER_LIMIT = 50;
const ROLLBACK_MS = 5_000;
const RUN_COUNT = 200;

/** An ordered roll-out, and what its versions are like. */
export interface Order {
  readonly oldBadRatio: number;
  readonly newBadRatio: number;
  /** From when on the new version has its ratio of bad answers. */
  readonly onsetMs: number;
  readonly requestsPerSecond: number;
  readonly nodeCount: number;
}

type Decision = (view: RolloutView) => PlanChange | undefined;

interface Result {
  readonly phase: Phase;
  readonly endedMs: number;
  readonly badAnswerCount: number;
  readonly isOverexposed: boolean;
}

const createTally = (seen: number, bad: number): VersionTally => ({
  ...EMPTY_TALLY,
  error: {seen, bad},
});

/** Counts of both versions. */
interface Counts {
  readonly freshSeen: number;
  readonly freshBad: number;
  readonly oldSeen: number;
  readonly oldBad: number;
}
const NO_COUNTS: Counts = {freshSeen: 0, freshBad: 0, oldSeen: 0, oldBad: 0};

function simulateOrder(order: Order, decide: Decision, seed: number): Result {
  const random = seededRandom(seed);
  const stepMs = stepIntervalMs(order.nodeCount, true);
  const reportMs = reportIntervalMs(order.nodeCount);
  const arriving: Counts[] = [];
  const history: Counts[] = [];
  let known = NO_COUNTS;
  let plan: RolloutPlan = createRolloutPlan(1, 's', 'v2');
  let changedAt = 0;
  let endedMs = Infinity;
  let exposedCount = 0;
  let badAnswerCount = 0;
  let limitReachedAt = Infinity;
  let isLate = false;
  const send = (now: number) => {
    const fresh = random() < plan.share;
    const ratio =
      fresh && now >= order.onsetMs ? order.newBadRatio : order.oldBadRatio;
    const bad = random() < ratio ? 1 : 0;
    const answeredAt = now - MEAN_ANSWER_MS * Math.log(1 - random() * 0.99);
    let reportedAt = answeredAt + random() * reportMs;
    while (random() < LOST_REPORT_RATIO) reportedAt += reportMs;
    if (fresh) {
      exposedCount += 1;
      badAnswerCount += bad;
      if (now > limitReachedAt + ROLLBACK_MS) isLate = true;
      if (badAnswerCount === BAD_ANSWER_LIMIT && bad)
        limitReachedAt = Math.min(limitReachedAt, answeredAt);
    }
    const step = Math.ceil(reportedAt / stepMs);
    const counts = arriving[step] ?? NO_COUNTS;
    arriving[step] = fresh
      ? {
          ...counts,
          freshSeen: counts.freshSeen + 1,
          freshBad: counts.freshBad + bad,
        }
      : {
          ...counts,
          oldSeen: counts.oldSeen + 1,
          oldBad: counts.oldBad + bad,
        };
  };
  const step = (now: number) => {
    const added = arriving[now / stepMs] ?? NO_COUNTS;
    known = {
      freshSeen: known.freshSeen + added.freshSeen,
      freshBad: known.freshBad + added.freshBad,
      oldSeen: known.oldSeen + added.oldSeen,
      oldBad: known.oldBad + added.oldBad,
    };
    history.push(known);
    const earlier =
      history[history.length - 1 - RECENT_WINDOW_MS / stepMs] ?? NO_COUNTS;
    const planAgeMs = now - changedAt;
    const isReady = now >= FIRST_READY_MS;
    const change = decide({
      plan,
      elapsedMs: now,
      durationMs: DURATION_MS,
      planAgeMs,
      freshReady: isReady ? 6 : 0,
      oldReady: 6,
      fresh: createTally(known.freshSeen, known.freshBad),
      old: createTally(known.oldSeen, known.oldBad),
      freshRecent: createTally(
        known.freshSeen - earlier.freshSeen,
        known.freshBad - earlier.freshBad,
      ),
      followed: planAgeMs >= FOLLOW_MS,
      oldInFlight: plan.share === 1 && planAgeMs >= DRAIN_MS ? 0 : 1,
      exposeShare: EXPOSE_SHARE,
      exposeSlack: EXPOSE_SLACK,
    });
    if (!change) return;
    plan = {...plan, ...change};
    changedAt = now;
    if (isRolloutOver(plan)) endedMs = now;
  };
  const arrivalRatio = (order.requestsPerSecond * ARRIVAL_STEP_MS) / 1_000;
  let due = 0;
  let sentCount = 0;
  for (let now = 0; now <= DURATION_MS; now += ARRIVAL_STEP_MS) {
    due += arrivalRatio;
    for (; due >= 1; due -= 1) {
      sentCount += 1;
      send(now);
    }
    if (now % stepMs === 0 && !isRolloutOver(plan)) step(now);
  }
  const allowed = EXPOSE_SHARE * sentCount + EXPOSE_SLACK;
  return {
    phase: plan.phase,
    endedMs,
    badAnswerCount,
    isOverexposed: isLate || exposedCount > allowed,
  };
}

/** Compares once, after a fixed number of requests on the new version. */
const SAMPLE_COUNT = 60;
function decideByFixedSample(view: RolloutView): PlanChange | undefined {
  const {plan, fresh, old, planAgeMs} = view;
  if (plan.phase === Phase.waiting)
    return nextPlanChange({...view, fresh: EMPTY_TALLY, old: EMPTY_TALLY});
  if (plan.phase === Phase.ramp)
    return planAgeMs < DRAIN_MS
      ? undefined
      : {phase: Phase.complete, share: 1, reason: 'drained'};
  const {seen, bad} = fresh.error;
  if (seen < SAMPLE_COUNT && view.elapsedMs < DURATION_MS * 0.7)
    return undefined;
  const ratio = old.error.bad / Math.max(1, old.error.seen);
  const error = Math.sqrt((ratio * (1 - ratio)) / Math.max(1, seen));
  return bad / Math.max(1, seen) > ratio + 2 * error
    ? {phase: Phase.reverted, share: 0, reason: 'sample'}
    : {phase: Phase.ramp, share: 1, reason: 'sample'};
}

const share = (results: readonly Result[], is: (result: Result) => boolean) =>
  round(results.filter(is).length / results.length);

/** Shares of the outcomes of some simulated orders. */
export function summarizeOrders(
  seed: number,
  order: Order,
  decide: Decision,
  runCount: number,
) {
  const results = Array.from({length: runCount}, (_, run) =>
    simulateOrder(order, decide, seed * 10_000 + run),
  );
  const sorted = (select: (result: Result) => number) =>
    results.map(select).sort((a, b) => a - b);
  const middle = Math.floor(runCount / 2);
  return {
    reverted: share(results, ({phase}) => phase === Phase.reverted),
    complete: share(results, ({phase}) => phase === Phase.complete),
    overexposed: share(results, ({isOverexposed}) => isOverexposed),
    badAnswersMedian: sorted(({badAnswerCount}) => badAnswerCount)[middle],
    endedSeconds: round(sorted(({endedMs}) => endedMs)[middle] / 1_000, 1),
  };
}

const OLD_RATIOS = [0, 0.05, 0.15];
const ADDED_RATIOS = [0, 0.2, 0.4];
const ONSETS_MS = [0, 6_000];
const RATES = [2, 10, 45];
const NODE_COUNTS = [8, 60, 195];

const DECISIONS: Readonly<Record<string, Decision>> = {
  evidence: nextPlanChange,
  'fixed sample': decideByFixedSample,
};

function* listOrders(): Generator<Order> {
  for (const nodeCount of NODE_COUNTS)
    for (const requestsPerSecond of RATES)
      for (const oldBadRatio of OLD_RATIOS)
        for (const added of ADDED_RATIOS)
          for (const onsetMs of added === 0 ? [0] : ONSETS_MS)
            yield {
              oldBadRatio,
              newBadRatio: round(oldBadRatio + added),
              onsetMs,
              requestsPerSecond,
              nodeCount,
            };
}

/** Largest shares of equal versions reverted, and of worse ones completed. */
const MAX_EQUAL_REVERTED = 0.01;
const MAX_WORSE_COMPLETED = 0.001;

/** Orders of equal and of worse versions; one row for each. */
export async function measureOrderedRollout(
  seed: number,
  logProgress: (text: string) => void,
): Promise<MeasurementResult> {
  const rows: Record<string, unknown>[] = [];
  let missedGoalCount = 0;
  for (const order of listOrders()) {
    for (const [decision, decide] of Object.entries(DECISIONS)) {
      const summary = summarizeOrders(seed, order, decide, RUN_COUNT);
      const row = {decision, ...order, ...summary};
      logProgress(JSON.stringify(row));
      rows.push(row);
      if (decide !== nextPlanChange) continue;
      const isEqual = order.newBadRatio === order.oldBadRatio;
      const isMissed = isEqual
        ? summary.reverted >= MAX_EQUAL_REVERTED
        : summary.complete >= MAX_WORSE_COMPLETED;
      if (isMissed) missedGoalCount += 1;
    }
  }
  return {violations: missedGoalCount, rows};
}
