/**
 * Who adds up the load of all nodes, and how often nodes report it. In a small
 * deployment one collector adds up everything, so that sums are young. In a large
 * one each failure domain has a collector and these exchange the sums of their
 * groups, so that no node gets calls from all others. Reports are rarer there, as
 * a node receives fewer requests between two of them. Pure functions only.
 */
import {
  listWatchers,
  orderByDomain,
  orderForRoles,
  type ListedNode,
} from './watchers.js';

/** Largest number of nodes with a single collector. */
const MAX_SINGLE_COLLECTOR_NODES = 20;

/** Shortest and longest time between two reports, milliseconds. */
const MIN_SHARE_INTERVAL_MS = 100;
const MAX_SHARE_INTERVAL_MS = 400;
const SHARE_INTERVAL_PER_NODE_MS = 10;

/**
 * Names of the nodes that may add up load, in the order in which `self` prefers
 * them. In a small deployment these are all nodes, and the first one does so.
 */
export function listCollectors(
  nodes: readonly ListedNode[],
  self: ListedNode,
): string[] {
  if (!hasGroups(nodes.length))
    return orderForRoles(nodes).map(({name}) => name);
  return orderByDomain(listWatchers(nodes), self).map(({name}) => name);
}

/** Whether collectors add up a group each and exchange the sums. */
export function hasGroups(nodeCount: number): boolean {
  return nodeCount > MAX_SINGLE_COLLECTOR_NODES;
}

/** Time between two reports of load, milliseconds. */
export function shareIntervalMs(nodeCount: number): number {
  return Math.min(
    MAX_SHARE_INTERVAL_MS,
    Math.max(MIN_SHARE_INTERVAL_MS, nodeCount * SHARE_INTERVAL_PER_NODE_MS),
  );
}
