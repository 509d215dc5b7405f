/**
 * Sessions that stay on the old version although their bucket is among the
 * canary's. A session's requests may come to different nodes, so a node uses a
 * wider share only once all nodes have told of the sessions that they know.
 */
import type {KeptSessions, RolloutReport} from '@parsleyarch/peer/messages';
import type {EntryNode, KnownOrder} from './node.js';

/** Time after which a share is used though some node has not told. */
const READY_TIMEOUT_MS = 2_500;

/** What a node knows of the sessions that one order leaves alone. */
export interface KeptKnowledge {
  /** Sessions that this node has seen itself. */
  readonly seen: Set<string>;
  /** Sessions of all nodes, in the holder's order. */
  readonly told: Set<string>;
  /** The holder whose list `told` follows, and how far. */
  from: {incarnation: string; count: number};
  /** Sequence of the newest plan of which every node has told. */
  readySequence: number;
}

/** The merged list of an order, at the holder. */
export interface MergedSessions {
  readonly list: string[];
  readonly known: Set<string>;
}

/** What is known of an order's sessions. */
export function keptOf(node: EntryNode, order: number): KeptKnowledge {
  const known = node.versions.kept.get(order);
  if (known) return known;
  const created: KeptKnowledge = {
    seen: new Set(),
    told: new Set(),
    from: {incarnation: '', count: 0},
    readySequence: 0,
  };
  node.versions.kept.set(order, created);
  return created;
}

/** Whether a session stays on the old version during the canary. */
export function isKept(
  node: EntryNode,
  order: number,
  session: string,
): boolean {
  const {seen, told} = keptOf(node, order);
  return seen.has(session) || told.has(session);
}

/** Whether the share of the present plan may be used by this node. */
export function isShareReady(node: EntryNode, order: KnownOrder): boolean {
  const known = node.versions.plans.get(order.service);
  if (!known) return false;
  if (node.clock() - known.seenAt > READY_TIMEOUT_MS) return true;
  return keptOf(node, order.revision).readySequence >= known.plan.sequence;
}

/** Merges what nodes report and answers each with what it does not know yet. */
export function mergeKept(
  node: EntryNode,
  report: RolloutReport,
  readySequence: number,
): KeptSessions {
  const {merged} = node.holding;
  const {list, known} = merged.get(report.order) ?? {
    list: [],
    known: new Set(),
  };
  merged.set(report.order, {list, known});
  for (const session of report.keptSessions) {
    if (known.has(session)) continue;
    known.add(session);
    list.push(session);
  }
  const follows = report.keptFrom === node.incarnation;
  return {
    service: report.service,
    order: report.order,
    sessions: list.slice(follows ? report.keptCount : 0),
    from: node.incarnation,
    count: list.length,
    readySequence,
  };
}

/** Takes what the holder tells of an order's sessions. */
export function takeKept(node: EntryNode, kept: KeptSessions): void {
  const known = keptOf(node, kept.order);
  for (const session of kept.sessions) known.told.add(session);
  known.from = {incarnation: kept.from, count: kept.count};
  known.readySequence = Math.max(known.readySequence, kept.readySequence);
}
