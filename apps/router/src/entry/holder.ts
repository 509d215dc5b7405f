/**
 * One node at a time, elected by a lease in the store, is the holder of the
 * roll-outs. It merges the reports of all nodes and decides changes of the
 * plans. Each write is conditional on the lease and on the plan's revision.
 */
import {registerResource} from '@parsleyarch/lifecycle/manager';
import {repeat} from '@parsleyarch/lifecycle/process';
import type {
  Advice,
  Consultation,
  KeptSessions,
  RolloutReport,
} from '@parsleyarch/peer/messages';
import {callPeer} from '@parsleyarch/peer/client';
import {STORE_KEY} from '@parsleyarch/platform/names';
import {encodeRolloutStatus} from '@parsleyarch/platform/status';
import {
  oneRoundMs,
  REPORT_TIMEOUT_MS,
  stepIntervalMs,
} from '@parsleyarch/policy/report-times';
import type {VersionTally} from '@parsleyarch/policy/rollout';
import {
  createRolloutPlan,
  isRolloutOver,
  nextPlanChange,
  type PlanChange,
  type RolloutPlan,
  type RolloutView,
} from '@parsleyarch/policy/rollout-plan';
import {
  commitTransaction,
  revokeLease,
  grantLease,
  renewLease,
} from '@parsleyarch/store/keyspace';
import type {EntryNode, KnownOrder} from './node.js';
import {
  mergeKeptSessions,
  applyKeptSessions,
  type MergedSessions,
} from './kept-sessions.js';
import {knownEra} from './restoration.js';
import {followedSequence, createRolloutView} from './rollout-view.js';
import {collectRolloutReports} from './version-tallies.js';
import {findPlan} from './versions.js';

const LEASE_TTL_MS = 3_000;
const RENEW_INTERVAL_MS = 900;
/** Fraction of the lease TTL for which the holder acts without a renewal. */
const USABLE_LEASE_RATIO = 0.7;
/** Time in which a holder receives a plan that other nodes already follow. */
const PLAN_DELAY_MS = 2_000;
/** Time for which a node that knows less than others leaves the lease to them. */
const YIELD_MS = 5_000;
const HOLDER_KEY = `${STORE_KEY.router}holder`;
export const PLAN_KEY_PREFIX = `${STORE_KEY.router}rollout/`;

interface ReceivedReports {
  readonly receivedAt: number;
  readonly reports: readonly RolloutReport[];
}

interface TallySnapshot {
  readonly takenAt: number;
  readonly tally: VersionTally;
}

/** A node's knowledge of the holder, and its state while it is the holder. */
export interface HolderState {
  /** Latest known holder, and the revision of its key in the store. */
  holder?: {readonly node: string; readonly revision: number};
  /** Lease of this node, while it is the holder. */
  lease?: number;
  /** Era of the store in which the lease was granted. */
  leaseEra: number;
  /** Until when this node may act as the holder; monotonic milliseconds. */
  leaseUsableUntil: number;
  renewedAt: number;
  /** When this node became the holder. */
  heldSince: number;
  /** When the holder last answered a report, monotonic milliseconds. */
  advisedAt: number;
  /** Until when this node leaves the lease to others. */
  yieldedUntil: number;
  /** Latest reports, by node. */
  readonly reports: Map<string, ReceivedReports>;
  /** Sessions that stay on the old version, by order revision. */
  readonly mergedSessions: Map<number, MergedSessions>;
  /** Earlier counts of the new version, by order revision, oldest first. */
  readonly snapshots: Map<number, TallySnapshot[]>;
}

export function createHolderState(): HolderState {
  return {
    leaseEra: 0,
    leaseUsableUntil: 0,
    renewedAt: 0,
    heldSince: 0,
    advisedAt: -Infinity,
    yieldedUntil: -Infinity,
    reports: new Map(),
    mergedSessions: new Map(),
    snapshots: new Map(),
  };
}

function isHolder(node: EntryNode): boolean {
  const {holderState, settings, clock} = node;
  return (
    holderState.holder?.node === settings.node &&
    holderState.lease !== undefined &&
    holderState.leaseEra === knownEra(node) &&
    clock() < holderState.leaseUsableUntil
  );
}

/** Whether the store lacks the plan on which this node acts. */
function mustRestorePlan(node: EntryNode, order: KnownOrder): boolean {
  const known = node.versions.plans.get(order.service);
  return known?.isStored === false && order.era === node.feed.era;
}

function listActiveOrders(node: EntryNode): KnownOrder[] {
  return [...node.orders.values()].filter(order => {
    const plan = findPlan(node, order);
    if (!plan || !isRolloutOver(plan)) return true;
    return mustRestorePlan(node, order);
  });
}

/** Tries to become the holder when there is none. */
async function acquireHolderLease(node: EntryNode): Promise<void> {
  const {holderState, keyspace, settings} = node;
  const sentAt = node.clock();
  const granted = await grantLease(keyspace, LEASE_TTL_MS);
  if (granted.isErr()) return;
  const {lease, ttlMs} = granted.value;
  const written = await commitTransaction(keyspace, {
    expected: [{key: HOLDER_KEY, revision: 0}],
    writes: [{key: HOLDER_KEY, value: Buffer.from(settings.node), lease}],
    removed: [],
  });
  if (written.isErr() || written.value === undefined) {
    node.logDecision('holder', {
      choice: 'other',
      reason: 'holder key is taken or the write failed',
    });
    // If only the response was lost, the key names this node, which does not
    // know that it is the holder. Revoking the lease deletes the key.
    await revokeLease(keyspace, lease);
    return;
  }
  holderState.lease = lease;
  holderState.leaseEra = keyspace.era;
  holderState.heldSince = sentAt;
  holderState.leaseUsableUntil = sentAt + ttlMs * USABLE_LEASE_RATIO;
  holderState.renewedAt = sentAt;
  holderState.holder = {node: settings.node, revision: written.value};
  node.log.info({lease, revision: written.value}, 'holds the roll-outs');
}

async function renewHolderLease(node: EntryNode): Promise<void> {
  const {holderState, keyspace} = node;
  const sentAt = node.clock();
  if (
    holderState.lease === undefined ||
    sentAt - holderState.renewedAt < RENEW_INTERVAL_MS
  )
    return;
  const renewed = await renewLease(keyspace, holderState.lease);
  if (renewed.isErr()) return;
  if (!renewed.value) return dropHolderLease(node, 'lease expired');
  holderState.renewedAt = sentAt;
  holderState.leaseUsableUntil = sentAt + LEASE_TTL_MS * USABLE_LEASE_RATIO;
}

function dropHolderLease(node: EntryNode, reason: string): void {
  const {holderState} = node;
  if (holderState.lease === undefined) return;
  holderState.lease = undefined;
  holderState.leaseUsableUntil = 0;
  holderState.reports.clear();
  holderState.mergedSessions.clear();
  holderState.snapshots.clear();
  node.log.warn({reason}, 'no longer holds the roll-outs');
}

export function applyHolderChange(
  node: EntryNode,
  value: Buffer | undefined,
  revision: number,
): void {
  const {holderState, settings} = node;
  holderState.holder = value && {node: value.toString('utf8'), revision};
  if (holderState.holder?.node !== settings.node)
    dropHolderLease(node, 'another node is the holder');
}

export function isHolderKey(key: string): boolean {
  return key === HOLDER_KEY;
}

async function writePlan(
  node: EntryNode,
  order: KnownOrder,
  plan: RolloutPlan,
): Promise<void> {
  const {holderState, versions, keyspace} = node;
  const key = PLAN_KEY_PREFIX + order.service;
  const known = versions.plans.get(order.service);
  const status = encodeRolloutStatus(plan);
  const written = await commitTransaction(keyspace, {
    expected: [
      {key: HOLDER_KEY, revision: holderState.holder?.revision ?? 0},
      {key, revision: known?.revision ?? 0},
    ],
    writes: [
      {key, value: Buffer.from(JSON.stringify(plan))},
      {key: STORE_KEY.rolloutStatus + order.service, value: status},
    ],
    removed: [],
  });
  const outcome = written.isErr()
    ? written.error.message
    : (written.value ?? 'precondition failed');
  node.log.info({plan, outcome}, 'roll-out plan write attempted');
}

function applyPlanChange(
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

/** Whether a node acts on a later plan than this one, as its report says. */
function isBehind(node: EntryNode, order: KnownOrder): boolean {
  const sequence = findPlan(node, order)?.sequence ?? 0;
  for (const {reports} of node.holderState.reports.values()) {
    for (const report of reports) {
      if (report.order === order.revision && report.sequence > sequence)
        return true;
    }
  }
  return false;
}

async function advanceRollout(
  node: EntryNode,
  order: KnownOrder,
): Promise<void> {
  const {feed, holderState} = node;
  const heldMs = node.clock() - holderState.heldSince;
  const plan = findPlan(node, order);
  if (plan && mustRestorePlan(node, order)) return writePlan(node, order, plan);
  // After a restoration, nodes may act on plans that the store has lost.
  const isFirstRound = heldMs < oneRoundMs(node.members.size);
  if (!plan && feed.era > 0 && isFirstRound) return;
  if (isBehind(node, order)) {
    // The change of a plan may reach other nodes before it reaches this one.
    const seenAt = node.versions.plans.get(order.service)?.seenAt ?? -Infinity;
    if (node.clock() - seenAt < PLAN_DELAY_MS) return;
    holderState.yieldedUntil = node.clock() + YIELD_MS;
    node.log.warn({service: order.service}, 'another node knows a later plan');
    return releaseHolderLease(node);
  }
  if (!plan) {
    const {revision, service, target} = order;
    return writePlan(node, order, createRolloutPlan(revision, service, target));
  }
  const view = createRolloutView(node, order, plan);
  const change = nextPlanChange(view);
  if (change) await applyPlanChange(node, order, plan, view, change);
}

/**
 * Stores a node's reports and returns the kept sessions that it lacks. Throws if
 * this node may not act as the holder, so that others do not rely on it.
 */
export function answerConsultation(
  node: EntryNode,
  {node: name, reports}: Consultation,
): Advice {
  if (!isHolder(node)) throw new Error('this node does not hold the roll-outs');
  node.holderState.reports.set(name, {receivedAt: node.clock(), reports});
  const kept: KeptSessions[] = [];
  for (const report of reports) {
    const order = node.orders.get(report.service);
    if (order?.revision !== report.order) continue;
    kept.push(mergeKeptSessions(node, report, followedSequence(node, order)));
  }
  return {kept};
}

function applyAdvice(node: EntryNode, {kept}: Advice): void {
  node.holderState.advisedAt = node.clock();
  for (const sessions of kept) applyKeptSessions(node, sessions);
}

async function consultHolder(node: EntryNode): Promise<void> {
  const consultation: Consultation = {
    node: node.settings.node,
    incarnation: node.incarnation,
    reports: collectRolloutReports(node),
  };
  if (isHolder(node))
    return applyAdvice(node, answerConsultation(node, consultation));
  const name = node.holderState.holder?.node ?? '';
  if (name === node.settings.node) return;
  const address = node.members.get(name)?.address;
  const {client} = node.peers;
  if (!address || !client) return;
  const advice = await callPeer(
    client,
    address,
    'consult',
    consultation,
    REPORT_TIMEOUT_MS,
  );
  if (advice.isOk()) applyAdvice(node, advice.value);
  else
    node.logDecision('consult', {
      choice: 'failed',
      reason: advice.error.message,
    });
}

async function stepRollouts(node: EntryNode): Promise<void> {
  const {holderState} = node;
  const activeOrders = listActiveOrders(node);
  if (activeOrders.length === 0) {
    if (holderState.lease !== undefined) await releaseHolderLease(node);
    return;
  }
  if (holderState.leaseEra < knownEra(node))
    dropHolderLease(node, 'the store was restored');
  const mayAcquire =
    !node.stopping &&
    !node.pressure.hasRoomElsewhere &&
    node.clock() > holderState.yieldedUntil;
  if (!holderState.holder && mayAcquire) await acquireHolderLease(node);
  else await renewHolderLease(node);
  await consultHolder(node);
  if (!isHolder(node) || node.stopping) return;
  for (const order of activeOrders) {
    if (isHolder(node)) await advanceRollout(node, order);
  }
}

async function releaseHolderLease(node: EntryNode): Promise<void> {
  const {lease, leaseEra} = node.holderState;
  if (lease === undefined) return;
  dropHolderLease(node, 'released');
  // After a restoration the ID may belong to a lease of another node.
  if (leaseEra !== knownEra(node)) return;
  await revokeLease(node.keyspace, lease);
}

/**
 * Periodically reports to the holder, and acts as the holder if elected, until
 * the node stops.
 */
export function runRollouts(node: EntryNode): void {
  const running = repeat(
    () => {
      const hasLease = node.holderState.lease !== undefined;
      return stepIntervalMs(node.members.size, hasLease);
    },
    () => stepRollouts(node),
    error => node.log.error({error: String(error)}, 'roll-out step failed'),
  );
  registerResource(node.manager, 'rollouts', async () => {
    void running.end();
    await releaseHolderLease(node);
  });
}
