/** What the holder of roll-outs gathers from the nodes' reports. */
import type {UpstreamTally} from '@parsleyarch/peer/messages';
import type {VersionTally} from '@parsleyarch/policy/rollout';
import type {RolloutPlan, RolloutView} from '@parsleyarch/policy/rollout-plan';
import type {EntryNode, KnownOrder} from './node.js';
import {sumTallies} from './version-tallies.js';
import {knownElapsed, planOf} from './versions.js';

/** Age after which a node's report no longer counts as its present state. */
const REPORT_MEMORY_MS = 2_500;
/** Length of the recent past that is judged by itself, milliseconds. */
const RECENT_MS = 4_000;
/** Requests that an upstream must have seen to be compared with others. */
const MIN_COMPARED = 4;

function collectTallies(node: EntryNode, order: number): UpstreamTally[] {
  const sums = new Map<string, UpstreamTally>();
  for (const {reports} of node.holding.reports.values()) {
    for (const report of reports) {
      if (report.order !== order) continue;
      for (const tally of report.tallies) {
        const known = sums.get(tally.upstream);
        sums.set(tally.upstream, {
          upstream: tally.upstream,
          fresh: tally.fresh,
          seen: tally.seen + (known?.seen ?? 0),
          failed: tally.failed + (known?.failed ?? 0),
          slow: tally.slow + (known?.slow ?? 0),
        });
      }
    }
  }
  return [...sums.values()];
}

/**
 * Leaves out the worst upstream of the new version when there are enough
 * others: one faulty upstream does not make a version bad.
 */
function withoutWorst(tallies: readonly UpstreamTally[]): UpstreamTally[] {
  const compared = tallies.filter(
    ({fresh, seen}) => fresh && seen >= MIN_COMPARED,
  );
  if (compared.length < 3) return [...tallies];
  const badness = ({seen, failed, slow}: UpstreamTally) =>
    (failed + slow) / seen;
  const worst = compared.reduce((a, b) => (badness(b) > badness(a) ? b : a));
  return tallies.filter(tally => tally !== worst);
}

function subtract(later: VersionTally, earlier: VersionTally): VersionTally {
  const part = (signal: keyof VersionTally) => ({
    seen: Math.max(0, later[signal].seen - earlier[signal].seen),
    bad: Math.max(0, later[signal].bad - earlier[signal].bad),
  });
  return {
    error: part('error'),
    latency: part('latency'),
    rating: part('rating'),
  };
}

/** Counts since a few seconds ago. */
function recentOf(
  node: EntryNode,
  order: number,
  tally: VersionTally,
): VersionTally {
  const now = node.clock();
  const snapshots = node.holding.snapshots.get(order) ?? [];
  node.holding.snapshots.set(order, snapshots);
  snapshots.push({at: now, tally});
  while (snapshots.length > 1 && snapshots[1].at < now - RECENT_MS)
    snapshots.shift();
  return subtract(tally, snapshots[0].tally);
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

/** Whether all registered nodes follow a plan, and what still runs as before. */
function progressOf(node: EntryNode, order: KnownOrder, plan: RolloutPlan) {
  const now = node.clock();
  let followed = true;
  let oldInFlight = 0;
  for (const name of node.members.keys()) {
    const known = node.holding.reports.get(name);
    const report = known?.reports.find(r => r.order === order.revision);
    if (!known || !report || now - known.at > REPORT_MEMORY_MS) {
      followed = false;
      continue;
    }
    if (report.sequence < plan.sequence) followed = false;
    oldInFlight += report.oldInFlight;
  }
  return {followed, oldInFlight};
}

/** Sequence number of the present plan once every node follows it, else 0. */
export function followedSequence(node: EntryNode, order: KnownOrder): number {
  const plan = planOf(node, order);
  if (!plan || !progressOf(node, order, plan).followed) return 0;
  return plan.sequence;
}

/**
 * Time since an order. A node that restarted, the holder too, learns from the
 * others' reports what it missed.
 */
export function elapsedOf(node: EntryNode, order: KnownOrder): number {
  const now = node.clock();
  let elapsedMs = knownElapsed(node, order);
  for (const {at, reports} of node.holding.reports.values()) {
    const report = reports.find(r => r.order === order.revision);
    if (report) elapsedMs = Math.max(elapsedMs, report.elapsedMs + now - at);
  }
  return elapsedMs;
}

/** What the holder knows of a roll-out when it decides. */
export function viewOf(
  node: EntryNode,
  order: KnownOrder,
  plan: RolloutPlan,
): RolloutView {
  const tallies = withoutWorst(collectTallies(node, order.revision));
  const fresh = sumTallies(tallies, true);
  const known = node.versions.plans.get(order.service);
  return {
    plan,
    elapsedMs: elapsedOf(node, order),
    durationMs: order.durationMs,
    planAgeMs: node.clock() - (known?.seenAt ?? 0),
    ...countReady(node, order),
    fresh,
    old: sumTallies(tallies, false),
    freshRecent: recentOf(node, order.revision, fresh),
    ...progressOf(node, order, plan),
    exposeShare: node.settings.rollout.exposeShare,
    exposeSlack: node.settings.rollout.exposeSlack,
  };
}
