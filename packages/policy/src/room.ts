/**
 * Whether a request is sent now, is held back at the node or is refused, by the wait that
 * is predicted at the upstreams. It counts when all upstreams of a service have more
 * requests than places: what is sent there cannot be taken back, and at a plain service
 * it delays more urgent requests that come later.
 */

/** What is known of one upstream. */
export interface UpstreamRoom {
  /** Requests of all nodes that it has, as far as known. */
  readonly placed: number;
  /** Requests that it runs at the same time. */
  readonly slots: number;
  /** Time to work off what it has, milliseconds. */
  readonly backlogMs: number;
}

/** Predicted wait for a place at an upstream, milliseconds; 0 if one is free. */
export function predictWaitMs({
  placed,
  slots,
  backlogMs,
}: UpstreamRoom): number {
  return placed < Math.max(1, slots) ? 0 : Math.max(0, backlogMs);
}

/** Time in which a plain upstream works off the requests beyond its slots. */
export function queueMs(
  placed: number,
  slots: number,
  serviceMs: number,
): number {
  const places = Math.max(1, slots);
  return (Math.max(0, placed - places + 1) * serviceMs) / places;
}

export const Admission = {
  send: 'send',
  hold: 'hold',
  refuse: 'refuse',
} as const;
export type Admission = (typeof Admission)[keyof typeof Admission];

/** A request for which no upstream has a free place; times in milliseconds. */
export interface CrowdedRequest {
  /** Least predicted wait at the upstreams that it may use. */
  readonly waitMs: number;
  /** Time left to its latency objective; negative once it has passed. */
  readonly untilObjectiveMs: number;
  /** Time left until its caller leaves. */
  readonly untilLeaveMs: number;
  /** Whether more urgent requests have lately used the same upstreams. */
  readonly competes: boolean;
}

/**
 * A request is held back for more urgent ones if it would be late in any case, and sent
 * in time to be answered before its caller leaves. One that could only be answered after
 * its caller has left is refused.
 */
export function admit(request: CrowdedRequest): Admission {
  const {waitMs, untilObjectiveMs, untilLeaveMs, competes} = request;
  if (waitMs <= 0) return Admission.send;
  if (waitMs >= untilLeaveMs) return Admission.refuse;
  const isLate = waitMs > untilObjectiveMs;
  // Twice the wait: what comes meanwhile may take as long again.
  return competes && isLate && untilLeaveMs > waitMs * 2
    ? Admission.hold
    : Admission.send;
}

/** Time for which a class of priority counts as present after a request, milliseconds. */
const CLASS_PRESENT_MS = 1_000;

/** When the latest request of each class of priority arrived. */
export type ClassArrivals = Map<number, number>;

/** Whether requests more urgent than a class have arrived lately. */
export function hasMoreUrgent(
  arrivals: ClassArrivals,
  priorityClass: number,
  now: number,
): boolean {
  for (const [other, at] of arrivals) {
    if (other < priorityClass && now - at < CLASS_PRESENT_MS) return true;
  }
  return false;
}
