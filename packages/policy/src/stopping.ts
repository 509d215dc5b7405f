/**
 * Which requests a node that is being stopped still sends to upstreams. Answers the load
 * of a planned stop: callers that the balancer has not moved yet, and requests that were
 * accepted before and are sent late, as their bodies, other upstreams or larger models
 * took time. A refused caller reaches another node at once; one that is cut off at the
 * end of the grace period may not send its request again.
 */

/** A planned stop that has begun; monotonic milliseconds. */
export interface Stop {
  /** When the balancer has noticed; new requests are refused from then on. */
  readonly refusesFrom: number;
  /** When the answers that are not complete are given up. */
  readonly endsAt: number;
}

/** A request that would be sent to an upstream now. */
export interface SendWhileStopping {
  readonly deadlineAt: number;
  /** Whether the caller has received a part of the answer. */
  readonly hasBegun: boolean;
}

/** Whether new requests are refused. */
export function isRefusing(stop: Stop | undefined, now: number): boolean {
  return stop !== undefined && now >= stop.refusesFrom;
}

/** Whether a request may be sent: it gets its answer, or its deadline, in time. */
export function maySendWhileStopping(
  stop: Stop | undefined,
  now: number,
  {deadlineAt, hasBegun}: SendWhileStopping,
): boolean {
  if (!stop || hasBegun || !isRefusing(stop, now)) return true;
  return deadlineAt <= stop.endsAt;
}
