/**
 * One node at a time holds the roll-outs: it has a lease in the store, merges
 * what the nodes see, and writes each change of a plan under the condition
 * that it still holds the lease and that the plan is the one it knows.
 */
import {own} from '@parsleyarch/lifecycle/manager';
import {repeat} from '@parsleyarch/lifecycle/process';
import type {
  Advice,
  Consultation,
  RolloutReport,
  UpstreamTally,
} from '@parsleyarch/peer/messages';
import {callPeer} from '@parsleyarch/peer/client';
import {KEY} from '@parsleyarch/platform/names';
import {encodeStatus} from '@parsleyarch/platform/status';
import type {VersionTally} from '@parsleyarch/policy/rollout';
import {
  firstPlan,
  isOver,
  nextChange,
  type PlanChange,
  type RolloutPlan,
  type RolloutView,
} from '@parsleyarch/policy/rollout-plan';
import {
  commit,
  endLease,
  grantLease,
  keepLease,
} from '@parsleyarch/store/keyspace';
import type {EntryNode, KnownOrder} from './node.js';
import {planOf, reportRollouts, sumTallies} from './versions.js';

/** Life of the lease without renewal, milliseconds. */
const LEASE_MS = 3_000;
const RENEW_MS = 900;
/** Part of the lease's life in which the holder acts on it. */
const SAFE_PART = 0.7;
const CONSULT_MS = 400;
const CONSULT_TIMEOUT_MS = 800;
/** Age after which a node's report no longer counts as its present state. */
const REPORT_MEMORY_MS = 2_500;
/** Length of the recent past that is judged by itself, milliseconds. */
const RECENT_MS = 4_000;
/** Requests that an upstream must have seen to be compared with others. */
const MIN_COMPARED = 4;
const HOLDER_KEY = `${KEY.own}holder`;
/** Prefix of the plans. */
export const PLANS = `${KEY.own}rollout/`;

interface KnownReport {
  readonly at: number;
  readonly reports: readonly RolloutReport[];
}

interface Snapshot {
  readonly at: number;
  readonly tally: VersionTally;
}

/** What a node knows of the holder's lease, and what it does as the holder. */
export interface Holding {
  /** Holder as the store last told, and the revision of its key. */
  holder?: {readonly node: string; readonly revision: number};
  /** This node's own lease. */
  lease?: number;
  /** Until when this node may act as the holder; monotonic milliseconds. */
  heldUntil: number;
  renewedAt: number;
  /** Reports by node. */
  readonly reports: Map<string, KnownReport>;
  /** Counts of the versions a while ago, by order. */
  readonly snapshots: Map<number, Snapshot[]>;
}

/** Holds nothing. */
export function createHolding(): Holding {
  return {
    heldUntil: 0,
    renewedAt: 0,
    reports: new Map(),
    snapshots: new Map(),
  };
}

function isHolder({holding, settings, clock}: EntryNode): boolean {
  return (
    holding.holder?.node === settings.node &&
    holding.lease !== undefined &&
    clock() < holding.heldUntil
  );
}

function openOrders(node: EntryNode): KnownOrder[] {
  return [...node.orders.values()].filter(order => {
    const plan = planOf(node, order);
    return !plan || !isOver(plan);
  });
}

/** Tries to become the holder when nobody is. */
async function acquire(node: EntryNode): Promise<void> {
  const {holding, keyspace, settings} = node;
  const sentAt = node.clock();
  const granted = await grantLease(keyspace, LEASE_MS);
  if (granted.isErr()) return;
  const {lease, ttlMs} = granted.value;
  const written = await commit(keyspace, {
    expected: [{key: HOLDER_KEY, revision: 0}],
    writes: [{key: HOLDER_KEY, value: Buffer.from(settings.node), lease}],
    removed: [],
  });
  if (written.isErr() || written.value === undefined) {
    node.note('holder', {choice: 'other', reason: 'key is taken or call lost'});
    // A write whose answer was lost must not leave a holder without a node.
    await endLease(keyspace, lease);
    return;
  }
  holding.lease = lease;
  holding.heldUntil = sentAt + ttlMs * SAFE_PART;
  holding.renewedAt = sentAt;
  holding.holder = {node: settings.node, revision: written.value};
  node.log.info({lease, revision: written.value}, 'holds the roll-outs');
}

async function renew(node: EntryNode): Promise<void> {
  const {holding, keyspace} = node;
  const sentAt = node.clock();
  if (holding.lease === undefined || sentAt - holding.renewedAt < RENEW_MS)
    return;
  const kept = await keepLease(keyspace, holding.lease);
  if (kept.isErr()) return;
  if (!kept.value) return lose(node, 'lease ended');
  holding.renewedAt = sentAt;
  holding.heldUntil = sentAt + LEASE_MS * SAFE_PART;
}

function lose(node: EntryNode, reason: string): void {
  const {holding} = node;
  if (holding.lease === undefined) return;
  holding.lease = undefined;
  holding.heldUntil = 0;
  holding.reports.clear();
  holding.snapshots.clear();
  node.log.warn({reason}, 'no longer holds the roll-outs');
}

/** Applies a change of the holder's key. */
export function applyHolder(
  node: EntryNode,
  value: Buffer | undefined,
  revision: number,
): void {
  const {holding, settings} = node;
  holding.holder = value && {node: value.toString('utf8'), revision};
  if (holding.holder?.node !== settings.node) lose(node, 'another node holds');
}

/** Whether a key is the holder's. */
export function isHolderKey(key: string): boolean {
  return key === HOLDER_KEY;
}

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

/** Time since an order, over changes of the holder. */
function elapsedOf(node: EntryNode, order: KnownOrder): number {
  const now = node.clock();
  const known = node.versions.plans.get(order.service);
  const told =
    known?.plan.order === order.revision
      ? known.plan.elapsedMs + now - known.seenAt
      : 0;
  return Math.max(now - order.seenAt, told);
}

function viewOf(
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
  };
}

async function writePlan(
  node: EntryNode,
  order: KnownOrder,
  plan: RolloutPlan,
): Promise<void> {
  const {holding, versions, keyspace} = node;
  const key = PLANS + order.service;
  const known = versions.plans.get(order.service);
  const status = encodeStatus(plan);
  const written = await commit(keyspace, {
    expected: [
      {key: HOLDER_KEY, revision: holding.holder?.revision ?? 0},
      {key, revision: known?.revision ?? 0},
    ],
    writes: [
      {key, value: Buffer.from(JSON.stringify(plan))},
      {key: KEY.rolloutStatus + order.service, value: status},
    ],
    removed: [],
  });
  const outcome = written.isErr()
    ? written.error.message
    : (written.value ?? 'condition did not hold');
  node.log.info({plan, outcome}, 'roll-out plan written');
}

function applyChange(
  node: EntryNode,
  order: KnownOrder,
  plan: RolloutPlan,
  view: RolloutView,
  change: PlanChange,
): Promise<void> {
  const {fresh, old, freshReady, oldReady, elapsedMs, oldInFlight} = view;
  node.log.info(
    {
      decision: 'roll-out',
      service: order.service,
      from: {phase: plan.phase, share: plan.share},
      choice: change,
      inputs: {fresh, old, freshReady, oldReady, elapsedMs, oldInFlight},
    },
    'decision',
  );
  return writePlan(node, order, {
    ...plan,
    phase: change.phase,
    share: change.share,
    sequence: plan.sequence + 1,
    elapsedMs: Math.round(elapsedMs),
  });
}

async function advance(node: EntryNode, order: KnownOrder): Promise<void> {
  const plan = planOf(node, order);
  if (!plan) {
    const {revision, service, target} = order;
    return writePlan(node, order, firstPlan(revision, service, target));
  }
  const view = viewOf(node, order, plan);
  const change = nextChange(view);
  if (change) await applyChange(node, order, plan, view, change);
}

/** Takes a node's report, as the holder, and tells of the kept sessions. */
export function answerConsultation(
  node: EntryNode,
  {node: name, reports}: Consultation,
): Advice {
  node.holding.reports.set(name, {at: node.clock(), reports});
  const kept = new Map<string, Set<string>>();
  const orders = new Map<string, number>();
  for (const known of node.holding.reports.values()) {
    for (const {service, order, keptSessions} of known.reports) {
      if (node.orders.get(service)?.revision !== order) continue;
      orders.set(service, order);
      const sessions = kept.get(service) ?? new Set();
      kept.set(service, sessions);
      for (const session of keptSessions) sessions.add(session);
    }
  }
  return {
    kept: [...kept].map(([service, sessions]) => ({
      service,
      order: orders.get(service) ?? 0,
      sessions: [...sessions],
    })),
  };
}

function takeAdvice(node: EntryNode, {kept}: Advice): void {
  for (const {order, sessions} of kept) {
    const known = node.versions.kept.get(order) ?? new Set();
    node.versions.kept.set(order, known);
    for (const session of sessions) known.add(session);
  }
}

async function consult(node: EntryNode): Promise<void> {
  const consultation: Consultation = {
    node: node.settings.node,
    incarnation: node.incarnation,
    reports: reportRollouts(node),
  };
  if (isHolder(node))
    return takeAdvice(node, answerConsultation(node, consultation));
  const address = node.members.get(node.holding.holder?.node ?? '');
  const {client} = node.peers;
  if (!address || !client) return;
  const advice = await callPeer(
    client,
    address,
    'consult',
    consultation,
    CONSULT_TIMEOUT_MS,
  );
  if (advice.isOk()) takeAdvice(node, advice.value);
  else node.note('consult', {choice: 'failed', reason: advice.error.message});
}

async function holdStep(node: EntryNode): Promise<void> {
  const {holding} = node;
  const open = openOrders(node);
  if (open.length === 0) {
    if (holding.lease !== undefined) await release(node);
    return;
  }
  if (!holding.holder && !node.stopping) await acquire(node);
  else await renew(node);
  await consult(node);
  if (!isHolder(node) || node.stopping) return;
  for (const order of open) await advance(node, order);
}

async function release(node: EntryNode): Promise<void> {
  const {lease} = node.holding;
  if (lease === undefined) return;
  lose(node, 'released');
  await endLease(node.keyspace, lease);
}

/** Takes part in holding and following roll-outs until the node stops. */
export function followRollouts(node: EntryNode): void {
  const running = repeat(
    CONSULT_MS,
    () => holdStep(node),
    error => node.log.error({error: String(error)}, 'roll-out step failed'),
  );
  own(node.manager, 'rollouts', async () => {
    void running.end();
    await release(node);
  });
}
