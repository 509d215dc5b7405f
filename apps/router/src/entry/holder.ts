/**
 * One node at a time holds the roll-outs: it has a lease in the store, merges
 * what the nodes see, and writes each change of a plan under the condition
 * that it still holds the lease and that the plan is the one it knows.
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
import {KEY} from '@parsleyarch/platform/names';
import {encodeStatus} from '@parsleyarch/platform/status';
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
import {mergeKept, takeKept, type MergedSessions} from './kept-sessions.js';
import {followedSequence, viewOf} from './rollout-view.js';
import {reportRollouts} from './version-tallies.js';
import {planOf} from './versions.js';

/** Life of the lease without renewal, milliseconds. */
const LEASE_MS = 3_000;
const RENEW_MS = 900;
/** Part of the lease's life in which the holder acts on it. */
const SAFE_PART = 0.7;
const CONSULT_MS = 400;
const CONSULT_TIMEOUT_MS = 800;
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
  /** Sessions that stay on the old version, by order. */
  readonly merged: Map<number, MergedSessions>;
  /** Counts of the versions a while ago, by order. */
  readonly snapshots: Map<number, Snapshot[]>;
}

/** Holds nothing. */
export function createHolding(): Holding {
  return {
    heldUntil: 0,
    renewedAt: 0,
    reports: new Map(),
    merged: new Map(),
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
    return !plan || !isRolloutOver(plan);
  });
}

/** Tries to become the holder when nobody is. */
async function acquire(node: EntryNode): Promise<void> {
  const {holding, keyspace, settings} = node;
  const sentAt = node.clock();
  const granted = await grantLease(keyspace, LEASE_MS);
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
      reason: 'key is taken or call lost',
    });
    // A write whose answer was lost must not leave a holder without a node.
    await revokeLease(keyspace, lease);
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
  const kept = await renewLease(keyspace, holding.lease);
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
  holding.merged.clear();
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

async function writePlan(
  node: EntryNode,
  order: KnownOrder,
  plan: RolloutPlan,
): Promise<void> {
  const {holding, versions, keyspace} = node;
  const key = PLANS + order.service;
  const known = versions.plans.get(order.service);
  const status = encodeStatus(plan);
  const written = await commitTransaction(keyspace, {
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
    return writePlan(node, order, createRolloutPlan(revision, service, target));
  }
  const view = viewOf(node, order, plan);
  const change = nextPlanChange(view);
  if (change) await applyChange(node, order, plan, view, change);
}

/** Takes a node's report, as the holder, and tells of the kept sessions. */
export function answerConsultation(
  node: EntryNode,
  {node: name, reports}: Consultation,
): Advice {
  node.holding.reports.set(name, {at: node.clock(), reports});
  const kept: KeptSessions[] = [];
  for (const report of reports) {
    const order = node.orders.get(report.service);
    if (order?.revision !== report.order) continue;
    kept.push(mergeKept(node, report, followedSequence(node, order)));
  }
  return {kept};
}

function takeAdvice(node: EntryNode, {kept}: Advice): void {
  for (const sessions of kept) takeKept(node, sessions);
}

async function consult(node: EntryNode): Promise<void> {
  const consultation: Consultation = {
    node: node.settings.node,
    incarnation: node.incarnation,
    reports: reportRollouts(node),
  };
  if (isHolder(node))
    return takeAdvice(node, answerConsultation(node, consultation));
  const address = node.members.get(node.holding.holder?.node ?? '')?.address;
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
  else
    node.logDecision('consult', {
      choice: 'failed',
      reason: advice.error.message,
    });
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
  await revokeLease(node.keyspace, lease);
}

/** Takes part in holding and following roll-outs until the node stops. */
export function followRollouts(node: EntryNode): void {
  const running = repeat(
    CONSULT_MS,
    () => holdStep(node),
    error => node.log.error({error: String(error)}, 'roll-out step failed'),
  );
  registerResource(node.manager, 'rollouts', async () => {
    void running.end();
    await release(node);
  });
}
