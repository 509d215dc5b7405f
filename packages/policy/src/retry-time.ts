/**
 * When a caller that is refused should come back. Refusals come in crowds, in overload
 * and when a service has lost its upstreams; callers that come back together would be
 * refused together.
 */

/** Least time after which to retry, milliseconds. */
const MIN_RETRY_MS = 100;
/** Time between the retries of two callers of a crowd, milliseconds. */
const RETRY_GAP_MS = 20;
/** Callers that may come back at the same time. */
const UNSPREAD_COUNT = 4;
/** Time over which retries are spread at most: in any case, and as part of the wait. */
const MAX_SPREAD_MS = 200;
const MAX_SPREAD_RATIO = 0.5;
/** Part of the time left up to which callers follow the time that they are told. */
const FOLLOWED_RATIO = 1 / 3;
/** Least part of that time after which to retry if it is not known when there is room. */
const UNKNOWN_ROOM_RATIO = 0.5;

/** A request that is refused; times in milliseconds. */
export interface RefusedRequest {
  /**
   * Time until there is expected to be room; `undefined` if nothing is known that
   * would make room.
   */
  readonly roomMs?: number;
  /** Time that its caller has left. */
  readonly leftMs: number;
  /** Requests for the same service that all nodes have lately refused, about. */
  readonly crowd: number;
}

/** Time after which to retry, milliseconds; `draw` is in [0, 1). */
export function computeRetryMs(
  {roomMs, leftMs, crowd}: RefusedRequest,
  draw: number,
): number {
  if (roomMs === undefined) {
    // The later one comes back, the likelier something has changed.
    const ratio = UNKNOWN_ROOM_RATIO + draw * (1 - UNKNOWN_ROOM_RATIO);
    const followedMs = Math.max(0, leftMs) * FOLLOWED_RATIO;
    return Math.max(MIN_RETRY_MS, followedMs * ratio);
  }
  const spreadMs = Math.min(
    Math.max(0, crowd - UNSPREAD_COUNT) * RETRY_GAP_MS,
    Math.max(MAX_SPREAD_MS, roomMs * MAX_SPREAD_RATIO),
  );
  return Math.max(MIN_RETRY_MS, roomMs) + draw * spreadMs;
}
