/**
 * Order in which requests that wait at a node get room at upstreams. It counts when a
 * service has less room than requests: in bursts, and while upstreams are away.
 *
 * Answers that can still be in time go before others, and more urgent classes of priority
 * before less urgent ones. Within a class customers share the room by weight (start-time
 * fair queueing), and of equal ones the request with the least time left goes first. So
 * that none starves, a part of the room is shared by customers alone, longest wait first.
 */
/** Of this many requests that get room, one gets it whatever its priority. */
const AGED_GRANT_INTERVAL = 4;

/** A request that waits; times in monotonic milliseconds. */
export interface WaitingRequest {
  /** Class of priority; 0 is the most urgent. */
  readonly priorityClass: number;
  /** Customer whose share it uses; empty if callers need no keys. */
  readonly customer: string;
  readonly joinedAt: number;
  /** When its latency objective passes. */
  readonly objectiveAt: number;
  /** Until when it may wait. */
  readonly leavesAt: number;
}

/** Requests that wait for the upstreams of one service. */
export interface WaitingLine<R extends WaitingRequest> {
  /** Virtual start time of each request. */
  readonly starts: Map<R, number>;
  /** Virtual time at which the next request of a customer starts. */
  readonly nextStarts: Map<string, number>;
  /** Latest virtual start time of a request that got room. */
  virtualTime: number;
  /** Requests that got room since the line was last empty. */
  grants: number;
}

export function createLine<R extends WaitingRequest>(): WaitingLine<R> {
  return {starts: new Map(), nextStarts: new Map(), virtualTime: 0, grants: 0};
}

/** Adds a request; customers get room in proportion to their weights. */
export function joinLine<R extends WaitingRequest>(
  line: WaitingLine<R>,
  request: R,
  weight = 1,
): void {
  const {customer} = request;
  const next = line.nextStarts.get(customer) ?? 0;
  const start = Math.max(line.virtualTime, next);
  line.starts.set(request, start);
  line.nextStarts.set(customer, start + 1 / weight);
}

/** Removes a request that gets room, has waited long enough or whose caller has left. */
export function leaveLine<R extends WaitingRequest>(
  line: WaitingLine<R>,
  request: R,
  gotRoom: boolean,
): void {
  const start = line.starts.get(request);
  if (start === undefined) return;
  line.starts.delete(request);
  if (gotRoom) {
    line.virtualTime = Math.max(line.virtualTime, start);
    line.grants += 1;
  }
  if (line.starts.size > 0) return;
  line.nextStarts.clear();
  line.virtualTime = 0;
  line.grants = 0;
}

function compareByShare(
  starts: ReadonlyMap<WaitingRequest, number>,
  a: WaitingRequest,
  b: WaitingRequest,
): number {
  const startOf = (request: WaitingRequest) => starts.get(request) ?? 0;
  return startOf(a) - startOf(b) || a.objectiveAt - b.objectiveAt;
}

/** Lists the waiting requests, first to get room first. */
export function listInOrder<R extends WaitingRequest>(
  {starts, grants}: WaitingLine<R>,
  now: number,
): R[] {
  const requests = [...starts.keys()];
  if (grants % AGED_GRANT_INTERVAL === AGED_GRANT_INTERVAL - 1)
    return requests.sort((a, b) => compareByShare(starts, a, b));
  const isLate = ({objectiveAt}: R) => (now > objectiveAt ? 1 : 0);
  return requests.sort(
    (a, b) =>
      isLate(a) - isLate(b) ||
      a.priorityClass - b.priorityClass ||
      compareByShare(starts, a, b),
  );
}
