/**
 * Who adds up the load of all nodes, and how often nodes report it. In a small
 * deployment one collector adds up everything, so that sums are young. In a large
 * one each failure domain has a collector and these exchange the sums of their
 * groups, so that no node gets calls from all others. Reports are rarer there, as
 * a node receives fewer requests between two of them. Pure functions only.
 */
import {listWatchers, orderByDomain, type ListedNode} from './watchers.js';

/** Largest number of nodes with a single collector. */
const MAX_SINGLE_COLLECTOR_NODES = 20;

/** Shortest and longest time between two reports, milliseconds. */
const MIN_SHARE_INTERVAL_MS = 100;
const MAX_SHARE_INTERVAL_MS = 400;
const SHARE_INTERVAL_PER_NODE_MS = 10;

/** Shortest and longest time between reports on a roll-out, milliseconds. */
const MIN_CONSULT_INTERVAL_MS = 400;
const MAX_CONSULT_INTERVAL_MS = 1_500;
const CONSULT_INTERVAL_PER_NODE_MS = 8;

/**
 * Names of the nodes that may add up load, in the order in which `self` prefers
 * them. In a small deployment these are all nodes, and the first one does so.
 */
export function listCollectors(
  nodes: readonly ListedNode[],
  self: ListedNode,
): string[] {
  if (!hasGroups(nodes.length)) return nodes.map(({name}) => name).sort();
  return orderByDomain(listWatchers(nodes), self).map(({name}) => name);
}

/** Whether collectors add up a group each and exchange the sums. */
export function hasGroups(nodeCount: number): boolean {
  return nodeCount > MAX_SINGLE_COLLECTOR_NODES;
}

function clamp(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}

/** Time between two reports of load, milliseconds. */
export function shareIntervalMs(nodeCount: number): number {
  return clamp(
    nodeCount * SHARE_INTERVAL_PER_NODE_MS,
    MIN_SHARE_INTERVAL_MS,
    MAX_SHARE_INTERVAL_MS,
  );
}

/** Missed reports after which a node counts as out of touch with the holder. */
const MISSED_REPORTS = 3;
/** Shortest time for that, milliseconds; a new holder is found within it. */
const MIN_OUT_OF_TOUCH_MS = 3_000;

/**
 * Time without an answer of the holder after which a node assigns no new sessions
 * to a version that is being rolled out: its counts may not reach a decision.
 */
export function outOfTouchMs(nodeCount: number): number {
  return Math.max(
    MIN_OUT_OF_TOUCH_MS,
    consultIntervalMs(nodeCount) * MISSED_REPORTS,
  );
}

/** Time between two reports on roll-outs to their holder, milliseconds. */
export function consultIntervalMs(nodeCount: number): number {
  return clamp(
    nodeCount * CONSULT_INTERVAL_PER_NODE_MS,
    MIN_CONSULT_INTERVAL_MS,
    MAX_CONSULT_INTERVAL_MS,
  );
}
