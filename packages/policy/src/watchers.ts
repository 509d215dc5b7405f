/**
 * Selection of the nodes that watch the store directly. To limit calls to the
 * store, one node of each failure domain watches it and the others follow that
 * node; large domains have further ones, so that the load of a watcher does not
 * grow with the deployment. Small nodes come last where larger ones exist, as a watcher
 * and a collector of load need processor time of their own. Pure functions only.
 */
import {hashName} from './rendezvous.js';

/** A registered node. */
export interface ListedNode {
  readonly name: string;
  readonly failureDomain: string;
  /** Cores that it may use; absent if unknown or at an earlier release. */
  readonly cores?: number;
}

/** Minimum number of watchers, so that one may fail. */
const MIN_WATCHER_COUNT = 2;
/** Nodes of a failure domain for which one watcher is enough. */
const MAX_NODES_PER_WATCHER = 40;
/** Share of the largest node's cores below which a node is small. */
const SMALL_RATIO = 0.5;

function byName(a: ListedNode, b: ListedNode): number {
  return a.name < b.name ? -1 : 1;
}

/**
 * Orders nodes for roles that serve the others: by name, the small ones last. All nodes
 * must agree, so that one whose cores are not known makes the order that of the names.
 */
export function orderForRoles<N extends ListedNode>(nodes: Iterable<N>): N[] {
  const sorted = [...nodes].sort(byName);
  const cores = sorted.map(node => node.cores ?? 0);
  if (cores.includes(0)) return sorted;
  const least = Math.max(...cores) * SMALL_RATIO;
  const isSmall = (node: N) => (node.cores ?? 0) < least;
  return [...sorted.filter(node => !isSmall(node)), ...sorted.filter(isSmall)];
}

function countByDomain(nodes: readonly ListedNode[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const {failureDomain} of nodes)
    counts.set(failureDomain, (counts.get(failureDomain) ?? 0) + 1);
  return counts;
}

/** The first nodes of each failure domain, filled up to the minimum. */
export function listWatchers(nodes: Iterable<ListedNode>): ListedNode[] {
  const sorted = orderForRoles(nodes);
  const sizes = countByDomain(sorted);
  const chosen = new Map<string, number>();
  const watchers: ListedNode[] = [];
  const others: ListedNode[] = [];
  for (const node of sorted) {
    const {failureDomain} = node;
    const count = chosen.get(failureDomain) ?? 0;
    const isWatcher = count * MAX_NODES_PER_WATCHER < sizes.get(failureDomain)!;
    if (isWatcher) chosen.set(failureDomain, count + 1);
    (isWatcher ? watchers : others).push(node);
  }
  const missing = Math.max(0, MIN_WATCHER_COUNT - watchers.length);
  return [...watchers, ...others.slice(0, missing)];
}

/**
 * Names of the watchers that a node may follow, those of its own failure domain
 * first; empty if the node itself watches the store.
 */
export function listSources(
  nodes: Iterable<ListedNode>,
  self: ListedNode,
): string[] {
  const watchers = listWatchers(nodes);
  if (watchers.some(({name}) => name === self.name)) return [];
  return orderByDomain(watchers, self).map(({name}) => name);
}

/**
 * Puts the nodes in the failure domain of `self` before the others. Nodes begin with
 * different ones of their domain, so that these share the load.
 */
export function orderByDomain(
  nodes: readonly ListedNode[],
  self: ListedNode,
): ListedNode[] {
  const isSameDomain = ({failureDomain}: ListedNode) =>
    failureDomain === self.failureDomain;
  const otherDomains = nodes.filter(node => !isSameDomain(node));
  const own = nodes.filter(isSameDomain);
  const first = own.length > 0 ? (hashName(self.name) >>> 0) % own.length : 0;
  return [...own.slice(first), ...own.slice(0, first), ...otherDomains];
}
