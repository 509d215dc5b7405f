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

/**
 * Sends that all holders together may save up for bursts, in addition to those of a
 * second.
 */
const ADDITIONAL_SAVED_SENDS = 2;

/** What one node may send. */
export interface LimitShare {
  readonly perSecond: number;
  /** Sends that it may save up for a burst; one at least. */
  readonly burst: number;
}

/** Sends that one node may make now. */
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

/** Sends that the holders of a limit may save up together. */
function countSavedByAll(limitPerSecond: number): number {
  return Math.floor(limitPerSecond) + ADDITIONAL_SAVED_SENDS;
}

/** Number of nodes that share a limit; each saves up one send at least. */
export function countHolders(
  limitPerSecond: number,
  memberCount: number,
): number {
  return Math.max(1, Math.min(memberCount, countSavedByAll(limitPerSecond)));
}

/** The share of the node with a rank among all members; 0 is the first. */
export function shareOfLimit(
  limitPerSecond: number,
  rank: number,
  memberCount: number,
): LimitShare {
  const usedLimit = Math.max(MIN_LIMIT_PER_SECOND, limitPerSecond);
  const holders = countHolders(usedLimit, memberCount);
  const burst = Math.floor(countSavedByAll(usedLimit) / holders);
  return {perSecond: rank < holders ? usedLimit / holders : 0, burst};
}

function countSaved(
  bucket: ShareBucket,
  {perSecond, burst}: LimitShare,
  now: number,
): number {
  // A node that becomes a holder starts without savings, as its predecessor may
  // have just used its own.
  if (perSecond === 0 || bucket.perSecond === 0) return 0;
  const seconds = (now - bucket.countedAt) / 1_000;
  const added = bucket.perSecond * seconds;
  return Math.min(burst, bucket.savedSends + added);
}

/** Time until the next send is allowed, milliseconds; 0 if one is allowed now. */
export function timeUntilSend(
  bucket: ShareBucket,
  share: LimitShare,
  now: number,
): number {
  const {perSecond} = share;
  bucket.savedSends = countSaved(bucket, share, now);
  bucket.perSecond = perSecond;
  bucket.countedAt = now;
  if (bucket.savedSends >= 1) return 0;
  return (1_000 * (1 - bucket.savedSends)) / perSecond;
}

/** Counts a send, also one that was not allowed. */
export function consumeSend(bucket: ShareBucket): void {
  bucket.savedSends -= 1;
}
