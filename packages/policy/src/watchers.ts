/**
 * Selection of the nodes that watch the store directly. To limit calls to the
 * store, one node of each failure domain watches it and the others follow that
 * node; the calls then scale with the domains, not with the nodes. Pure
 * functions only.
 */

/** A registered node. */
export interface ListedNode {
  readonly name: string;
  readonly failureDomain: string;
}

/** Minimum number of watchers, so that one may fail. */
const MIN_WATCHER_COUNT = 2;

function byName(a: ListedNode, b: ListedNode): number {
  return a.name < b.name ? -1 : 1;
}

/** The first node of each failure domain by name, filled up to the minimum. */
export function listWatchers(nodes: Iterable<ListedNode>): ListedNode[] {
  const sorted = [...nodes].sort(byName);
  const domains = new Set<string>();
  const watchers: ListedNode[] = [];
  const others: ListedNode[] = [];
  for (const node of sorted) {
    const isFirst = !domains.has(node.failureDomain);
    domains.add(node.failureDomain);
    (isFirst ? watchers : others).push(node);
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

/** Puts the nodes in the failure domain of `self` before the others. */
export function orderByDomain(
  nodes: readonly ListedNode[],
  self: ListedNode,
): ListedNode[] {
  const isSameDomain = ({failureDomain}: ListedNode) =>
    failureDomain === self.failureDomain;
  const otherDomains = nodes.filter(node => !isSameDomain(node));
  return [...nodes.filter(isSameDomain), ...otherDomains];
}
