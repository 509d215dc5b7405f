/**
 * Whether a node has lost its connections to upstreams that other nodes may still
 * reach, and which node serves its requests meanwhile. Meant for partitions of
 * single nodes or whole failure domains; a node that misses some upstreams only
 * uses the others. Pure functions only.
 */

/** The latest connections to one upstream, monotonic milliseconds. */
export interface ConnectionTimes {
  /** When a connection was last established; `-Infinity` if never. */
  readonly connectedAt: number;
  /** When the last connection that failed began; `-Infinity` if none has. */
  readonly failedAt: number;
}

/**
 * Upstreams whose connections must have failed although they began after the latest
 * connection to any of them; fewer may have ended.
 */
const MIN_FAILED_COUNT = 3;

/** Whether connections to a group of upstreams fail. */
export function areUnreachable(upstreams: readonly ConnectionTimes[]): boolean {
  if (upstreams.length === 0) return false;
  const connectedAt = Math.max(...upstreams.map(times => times.connectedAt));
  const failed = upstreams.filter(({failedAt}) => failedAt > connectedAt);
  return failed.length >= Math.min(MIN_FAILED_COUNT, upstreams.length);
}

/** A node that may serve requests for others. */
export interface DelegateCandidate {
  readonly failureDomain: string;
}

/** Draws a delegate, in the failure domain of the request's node if possible. */
export function chooseDelegate<C extends DelegateCandidate>(
  candidates: readonly C[],
  failureDomain: string,
  random: () => number,
): C | undefined {
  const near = candidates.filter(
    candidate => candidate.failureDomain === failureDomain,
  );
  const drawn = near.length > 0 ? near : candidates;
  return drawn[Math.floor(random() * drawn.length)];
}
