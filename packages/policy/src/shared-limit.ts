/**
 * Keeps the sends of all nodes to one upstream within a limit that it names,
 * without messages between the nodes: a few holders, which all nodes rank alike,
 * have an equal share each, and the others send nothing. Meant for limits far
 * below the usual load, where an equal share of every node would be too small to
 * use. Pure functions only.
 */

/**
 * Least limit that is used, requests per second. An upstream that gets nothing
 * could never say that its limit has ended.
 */
const MIN_LIMIT_PER_SECOND = 0.2;

/** Holders in addition to one for each request per second. */
const ADDITIONAL_HOLDER_COUNT = 2;

/** Sends that a holder may save up for a burst. */
const MAX_SAVED_SENDS = 1;

/**
 * Sends that one node may make now. The number of holders bounds the burst of
 * all of them together.
 */
export interface ShareBucket {
  savedSends: number;
  /** Rate of the share when it was last counted, sends per second. */
  perSecond: number;
  /** When it was last counted, monotonic milliseconds. */
  countedAt: number;
}

/** Creates the bucket of a node that has no share yet. */
export function createShareBucket(now: number): ShareBucket {
  return {savedSends: 0, perSecond: 0, countedAt: now};
}

/** Number of nodes that share a limit. */
export function countHolders(
  limitPerSecond: number,
  memberCount: number,
): number {
  const holders = Math.floor(limitPerSecond) + ADDITIONAL_HOLDER_COUNT;
  return Math.max(1, Math.min(memberCount, holders));
}

/** Sends per second of the node with a rank among all members; 0 is the first. */
export function shareOfLimit(
  limitPerSecond: number,
  rank: number,
  memberCount: number,
): number {
  const usedLimit = Math.max(MIN_LIMIT_PER_SECOND, limitPerSecond);
  const holders = countHolders(usedLimit, memberCount);
  return rank < holders ? usedLimit / holders : 0;
}

function countSaved(
  bucket: ShareBucket,
  perSecond: number,
  now: number,
): number {
  // A node that becomes a holder starts without savings, as its predecessor may
  // have just used its own.
  if (perSecond === 0 || bucket.perSecond === 0) return 0;
  const seconds = (now - bucket.countedAt) / 1_000;
  const added = bucket.perSecond * seconds;
  return Math.min(MAX_SAVED_SENDS, bucket.savedSends + added);
}

/** Time until the next send is allowed, milliseconds; 0 if one is allowed now. */
export function timeUntilSend(
  bucket: ShareBucket,
  perSecond: number,
  now: number,
): number {
  bucket.savedSends = countSaved(bucket, perSecond, now);
  bucket.perSecond = perSecond;
  bucket.countedAt = now;
  if (bucket.savedSends >= 1) return 0;
  return (1_000 * (1 - bucket.savedSends)) / perSecond;
}

/** Counts a send, also one that was not allowed. */
export function consumeSend(bucket: ShareBucket): void {
  bucket.savedSends -= 1;
}
