/** Merges the nodes' reports into the holder's view of a roll-out. */
import type {UpstreamTally} from '@parsleyarch/peer/messages';
import type {VersionTally} from '@parsleyarch/policy/rollout';
import type {RolloutPlan, RolloutView} from '@parsleyarch/policy/rollout-plan';
import {twoRoundsMs} from '@parsleyarch/policy/report-times';
import type {EntryNode, KnownOrder} from './node.js';
import {sumTallies} from './version-tallies.js';
import {localElapsedSinceOrder, findPlan} from './versions.js';

/** Window of the counts in `freshRecent`. */
const RECENT_WINDOW_MS = 4_000;
/** Minimum number of requests for comparing an upstream with others. */
const MIN_COMPARED_REQUEST_COUNT = 4;

function mergeTallies(node: EntryNode, orderRevision: number): UpstreamTally[] {
  const sums = new Map<string, UpstreamTally>();
  for (const {reports} of node.holderState.reports.values()) {
    for (const report of reports) {
      if (report.order !== orderRevision) continue;
      for (const tally of report.tallies) {
        const known = sums.get(tally.upstream);
        sums.set(tally.upstream, {
          upstream: tally.upstream,
          fresh: tally.fresh,
          seen: tally.seen + (known?.seen ?? 0),
          failed: tally.failed + (known?.failed ?? 0),
          slow: tally.slow + (known?.slow ?? 0),
          untimed: tally.untimed + (known?.untimed ?? 0),
        });
      }
    }
  }
  return [...sums.values()];
}

/**
 * Excludes the worst upstream of the new version if there are at least two
 * others to compare: one faulty upstream does not make a version bad.
 */
function excludeWorst(tallies: readonly UpstreamTally[]): UpstreamTally[] {
  const compared = tallies.filter(
    ({fresh, seen}) => fresh && seen >= MIN_COMPARED_REQUEST_COUNT,
  );
  if (compared.length < 3) return [...tallies];
  const badRatio = ({seen, failed, slow}: UpstreamTally) =>
    (failed + slow) / seen;
  const worst = compared.reduce((a, b) => (badRatio(b) > badRatio(a) ? b : a));
  return tallies.filter(tally => tally !== worst);
}

/**
 * Counts since an earlier view. Those of a node that has left meanwhile are missing in
 * the later one, so that more bad outcomes than requests may seem to be new.
 */
export function subtractTally(
  later: VersionTally,
  earlier: VersionTally,
): VersionTally {
  const difference = (signal: keyof VersionTally) => {
    const seen = Math.max(0, later[signal].seen - earlier[signal].seen);
    const bad = Math.max(0, later[signal].bad - earlier[signal].bad);
    return {seen, bad: Math.min(seen, bad)};
  };
  return {
    error: difference('error'),
    latency: difference('latency'),
    rating: difference('rating'),
  };
}

/** Returns the counts of the last few seconds. */
function countRecent(
  node: EntryNode,
  orderRevision: number,
  tally: VersionTally,
): VersionTally {
  const now = node.clock();
  const snapshots = node.holderState.snapshots.get(orderRevision) ?? [];
  node.holderState.snapshots.set(orderRevision, snapshots);
  snapshots.push({takenAt: now, tally});
  while (snapshots.length > 1 && snapshots[1].takenAt < now - RECENT_WINDOW_MS)
    snapshots.shift();
  return subtractTally(tally, snapshots[0].tally);
}

function countReady(node: EntryNode, order: KnownOrder) {
  let freshReady = 0;
  let oldReady = 0;
  for (const {registered} of node.upstreams.values()) {
    if (registered.service !== order.service || registered.draining) continue;
    if (registered.version === order.target) freshReady += 1;
    else oldReady += 1;
  }
  return {freshReady, oldReady};
}

/**
 * Whether all registered nodes follow a plan, and how many requests still run
 * on the old version.
 */
function collectProgress(
  node: EntryNode,
  order: KnownOrder,
  plan: RolloutPlan,
) {
  const now = node.clock();
  // An older report no longer describes the current state of its node.
  const maxAgeMs = twoRoundsMs(node.members.size);
  let followed = true;
  let oldInFlight = 0;
  for (const name of node.members.keys()) {
    const known = node.holderState.reports.get(name);
    const report = known?.reports.find(r => r.order === order.revision);
    if (!known || !report || now - known.receivedAt > maxAgeMs) {
      followed = false;
      continue;
    }
    if (report.sequence < plan.sequence) followed = false;
    oldInFlight += report.oldInFlight;
  }
  return {followed, oldInFlight};
}

/** Sequence number of the current plan if every node follows it, else 0. */
export function followedSequence(node: EntryNode, order: KnownOrder): number {
  const plan = findPlan(node, order);
  if (!plan || !collectProgress(node, order, plan).followed) return 0;
  return plan.sequence;
}

/**
 * Time since an order, milliseconds. Uses the reports of all nodes, because a
 * restarted holder knows the order only since its restart.
 */
export function elapsedSinceOrder(node: EntryNode, order: KnownOrder): number {
  const now = node.clock();
  let elapsedMs = localElapsedSinceOrder(node, order);
  for (const {receivedAt, reports} of node.holderState.reports.values()) {
    const report = reports.find(r => r.order === order.revision);
    if (report)
      elapsedMs = Math.max(elapsedMs, report.elapsedMs + now - receivedAt);
  }
  return elapsedMs;
}

/** Creates the input of a decision about a roll-out. */
export function createRolloutView(
  node: EntryNode,
  order: KnownOrder,
  plan: RolloutPlan,
): RolloutView {
  const tallies = excludeWorst(mergeTallies(node, order.revision));
  const fresh = sumTallies(tallies, true);
  const known = node.versions.plans.get(order.service);
  return {
    plan,
    elapsedMs: elapsedSinceOrder(node, order),
    durationMs: order.durationMs,
    planAgeMs: node.clock() - (known?.seenAt ?? 0),
    ...countReady(node, order),
    fresh,
    old: sumTallies(tallies, false),
    freshRecent: countRecent(node, order.revision, fresh),
    ...collectProgress(node, order, plan),
    exposeShare: node.settings.rollout.exposeShare,
    exposeSlack: node.settings.rollout.exposeSlack,
  };
}
