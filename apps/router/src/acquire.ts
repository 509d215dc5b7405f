/** Taking an upstream for a request: at once, after a fair wait, or not at all. */
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

/** When a caller should come back to a pool that nothing serves now. */
const NO_UPSTREAM_RETRY_MS = 2_000;
const DEFAULT_SERVICE_MS = 300;

/** What a request wants. */
export interface Wish {
  readonly need: UpstreamRequirements;
  /** Name of the pool: `version:<name>` or `service:<name>`. */
  readonly pool: string;
  readonly customer: string;
  readonly weight: number;
  readonly running: RunningRequest;
  /** Time left for the request, milliseconds. */
  readonly deadlineMs: number;
  readonly signal: AbortSignal;
  /** Checked right before dispatch: why the request may not run any more. */
  readonly objection: () => Failure | undefined;
}

/** An upstream that was taken, with its incarnation at that time. */
export interface Taken {
  readonly upstream: UpstreamState;
  readonly incarnation: number;
}

function take(
  node: RouterNode,
  wish: Wish,
  choice: BalanceChoice,
  candidates: readonly string[],
): Taken | undefined {
  const upstream = node.upstreams.get(choice.upstream);
  if (!upstream) return undefined;
  startRunning(node, upstream, wish.running);
  recordDecision(node, {
    decision: 'upstream',
    requestId: wish.running.requestId,
    candidates,
    choice: choice.upstream,
    reason: choice.reason,
    pool: wish.pool,
  });
  return {upstream, incarnation: upstream.incarnation};
}

function tryTake(
  node: RouterNode,
  wish: Wish,
): Result<Taken | undefined, Failure> {
  const objection = wish.objection();
  if (objection) return err(objection);
  const views = viewUpstreams(node);
  const choice = chooseUpstream(views, wish.need, node.random);
  if (!choice) return ok(undefined);
  const candidates = views
    .filter(view => canServe(view, wish.need))
    .map(view => view.name);
  return ok(take(node, wish, choice, candidates));
}

function paceOf(node: RouterNode, wish: Wish): PoolLoad | undefined {
  const {need} = wish;
  const fitting = viewUpstreams(node).filter(
    view => canServe(view, need) && !need.avoid.has(view.name),
  );
  if (fitting.length === 0) return undefined;
  const nodes = listLiveNodeNames(node).length;
  let credits = 0;
  let serviceMs = 0;
  for (const {name, credits: held, limit} of fitting) {
    credits += Math.max(held, limit / nodes);
    serviceMs += node.upstreams.get(name)?.serviceMs ?? DEFAULT_SERVICE_MS;
  }
  const queue = getQueue(node, wish.pool);
  const requestsAhead = countRequestsAhead(queue, wish.customer, wish.weight);
  return {
    requestsAhead,
    credits,
    serviceMs: serviceMs / fitting.length,
  };
}

/** Waits in the pool's queue until an upstream is free or time is up. */
function waitFor(
  node: RouterNode,
  wish: Wish,
  waitMs: number,
): Promise<Result<Taken, Failure>> {
  const {requestId} = wish.running;
  return new Promise(resolve => {
    const leave = (result: Result<Taken, Failure>) => {
      clearTimeout(timer);
      wish.signal.removeEventListener('abort', giveUp);
      node.waiting.delete(requestId);
      node.queues.set(
        wish.pool,
        removeQueued(getQueue(node, wish.pool), requestId),
      );
      resolve(result);
    };
    const giveUp = () =>
      leave(
        err(
          failure('overloaded', 'no upstream became free in time', {
            retryAfterMs: waitMs,
          }),
        ),
      );
    const timer = setTimeout(giveUp, waitMs);
    wish.signal.addEventListener('abort', giveUp);
    node.queues.set(
      wish.pool,
      enqueue(getQueue(node, wish.pool), requestId, wish.customer, wish.weight),
    );
    node.waiting.set(requestId, {
      pool: wish.pool,
      tryNow: () => {
        const taken = tryTake(node, wish);
        if (taken.isErr()) leave(err(taken.error));
        else if (taken.value) leave(ok(taken.value));
      },
    });
    node.wakeCredits();
  });
}

/** Lets the requests that wait try again, each pool in its fair order. */
export function serveWaiting(node: RouterNode): void {
  for (const queue of [...node.queues.values()]) {
    for (const {id} of listInServingOrder(queue))
      node.waiting.get(id)?.tryNow();
  }
}

/** Takes an upstream, or says at once why there is none. */
export async function acquire(
  node: RouterNode,
  wish: Wish,
): Promise<Result<Taken, Failure>> {
  if (getQueue(node, wish.pool).requests.length === 0) {
    const taken = tryTake(node, wish);
    if (taken.isErr()) return err(taken.error);
    if (taken.value) return ok(taken.value);
  }
  const pace = paceOf(node, wish);
  if (!pace) {
    return err(
      failure('no-upstream', `nothing serves ${wish.pool} now`, {
        retryAfterMs: NO_UPSTREAM_RETRY_MS,
      }),
    );
  }
  const decision = decideWait(pace, wish.deadlineMs);
  if (decision.wait) return waitFor(node, wish, decision.maxWaitMs);
  return err(
    failure(
      'overloaded',
      `${pace.requestsAhead} requests wait for ${wish.pool}`,
      {
        retryAfterMs: decision.retryAfterMs,
      },
    ),
  );
}
