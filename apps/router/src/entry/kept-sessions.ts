/**
 * Sessions that stay on the old version although their hash bucket is within
 * the canary's share. Requests of a session may reach different nodes, so a
 * node uses a wider share only after all nodes have reported their sessions.
 */
import type {KeptSessions, RolloutReport} from '@parsleyarch/peer/messages';
import {twoRoundsMs} from '@parsleyarch/policy/report-times';
import type {EntryNode, KnownOrder} from './node.js';

/** Sessions that one order keeps on the old version, as known to a node. */
export interface KeptSessionState {
  /** Sessions that this node itself keeps. */
  readonly local: Set<string>;
  /** Sessions that all nodes keep, as received from the holder. */
  readonly received: Set<string>;
  /** Holder's incarnation, and number of entries received of its list. */
  listPosition: {incarnation: string; count: number};
  /** Sequence number of the newest plan on which every node has reported. */
  readySequence: number;
}

/** Sessions of one order, merged from all nodes by the holder. */
export interface MergedSessions {
  /** Append-only, so that nodes can request the entries after a position. */
  readonly list: string[];
  readonly known: Set<string>;
}

/** Returns the state of an order, creating it if needed. */
export function keptSessionsOf(
  node: EntryNode,
  orderRevision: number,
): KeptSessionState {
  const known = node.versions.kept.get(orderRevision);
  if (known) return known;
  const created: KeptSessionState = {
    local: new Set(),
    received: new Set(),
    listPosition: {incarnation: '', count: 0},
    readySequence: 0,
  };
  node.versions.kept.set(orderRevision, created);
  return created;
}

/** Whether a session stays on the old version during the canary. */
export function isSessionKept(
  node: EntryNode,
  orderRevision: number,
  session: string,
): boolean {
  const {local, received} = keptSessionsOf(node, orderRevision);
  return local.has(session) || received.has(session);
}

/** Whether this node may use the current plan's share. */
export function isShareReady(node: EntryNode, order: KnownOrder): boolean {
  const known = node.versions.plans.get(order.service);
  if (!known) return false;
  // A node that does not report must not keep the share from being used.
  const planAgeMs = node.clock() - known.seenAt;
  if (planAgeMs > twoRoundsMs(node.members.size)) return true;
  return (
    keptSessionsOf(node, order.revision).readySequence >= known.plan.sequence
  );
}

/** Merges a node's sessions and returns those that it has not received yet. */
export function mergeKeptSessions(
  node: EntryNode,
  report: RolloutReport,
  readySequence: number,
): KeptSessions {
  const {mergedSessions} = node.holderState;
  const {list, known} = mergedSessions.get(report.order) ?? {
    list: [],
    known: new Set(),
  };
  mergedSessions.set(report.order, {list, known});
  for (const session of report.keptSessions) {
    if (known.has(session)) continue;
    known.add(session);
    list.push(session);
  }
  const continuesList = report.keptFrom === node.incarnation;
  return {
    service: report.service,
    order: report.order,
    sessions: list.slice(continuesList ? report.keptCount : 0),
    from: node.incarnation,
    count: list.length,
    readySequence,
  };
}

/** Applies the sessions received from the holder. */
export function applyKeptSessions(node: EntryNode, kept: KeptSessions): void {
  const known = keptSessionsOf(node, kept.order);
  for (const session of kept.sessions) known.received.add(session);
  known.listPosition = {incarnation: kept.from, count: kept.count};
  known.readySequence = Math.max(known.readySequence, kept.readySequence);
}
