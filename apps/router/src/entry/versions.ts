/** Chooses between the old and the new version of a service in a roll-out. */
import {outOfTouchMs} from '@parsleyarch/policy/report-times';
import {
  isHashInShare,
  Phase,
  type RolloutPlan,
} from '@parsleyarch/policy/rollout-plan';
import {createHash} from 'node:crypto';
import type {Send} from './attempt.js';
import type {Exchange} from './exchange.js';
import {
  isSessionKept,
  isShareReady,
  keptSessionsOf,
  type KeptSessionState,
} from './kept-sessions.js';
import type {EntryNode, KnownOrder} from './node.js';

const MAX_SESSION_COUNT = 20_000;

/** Version that a session uses during a roll-out; `fresh` is the new one. */
export const Side = {old: 'old', fresh: 'fresh'} as const;
export type Side = (typeof Side)[keyof typeof Side];

interface KnownSession {
  readonly side: Side;
  /** New version of the roll-out that the side belongs to. */
  readonly target?: string;
  readonly lastActiveAt: number;
}

/** Sends of this node to one upstream since a roll-out was ordered. */
export interface LocalTally {
  readonly fresh: boolean;
  seen: number;
  failed: number;
  slow: number;
  /** Sends whose latency is not known: streams at first, and sends without a baseline. */
  untimed: number;
}

/** A stream whose pace is not known yet. */
interface UntimedStream {
  readonly tally: LocalTally;
  /** Whether its head came late. */
  readonly isHeadSlow: boolean;
}

/** A plan, and when this node received it. */
export interface KnownPlan {
  readonly plan: RolloutPlan;
  /** Revision of the plan's key in the store; 0 if it does not exist. */
  readonly revision: number;
  /** Era of the store in which the revision counts. */
  readonly era: number;
  /** Whether the store holds this plan, and not an earlier one or none. */
  readonly isStored: boolean;
  readonly seenAt: number;
}

/** State of the roll-outs at this node. */
export interface Versions {
  /** Plans by service. */
  readonly plans: Map<string, KnownPlan>;
  /** Sessions by service and id, least recently used first. */
  readonly sessions: Map<string, KnownSession>;
  /** Counts by order revision and upstream. */
  readonly tallies: Map<number, Map<string, LocalTally>>;
  /** Sessions that stay on the old version, by order revision. */
  readonly kept: Map<number, KeptSessionState>;
  /** Revisions of orders that this node stopped following by its own counts. */
  readonly locallyReverted: Set<number>;
  /**
   * Moving geometric mean of the time to the answer header, by route and model,
   * milliseconds. Excludes a version that is being rolled out.
   */
  readonly latencyBaselines: Map<string, number>;
  /** The same of the mean gap between the events of a stream. */
  readonly gapBaselines: Map<string, number>;
  readonly untimedStreams: WeakMap<Send, UntimedStream>;
}

export function createVersions(): Versions {
  return {
    plans: new Map(),
    sessions: new Map(),
    tallies: new Map(),
    kept: new Map(),
    locallyReverted: new Set(),
    latencyBaselines: new Map(),
    gapBaselines: new Map(),
    untimedStreams: new WeakMap(),
  };
}

/** Returns the plan of an order, if it has been received. */
export function findPlan(
  node: EntryNode,
  order: KnownOrder,
): RolloutPlan | undefined {
  const plan = node.versions.plans.get(order.service)?.plan;
  return plan?.order === order.revision ? plan : undefined;
}

/**
 * Time since an order, milliseconds: a lower bound from the time when this node
 * received the order and from the elapsed time that the plan states.
 */
export function localElapsedSinceOrder(
  node: EntryNode,
  order: KnownOrder,
): number {
  const now = node.clock();
  const known = node.versions.plans.get(order.service);
  const planElapsedMs =
    known?.plan.order === order.revision
      ? known.plan.elapsedMs + now - known.seenAt
      : 0;
  return Math.max(now - order.seenAt, planElapsedMs);
}

function sessionIdOf({caller}: Exchange): string {
  return caller.session ?? caller.attemptId;
}

/** Side of a session in a roll-out; any version of an earlier one is now the old one. */
function findKnownSide(
  node: EntryNode,
  key: string,
  target: string,
): Side | undefined {
  const known = node.versions.sessions.get(key);
  const {sessionSeconds} = node.settings.rollout;
  if (!known || node.clock() - known.lastActiveAt > sessionSeconds * 1_000)
    return undefined;
  return known.target === target ? known.side : Side.old;
}

function chooseSide(
  node: EntryNode,
  order: KnownOrder,
  plan: RolloutPlan,
  session: string,
): Side {
  const key = `${order.service}/${session}`;
  const known = findKnownSide(node, key, order.target);
  if (known === Side.fresh) return Side.fresh;
  if (!isInShare(plan, session) || isOutOfTouch(node)) return Side.old;
  if (plan.phase !== Phase.canary) return Side.fresh;
  // During the canary, only sessions that begin now use the new version;
  // those known on the old version stay there.
  if (known === Side.old || !isShareReady(node, order))
    keptSessionsOf(node, order.revision).local.add(session);
  return isSessionKept(node, order.revision, session) ? Side.old : Side.fresh;
}

function isOutOfTouch({clock, holderState, members}: EntryNode): boolean {
  return clock() - holderState.advisedAt > outOfTouchMs(members.size);
}

/** Whether the hash bucket of a session is within the plan's share. */
function isInShare({target, share}: RolloutPlan, session: string): boolean {
  const hash = createHash('sha256').update(`${target}/${session}`);
  return isHashInShare(hash.digest('hex'), share);
}

/** Keeps sessions on the old version that a new canary share would move. */
export function keepSessions(node: EntryNode, plan: RolloutPlan): void {
  if (plan.phase !== Phase.canary) return;
  const {local} = keptSessionsOf(node, plan.order);
  const prefix = `${plan.service}/`;
  for (const key of node.versions.sessions.keys()) {
    if (!key.startsWith(prefix)) continue;
    const session = key.slice(prefix.length);
    const isOld = findKnownSide(node, key, plan.target) === Side.old;
    if (isOld && isInShare(plan, session)) local.add(session);
  }
}

function determineSide(
  node: EntryNode,
  order: KnownOrder,
  exchange: Exchange,
): Side {
  const plan = findPlan(node, order);
  if (!plan || plan.phase === Phase.waiting || plan.phase === Phase.reverted)
    return Side.old;
  if (plan.phase === Phase.complete) return Side.fresh;
  if (node.versions.locallyReverted.has(order.revision)) return Side.old;
  return chooseSide(node, order, plan, sessionIdOf(exchange));
}

/** Assigns the side of a new request, which its later sends keep. */
export function assignSide(node: EntryNode, exchange: Exchange): void {
  const order = node.orders.get(exchange.service);
  exchange.side = order ? determineSide(node, order, exchange) : undefined;
  exchange.rolloutTarget = order?.target;
  // Keeps the session from expiring while the request may still run.
  recordSession(node, exchange, exchange.deadlineAt);
}

/**
 * Records the end of a request. Its session stays on the old version if the
 * new one failed the request.
 */
export function recordSessionEnd(node: EntryNode, exchange: Exchange): void {
  const {session} = exchange.caller;
  const order = node.orders.get(exchange.service);
  if (order && exchange.freshFailed && session !== undefined) {
    exchange.side = Side.old;
    keptSessionsOf(node, order.revision).local.add(session);
  }
  recordSession(node, exchange, node.clock());
}

/** State by the revision of an order. */
function listOrderMaps({versions, holderState}: EntryNode) {
  const {tallies, kept} = versions;
  const {snapshots, mergedSessions} = holderState;
  return [tallies, kept, snapshots, mergedSessions] as Map<number, unknown>[];
}

/** Deletes the state of an order that has been replaced. */
export function forgetOrder(node: EntryNode, orderRevision: number): void {
  for (const known of listOrderMaps(node)) known.delete(orderRevision);
  node.versions.locallyReverted.delete(orderRevision);
}

/**
 * Moves the state of an order to the revision under which it was written again
 * after the store had been restored.
 */
export function renumberOrder(
  node: EntryNode,
  {service, revision: from}: KnownOrder,
  to: number,
): void {
  if (from === to) return;
  for (const known of listOrderMaps(node)) {
    if (!known.has(from)) continue;
    known.set(to, known.get(from));
    known.delete(from);
  }
  const {locallyReverted, plans} = node.versions;
  if (locallyReverted.delete(from)) locallyReverted.add(to);
  const known = plans.get(service);
  if (known?.plan.order !== from) return;
  const plan = {...known.plan, order: to};
  plans.set(service, {...known, plan, isStored: false});
}

/**
 * Applies a plan that was read from the store, unless this node acts on a later
 * one that a restored store lacks.
 */
export function applyPlan(
  node: EntryNode,
  plan: RolloutPlan,
  revision: number,
): void {
  const {era} = node.feed;
  const {plans} = node.versions;
  const known = plans.get(plan.service);
  if (known?.era === era && known.revision >= revision) return;
  if (known && isAhead(known, plan, era)) {
    plans.set(plan.service, {...known, revision, era, isStored: false});
    node.log.warn(
      {stored: plan.sequence, known: known.plan.sequence},
      'the store holds an earlier roll-out plan',
    );
    return;
  }
  const seenAt = node.clock();
  plans.set(plan.service, {plan, revision, era, isStored: true, seenAt});
  keepSessions(node, plan);
  node.log.info({plan, revision}, 'roll-out plan in force');
}

function isAhead(known: KnownPlan, stored: RolloutPlan, era: number): boolean {
  if (known.era === era && known.isStored) return false;
  return (
    known.plan.target === stored.target && known.plan.sequence > stored.sequence
  );
}

/** Marks plans that a full read in a new era lacks as not stored. */
export function markMissingPlans(
  node: EntryNode,
  stored: ReadonlySet<string>,
): void {
  const {era} = node.feed;
  const {plans} = node.versions;
  for (const [service, known] of plans) {
    if (known.era === era || stored.has(service)) continue;
    plans.set(service, {...known, revision: 0, era, isStored: false});
  }
}

/** Records the side of a session; without an order, it is the old one. */
function recordSession(
  node: EntryNode,
  exchange: Exchange,
  lastActiveAt: number,
): void {
  if (exchange.caller.session === undefined) return;
  const {sessions} = node.versions;
  const key = `${exchange.service}/${exchange.caller.session}`;
  sessions.delete(key);
  const {side = Side.old, rolloutTarget: target} = exchange;
  sessions.set(key, {side, target, lastActiveAt});
  for (const oldest of sessions.keys()) {
    if (sessions.size <= MAX_SESSION_COUNT) break;
    sessions.delete(oldest);
  }
}

/** A reverted version stays unused after its order has been deleted. */
function isReverted(node: EntryNode, service: string, version: string) {
  const plan = node.versions.plans.get(service)?.plan;
  return plan?.phase === Phase.reverted && plan.target === version;
}

/**
 * Whether a request may run on a version of its service. A request that the new
 * version failed may be sent to the old one until the roll-out is complete.
 */
export function allowsVersion(
  node: EntryNode,
  exchange: Exchange,
  version: string,
): boolean {
  const order = node.orders.get(exchange.service);
  if (!order) return !isReverted(node, exchange.service, version);
  const fresh = version === order.target;
  const isAssigned = exchange.rolloutTarget === order.target;
  if (!isAssigned || exchange.side !== Side.fresh) return !fresh;
  const plan = findPlan(node, order);
  if (plan?.phase === Phase.reverted) return !fresh;
  return fresh || (plan?.phase !== Phase.complete && exchange.freshFailed);
}
