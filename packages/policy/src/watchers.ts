/**
 * Which nodes watch the store themselves. Each call to the store counts, so one
 * node of each failure domain watches and the others follow it; calls then grow
 * with the domains and not with the nodes. Pure functions only.
 */

/** A registered node. */
export interface ListedNode {
  readonly name: string;
  readonly failureDomain: string;
}

/** Watchers that there are at least, so that one may fail. */
const MIN_WATCHERS = 2;

function byName(a: ListedNode, b: ListedNode): number {
  return a.name < b.name ? -1 : 1;
}

/** The first node of each failure domain by name, and more where these are few. */
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
  const missing = Math.max(0, MIN_WATCHERS - watchers.length);
  return [...watchers, ...others.slice(0, missing)];
}

/**
 * Nodes that a node may follow, those of its own failure domain first; none
 * when it watches itself.
 */
export function listSources(
  nodes: Iterable<ListedNode>,
  self: ListedNode,
): string[] {
  const watchers = listWatchers(nodes);
  if (watchers.some(({name}) => name === self.name)) return [];
  const isNear = ({failureDomain}: ListedNode) =>
    failureDomain === self.failureDomain;
  const near = watchers.filter(isNear);
  const far = watchers.filter(node => !isNear(node));
  return [...near, ...far].map(({name}) => name);
}
