/** Decides whether a request may be sent again. */
import {
  allowsLargerModel,
  countFirstSend,
  createRetryWindow,
  retriesLeft,
  consumeRetry,
  returnRetry,
  type RetryWindow,
} from '@parsleyarch/policy/retry-window';
import {countRuns, findRunDenial} from '@parsleyarch/policy/runs';
import {maySendWhileStopping} from '@parsleyarch/policy/stopping';
import {findCrashDenial} from './culprits.js';
import type {Exchange} from './exchange.js';
import {hasUntriedUpstream} from './exclusions.js';
import type {EntryNode} from './node.js';

/** Refused sends allowed beyond the attempts of the route. */
const MAX_REFUSED_SEND_COUNT = 3;
/** Fractions of the configured retry ratio and slack that are used. */
const RETRY_RATIO_SAFETY_RATIO = 0.92;
const RETRY_SLACK_SAFETY_RATIO = 0.7;

function getRetryWindow(node: EntryNode, service: string): RetryWindow {
  const known = node.retries.get(service);
  if (known) return known;
  const {ratio, windowSeconds, slack} = node.settings.retries;
  // Nodes share the slack; the factor leaves some for nodes not known yet.
  const window = createRetryWindow({
    windowMs: windowSeconds * 1_000,
    ratio: ratio * RETRY_RATIO_SAFETY_RATIO,
    slack:
      (slack * RETRY_SLACK_SAFETY_RATIO) / Math.max(1, node.peakMemberCount),
  });
  node.retries.set(service, window);
  return window;
}

/** Whether an upstream may have run the request. */
export function mayHaveRun(exchange: Exchange): boolean {
  return countRuns(exchange.runs) > 0;
}

/** Counts a send in the retry budget; returns the reason if the budget forbids it. */
function countSend(node: EntryNode, exchange: Exchange): string | undefined {
  const {sends, route} = exchange;
  const window = getRetryWindow(node, exchange.service);
  const now = node.clock();
  exchange.retryCountedAt = undefined;
  if (sends === 0) {
    countFirstSend(window, now);
    return undefined;
  }
  if (sends >= route.maxAttempts + MAX_REFUSED_SEND_COUNT)
    return 'too many sends refused';
  // The budget counts arrivals beyond the first one of a request.
  if (exchange.arrivals === 0) return undefined;
  if (!consumeRetry(window, now)) return 'retry budget used up';
  exchange.retryCountedAt = now;
  return undefined;
}

/** Whether a planned stop leaves time to send the request, or a part of it again. */
export function hasTimeBeforeStop(
  node: EntryNode,
  {deadlineAt, response}: Exchange,
): boolean {
  const hasBegun = response.headersSent;
  return maySendWhileStopping(node.stop, node.clock(), {deadlineAt, hasBegun});
}

/**
 * Counts a send in the retry budget if the request may be sent; otherwise returns the
 * reason why not.
 */
export function reserveSend(
  node: EntryNode,
  exchange: Exchange,
): string | undefined {
  return (
    findCrashDenial(node, exchange) ??
    findRunDenial(exchange.runs) ??
    countSend(node, exchange)
  );
}

/** Counts a send that has reached its upstream, or returns the retry of one that has not. */
export function recordArrival(
  node: EntryNode,
  exchange: Exchange,
  arrived: boolean,
): void {
  if (arrived) {
    exchange.arrivals += 1;
    return;
  }
  if (exchange.retryCountedAt === undefined) return;
  returnRetry(getRetryWindow(node, exchange.service), exchange.retryCountedAt);
  exchange.retryCountedAt = undefined;
}

function hasAttemptLeft(exchange: Exchange): boolean {
  return findRunDenial(exchange.runs) === undefined;
}

/** Whether a request that may have run may be sent once more. */
export function mayRetry(node: EntryNode, exchange: Exchange): boolean {
  const window = getRetryWindow(node, exchange.service);
  return hasAttemptLeft(exchange) && retriesLeft(window, node.clock()) >= 1;
}

/** Whether an answer may be discarded to ask a larger model instead. */
export function mayAskLargerModel(
  node: EntryNode,
  exchange: Exchange,
): boolean {
  // The answer of a trial is what shows that the request is sound.
  if (exchange.trialKeys) return false;
  const window = getRetryWindow(node, exchange.service);
  const anyUpstream = {...exchange, triedUpstreams: new Set<string>()};
  return (
    hasAttemptLeft(exchange) &&
    hasTimeBeforeStop(node, exchange) &&
    allowsLargerModel(window, node.clock()) &&
    hasUntriedUpstream(node, anyUpstream)
  );
}
