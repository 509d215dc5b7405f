/** Whether a request may be sent once more. */
import {
  countFirstSend,
  createRetryWindow,
  retriesLeft,
  consumeRetry,
  type RetryWindow,
} from '@parsleyarch/policy/retry-window';
import {isRepeatable, type Exchange} from './exchange.js';
import type {EntryNode} from './node.js';

/** Sends that an upstream may refuse without a run, beyond the attempts. */
const MAX_REFUSED_SENDS = 3;
/** Parts of the retry bounds that are used. */
const RATIO_PART = 0.92;
const SLACK_PART = 0.7;
/** Repeats that are kept for failures when a larger model could be asked. */
const REPEATS_FOR_FAILURES = 4;

function retryWindowOf(node: EntryNode, service: string): RetryWindow {
  const known = node.retries.get(service);
  if (known) return known;
  const {ratio, windowSeconds, slack} = node.settings.retries;
  // Nodes share the slack; a part stays for nodes that are not known yet.
  const window = createRetryWindow({
    windowMs: windowSeconds * 1_000,
    ratio: ratio * RATIO_PART,
    slack: (slack * SLACK_PART) / Math.max(1, node.peakMemberCount),
  });
  node.retries.set(service, window);
  return window;
}

/** Whether a send of the request may have run. */
export function mayHaveRun(exchange: Exchange): boolean {
  return exchange.runs > 0;
}

/** Why no further send is made; absent: one may be made, and is counted. */
export function findStop(
  node: EntryNode,
  exchange: Exchange,
): string | undefined {
  const {sends, runs, route} = exchange;
  const window = retryWindowOf(node, exchange.service);
  if (sends === 0) {
    countFirstSend(window, node.clock());
    return undefined;
  }
  if (mayHaveRun(exchange) && !isRepeatable(exchange))
    return 'may not be repeated';
  if (runs >= route.maxAttempts) return 'no attempts left';
  if (sends >= route.maxAttempts + MAX_REFUSED_SENDS)
    return 'refused too often';
  if (!consumeRetry(window, node.clock())) return 'retry budget used up';
  return undefined;
}

/** Whether an answer may be dropped in order to ask a larger model. */
export function mayAskAgain(node: EntryNode, exchange: Exchange): boolean {
  if (!isRepeatable(exchange)) return false;
  if (exchange.runs >= exchange.route.maxAttempts) return false;
  const window = retryWindowOf(node, exchange.service);
  return retriesLeft(window, node.clock()) > REPEATS_FOR_FAILURES;
}
