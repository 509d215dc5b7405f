/** Chooses between the old and the new version of a service in a roll-out. */
import {
  isHashInShare,
  Phase,
  type RolloutPlan,
} from '@parsleyarch/policy/rollout-plan';
import {createHash} from 'node:crypto';
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
  readonly lastActiveAt: number;
}

/** Sends of this node to one upstream since a roll-out was ordered. */
export interface LocalTally {
  readonly fresh: boolean;
  seen: number;
  failed: number;
  slow: number;
}

/** A plan, and when this node received it. */
export interface KnownPlan {
  readonly plan: RolloutPlan;
  readonly revision: number;
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
   * Moving average of the time to the answer header, by route and model,
   * milliseconds. Excludes a version that is being rolled out.
   */
  readonly latencyBaselines: Map<string, number>;
}

export function createVersions(): Versions {
  return {
    plans: new Map(),
    sessions: new Map(),
    tallies: new Map(),
    kept: new Map(),
    locallyReverted: new Set(),
    latencyBaselines: new Map(),
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

function findKnownSide(node: EntryNode, key: string): Side | undefined {
  const known = node.versions.sessions.get(key);
  const {sessionSeconds} = node.settings.rollout;
  if (!known || node.clock() - known.lastActiveAt > sessionSeconds * 1_000)
    return undefined;
  return known.side;
}

function chooseSide(
  node: EntryNode,
  order: KnownOrder,
  plan: RolloutPlan,
  session: string,
): Side {
  const known = findKnownSide(node, `${order.service}/${session}`);
  if (known === Side.fresh) return Side.fresh;
  if (!isInShare(plan, session)) return Side.old;
  if (plan.phase !== Phase.canary) return Side.fresh;
  // During the canary, only sessions that begin now use the new version;
  // those known on the old version stay there.
  if (known === Side.old || !isShareReady(node, order))
    keptSessionsOf(node, order.revision).local.add(session);
  return isSessionKept(node, order.revision, session) ? Side.old : Side.fresh;
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
    if (findKnownSide(node, key) === Side.old && isInShare(plan, session))
      local.add(session);
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

/** Deletes the state of an order that has been replaced. */
export function forgetOrder(node: EntryNode, orderRevision: number): void {
  const {tallies, kept, locallyReverted} = node.versions;
  const {snapshots, mergedSessions} = node.holderState;
  for (const known of [
    tallies,
    kept,
    locallyReverted,
    snapshots,
    mergedSessions,
  ])
    known.delete(orderRevision);
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
  sessions.set(key, {side: exchange.side ?? Side.old, lastActiveAt});
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
  if (exchange.side !== Side.fresh) return !fresh;
  const plan = findPlan(node, order);
  if (plan?.phase === Phase.reverted) return !fresh;
  return fresh || (plan?.phase !== Phase.complete && exchange.freshFailed);
}
