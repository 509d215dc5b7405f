/**
 * The store may come back from a copy that lacks the latest writes. Its era then
 * rises by one. Operators and upstreams write their entries again, so what this
 * node knows is kept for some time; the router's own entries are put back by the
 * modules that own them.
 */
import type {EntryNode} from './node.js';

/** Time in which operators and other nodes write again what the copy lacks. */
const REWRITE_MS = 6_000;

function recordRestoration(node: EntryNode, era: number): void {
  node.log.warn({from: node.feed.era, to: era}, 'store restored from a copy');
  node.metrics.restorations.inc();
  node.restoredAt = node.clock();
  // Entries of upstreams may be missing, as after an outage.
  node.storeReturnedAt = node.restoredAt;
}

/** Called before the first items of an era are applied. */
export function updateEra(node: EntryNode, era: number): void {
  const {feed} = node;
  if (feed.revision === undefined || era <= feed.era) return;
  recordRestoration(node, era);
}

/** Whether entries may be missing only because the store was restored. */
export function isRestoring(node: EntryNode): boolean {
  return node.clock() - node.restoredAt < REWRITE_MS;
}

/**
 * Removes what belongs to a key that a full read lacks; after a restoration,
 * only if the key is still missing once it should have been written again.
 */
export function removeMissing(
  node: EntryNode,
  key: string,
  remove: () => void,
): void {
  if (!isRestoring(node)) return remove();
  const removeIfMissing = () => {
    if (!node.feed.items.has(key)) remove();
  };
  setTimeout(removeIfMissing, REWRITE_MS).unref();
}

/** Latest era of the store that this node has seen, in calls or from other nodes. */
export function knownEra({keyspace, feed}: EntryNode): number {
  return Math.max(keyspace.era, feed.era);
}
