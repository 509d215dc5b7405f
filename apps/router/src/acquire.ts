/**
 * Acquires an upstream for a request: at once, after a wait in the pool's fair
 * queue, or not at all.
 */
import {failure, type Failure} from '@parsleyarch/errors/failure';
import {
  countRequestsAhead,
  decideWait,
  enqueue,
  listInServingOrder,
  removeQueued,
  type PoolLoad,
} from '@parsleyarch/policy/admission';
import {
  canServe,
  chooseUpstream,
  type BalanceChoice,
  type UpstreamRequirements,
} from '@parsleyarch/policy/balance';
import {err, ok, type Result} from 'neverthrow';
import {recordDecision} from './decisions.js';
import {
  listLiveNodeNames,
  getQueue,
  type RunningRequest,
  type RouterNode,
  type UpstreamState,
} from './node.js';
import {startRunning, viewUpstreams} from './upstreams.js';

/** Retry-after time for a pool without an upstream that can serve it. */
const NO_UPSTREAM_RETRY_AFTER_MS = 2_000;
const DEFAULT_SERVICE_MS = 300;
/** Time in which a newly declared upstream sends its first load report. */
const FIRST_REPORT_MS = 1_000;

/** A request for an upstream. */
export interface AcquireRequest {
  readonly requirements: UpstreamRequirements;
  /** `version:<name>` or `service:<name>`. */
  readonly pool: string;
  readonly customer: string;
  readonly weight: number;
  readonly running: RunningRequest;
  /** Milliseconds until the deadline of the request. */
  readonly deadlineMs: number;
  readonly signal: AbortSignal;
  /** Called right before dispatch; returns why the request may not run now. */
  readonly checkAllowed: () => Failure | undefined;
}

/** An acquired upstream, with its incarnation at that time. */
export interface AcquiredUpstream {
  readonly upstream: UpstreamState;
  readonly incarnation: number;
}

function reserve(
  node: RouterNode,
  request: AcquireRequest,
  choice: BalanceChoice,
  candidates: readonly string[],
): AcquiredUpstream | undefined {
  const upstream = node.upstreams.get(choice.upstream);
  if (!upstream) return undefined;
  startRunning(node, upstream, request.running);
  recordDecision(node, {
    decision: 'upstream',
    requestId: request.running.requestId,
    candidates,
    choice: choice.upstream,
    reason: choice.reason,
    pool: request.pool,
  });
  return {upstream, incarnation: upstream.incarnation};
}

function tryAcquire(
  node: RouterNode,
  request: AcquireRequest,
): Result<AcquiredUpstream | undefined, Failure> {
  const refusal = request.checkAllowed();
  if (refusal) return err(refusal);
  const views = viewUpstreams(node);
  const choice = chooseUpstream(views, request.requirements, node.random);
  if (!choice) return ok(undefined);
  const candidates = views
    .filter(view => canServe(view, request.requirements))
    .map(view => view.name);
  return ok(reserve(node, request, choice, candidates));
}

function measureLoad(
  node: RouterNode,
  request: AcquireRequest,
): PoolLoad | undefined {
  const {requirements} = request;
  const capable = viewUpstreams(node).filter(
    view => canServe(view, requirements) && !requirements.avoid.has(view.name),
  );
  if (capable.length === 0) return undefined;
  const nodes = listLiveNodeNames(node).length;
  let credits = 0;
  let serviceMs = 0;
  // Under contention the allocator divides the limit equally, so this node can
  // get its equal part even if it holds fewer credits now.
  for (const {name, credits: held, limit} of capable) {
    credits += Math.max(held, limit / nodes);
    serviceMs += node.upstreams.get(name)?.serviceMs ?? DEFAULT_SERVICE_MS;
  }
  const queue = getQueue(node, request.pool);
  const requestsAhead = countRequestsAhead(
    queue,
    request.customer,
    request.weight,
  );
  return {
    requestsAhead,
    credits,
    serviceMs: serviceMs / capable.length,
  };
}

/** Waits in the pool's queue for a free upstream, for `waitMs` at most. */
function waitInQueue(
  node: RouterNode,
  request: AcquireRequest,
  waitMs: number,
): Promise<Result<AcquiredUpstream, Failure>> {
  const {requestId} = request.running;
  return new Promise(resolve => {
    const finish = (result: Result<AcquiredUpstream, Failure>) => {
      clearTimeout(timer);
      request.signal.removeEventListener('abort', stopWaiting);
      node.waiting.delete(requestId);
      node.queues.set(
        request.pool,
        removeQueued(getQueue(node, request.pool), requestId),
      );
      resolve(result);
    };
    const stopWaiting = () =>
      finish(
        err(
          failure('overloaded', 'no upstream became free in time', {
            retryAfterMs: waitMs,
          }),
        ),
      );
    const timer = setTimeout(stopWaiting, waitMs);
    request.signal.addEventListener('abort', stopWaiting);
    node.queues.set(
      request.pool,
      enqueue(
        getQueue(node, request.pool),
        requestId,
        request.customer,
        request.weight,
      ),
    );
    node.waiting.set(requestId, {
      pool: request.pool,
      retryAcquire: () => {
        const acquired = tryAcquire(node, request);
        if (acquired.isErr()) finish(err(acquired.error));
        else if (acquired.value) finish(ok(acquired.value));
      },
    });
    node.wakeCredits();
  });
}

/** Retries to acquire upstreams for the waiting requests, in the fair order of each pool. */
export function retryWaiting(node: RouterNode): void {
  for (const queue of [...node.queues.values()]) {
    for (const {id} of listInServingOrder(queue))
      node.waiting.get(id)?.retryAcquire();
  }
}

/** Time until upstreams of the pool that are newly declared should have reported. */
function firstReportWaitMs(
  node: RouterNode,
  {requirements}: AcquireRequest,
): number {
  let waitMs = 0;
  for (const view of viewUpstreams(node)) {
    const upstream = node.upstreams.get(view.name);
    if (!upstream || upstream.incarnation !== 0) continue;
    const reported = {...view, spec: upstream.spec, reachable: true};
    if (!canServe(reported, requirements)) continue;
    const dueAt = upstream.declaredAt + FIRST_REPORT_MS;
    waitMs = Math.max(waitMs, dueAt - node.clock());
  }
  return waitMs;
}

/**
 * Acquires an upstream. Fails at once if nothing can serve the pool, or if the
 * wait would be too long.
 */
export async function acquire(
  node: RouterNode,
  request: AcquireRequest,
): Promise<Result<AcquiredUpstream, Failure>> {
  if (getQueue(node, request.pool).requests.length === 0) {
    const acquired = tryAcquire(node, request);
    if (acquired.isErr()) return err(acquired.error);
    if (acquired.value) return ok(acquired.value);
  }
  const load = measureLoad(node, request);
  const reportWaitMs = load ? 0 : firstReportWaitMs(node, request);
  if (reportWaitMs > 0)
    return waitInQueue(
      node,
      request,
      Math.min(reportWaitMs, request.deadlineMs),
    );
  if (!load) {
    return err(
      failure('no-upstream', `no upstream can serve ${request.pool} now`, {
        retryAfterMs: NO_UPSTREAM_RETRY_AFTER_MS,
      }),
    );
  }
  const decision = decideWait(load, request.deadlineMs);
  if (decision.wait) return waitInQueue(node, request, decision.maxWaitMs);
  return err(
    failure(
      'overloaded',
      `${load.requestsAhead} requests wait for ${request.pool}`,
      {
        retryAfterMs: decision.retryAfterMs,
      },
    ),
  );
}
