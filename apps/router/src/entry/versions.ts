/** Which version of its service a request uses while one is rolled out. */
import {
  isHashInShare,
  Phase,
  type RolloutPlan,
} from '@parsleyarch/policy/rollout-plan';
import {createHash} from 'node:crypto';
import type {Exchange} from './exchange.js';
import {
  isKept,
  isShareReady,
  keptOf,
  type KeptKnowledge,
} from './kept-sessions.js';
import type {EntryNode, KnownOrder} from './node.js';

/** Sessions that are remembered at most. */
const MAX_SESSIONS = 20_000;

/** Which side of a roll-out a session is on. */
export const Side = {old: 'old', fresh: 'fresh'} as const;
export type Side = (typeof Side)[keyof typeof Side];

interface KnownSession {
  readonly side: Side;
  readonly at: number;
}

/** Sends of this node to one upstream since an order. */
export interface CountedUpstream {
  readonly fresh: boolean;
  seen: number;
  failed: number;
  slow: number;
}

/** A plan as this node learnt of it. */
export interface KnownPlan {
  readonly plan: RolloutPlan;
  readonly revision: number;
  readonly seenAt: number;
}

/** What the node knows of roll-outs. */
export interface Versions {
  readonly plans: Map<string, KnownPlan>;
  /** Sessions by service and id, the least recent first. */
  readonly sessions: Map<string, KnownSession>;
  /** Counts by order revision and upstream. */
  readonly tallies: Map<number, Map<string, CountedUpstream>>;
  /** Sessions that stay on the old version, by order revision. */
  readonly kept: Map<number, KeptKnowledge>;
  /** Orders that this node no longer follows because of what it saw itself. */
  readonly braked: Set<number>;
  /** Usual time to an answer's header by route and model, milliseconds. */
  readonly usual: Map<string, number>;
}

/** Knows nothing. */
export function createVersions(): Versions {
  return {
    plans: new Map(),
    sessions: new Map(),
    tallies: new Map(),
    kept: new Map(),
    braked: new Set(),
    usual: new Map(),
  };
}

/** The plan that belongs to an order, if there is one. */
export function planOf(
  node: EntryNode,
  order: KnownOrder,
): RolloutPlan | undefined {
  const plan = node.versions.plans.get(order.service)?.plan;
  return plan?.order === order.revision ? plan : undefined;
}

/** Time since an order, as far as this node knows, milliseconds. */
export function knownElapsed(node: EntryNode, order: KnownOrder): number {
  const now = node.clock();
  const known = node.versions.plans.get(order.service);
  const told =
    known?.plan.order === order.revision
      ? known.plan.elapsedMs + now - known.seenAt
      : 0;
  return Math.max(now - order.seenAt, told);
}

function sessionOf({caller}: Exchange): string {
  return caller.session ?? caller.attemptId;
}

function knownSide(node: EntryNode, key: string): Side | undefined {
  const known = node.versions.sessions.get(key);
  const {sessionSeconds} = node.settings.rollout;
  if (!known || node.clock() - known.at > sessionSeconds * 1_000)
    return undefined;
  return known.side;
}

function drawSide(
  node: EntryNode,
  order: KnownOrder,
  plan: RolloutPlan,
  session: string,
): Side {
  const known = knownSide(node, `${order.service}/${session}`);
  if (known === Side.fresh) return Side.fresh;
  if (!isInShare(plan, session)) return Side.old;
  if (plan.phase !== Phase.canary) return Side.fresh;
  // Until sessions may move, only those that begin now use the version.
  if (known === Side.old || !isShareReady(node, order))
    keptOf(node, order.revision).seen.add(session);
  return isKept(node, order.revision, session) ? Side.old : Side.fresh;
}

/** Whether the bucket of a session is among the share of a plan. */
function isInShare({target, share}: RolloutPlan, session: string): boolean {
  const hash = createHash('sha256').update(`${target}/${session}`);
  return isHashInShare(hash.digest('hex'), share);
}

/** Keeps the sessions that a new share of the canary finds on the old version. */
export function keepSessions(node: EntryNode, plan: RolloutPlan): void {
  if (plan.phase !== Phase.canary) return;
  const {seen} = keptOf(node, plan.order);
  const prefix = `${plan.service}/`;
  for (const key of node.versions.sessions.keys()) {
    if (!key.startsWith(prefix)) continue;
    const session = key.slice(prefix.length);
    if (knownSide(node, key) === Side.old && isInShare(plan, session))
      seen.add(session);
  }
}

function sideOf(node: EntryNode, order: KnownOrder, exchange: Exchange): Side {
  const plan = planOf(node, order);
  if (!plan || plan.phase === Phase.waiting || plan.phase === Phase.reverted)
    return Side.old;
  if (plan.phase === Phase.complete) return Side.fresh;
  if (node.versions.braked.has(order.revision)) return Side.old;
  return drawSide(node, order, plan, sessionOf(exchange));
}

/** Draws the side of a new request; later sends of it keep the side. */
export function assignSide(node: EntryNode, exchange: Exchange): void {
  const order = node.orders.get(exchange.service);
  exchange.side = order ? sideOf(node, order, exchange) : undefined;
  // The session lasts at least while the request may run.
  noteSession(node, exchange, exchange.deadlineAt);
}

/** Notes the end of a request of a session, and where it ended. */
export function endSession(node: EntryNode, exchange: Exchange): void {
  const {session} = exchange.caller;
  const order = node.orders.get(exchange.service);
  if (order && exchange.freshFailed && session !== undefined) {
    exchange.side = Side.old;
    keptOf(node, order.revision).seen.add(session);
  }
  noteSession(node, exchange, node.clock());
}

/** Drops what is known of an order that another one replaced. */
export function forgetOrder(node: EntryNode, order: number): void {
  const {tallies, kept, braked} = node.versions;
  const {snapshots, merged} = node.holding;
  for (const known of [tallies, kept, braked, snapshots, merged])
    known.delete(order);
}

/** Remembers the side of a session; requests without an order are old. */
function noteSession(node: EntryNode, exchange: Exchange, at: number): void {
  if (exchange.caller.session === undefined) return;
  const {sessions} = node.versions;
  const key = `${exchange.service}/${exchange.caller.session}`;
  sessions.delete(key);
  sessions.set(key, {side: exchange.side ?? Side.old, at});
  for (const oldest of sessions.keys()) {
    if (sessions.size <= MAX_SESSIONS) break;
    sessions.delete(oldest);
  }
}

/** A version that was reverted stays unused after its order is gone. */
function isReverted(node: EntryNode, service: string, version: string) {
  const plan = node.versions.plans.get(service)?.plan;
  return plan?.phase === Phase.reverted && plan.target === version;
}

/** Whether a request may run on a version of its service. */
export function allowsVersion(
  node: EntryNode,
  exchange: Exchange,
  version: string,
): boolean {
  const order = node.orders.get(exchange.service);
  if (!order) return !isReverted(node, exchange.service, version);
  const fresh = version === order.target;
  if (exchange.side !== Side.fresh) return !fresh;
  const plan = planOf(node, order);
  if (plan?.phase === Phase.reverted) return !fresh;
  return fresh || (plan?.phase !== Phase.complete && exchange.freshFailed);
}
