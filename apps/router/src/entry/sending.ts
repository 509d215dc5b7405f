/** Starts sends, awaits their outcomes and records them. */
import {
  findRunDenial,
  returnPermit,
  type RunPermit,
} from '@parsleyarch/policy/runs';
import {startAttempt, type Attempt, type Outcome} from './attempt.js';
import {recordRefusal} from './brittle-upstreams.js';
import {recordAbandonedSend, recordPossibleEnd} from './crashes.js';
import {hasUntriedUpstream} from './exclusions.js';
import {isStream, type Exchange} from './exchange.js';
import {lastAnswerOf, recordReportedLoad} from './load.js';
import {recordModelTime} from './models.js';
import type {EntryNode} from './node.js';
import {recordNotice} from './notices.js';
import {recordFailedConnection} from './reachability.js';
import {recordArrival} from './retries.js';
import {recordServiceTime} from './room.js';
import type {Selection} from './selection.js';
import {recordStatements} from './statements.js';
import {assignUrgency, recordSendBegin, recordSendEnd} from './urgency.js';
import {
  recordFailure,
  recordReachability,
  recordSend,
} from './upstream-records.js';
import {recordVersionOutcome} from './version-tallies.js';
import {serveLine} from './waiting.js';

/**
 * Multiple of the latency objective after which a send is cancelled if its
 * upstream has not answered any request since the send.
 */
const UNRESPONSIVE_TIMEOUT_RATIO = 0.6;
/** Higher for streams: an engine does not answer while it reads long prompts. */
const STREAM_UNRESPONSIVE_TIMEOUT_RATIO = 1.6;
/** Multiple of the objective after which a send other than a stream is slow. */
const ANSWER_TIMEOUT_RATIO = 1.5;
/** Sends a request to the selected upstream under a permit for one run. */
export function startSend(
  node: EntryNode,
  exchange: Exchange,
  permit: RunPermit,
  selection: Selection,
  model: string | undefined,
  lastEventId?: string,
): Attempt {
  const {upstream} = selection;
  const {id} = upstream.registered;
  exchange.sends += 1;
  exchange.triedUpstreams.add(id);
  recordSend(node, upstream, exchange, model);
  const attempt = startAttempt(node, exchange, permit, selection, {
    upstream: id,
    customer: exchange.customer?.name,
    deadlineMs: Math.floor(exchange.deadlineAt - node.clock()),
    model,
    urgency: assignUrgency(node, exchange, selection, model),
    lastEventId,
  });
  recordSendBegin(node, exchange, attempt);
  exchange.cancel = attempt.cancel;
  return attempt;
}

/**
 * Waits for the outcome of a send. Cancels a slow send if the request may be
 * sent to another upstream.
 */
export async function awaitOutcome(
  node: EntryNode,
  exchange: Exchange,
  attempt: Attempt,
): Promise<Outcome> {
  const {objectiveMs} = exchange.route;
  const canRetry = findRunDenial(exchange.runs) === undefined;
  const timers: NodeJS.Timeout[] = [];
  if (canRetry) {
    const cancelIfUnresponsive = () => {
      const lastAnswerAt = lastAnswerOf(node, attempt.upstream);
      const unresponsive = lastAnswerAt < attempt.startedAt;
      if (unresponsive && hasUntriedUpstream(node, exchange))
        attempt.cancel('upstream is unresponsive', true);
    };
    const timeoutRatio = isStream(exchange)
      ? STREAM_UNRESPONSIVE_TIMEOUT_RATIO
      : UNRESPONSIVE_TIMEOUT_RATIO;
    timers.push(setTimeout(cancelIfUnresponsive, objectiveMs * timeoutRatio));
    const cancelIfSlow = () => {
      if (hasUntriedUpstream(node, exchange))
        attempt.cancel('answer timed out', true);
    };
    if (!isStream(exchange))
      timers.push(setTimeout(cancelIfSlow, objectiveMs * ANSWER_TIMEOUT_RATIO));
  }
  const outcome = await attempt.outcome;
  recordSendEnd(node, exchange, attempt);
  for (const timer of timers) clearTimeout(timer);
  return outcome;
}

/** Updates the state of the upstream, models and versions from an outcome. */
export function recordOutcome(
  node: EntryNode,
  exchange: Exchange,
  attempt: Attempt,
  outcome: Outcome,
  model = '',
): void {
  const {upstream} = attempt;
  const tookMs = node.clock() - attempt.startedAt;
  node.metrics.attempts.inc({service: exchange.service, outcome: outcome.kind});
  recordArrival(node, exchange, outcome.kind !== 'unsent');
  if (outcome.kind === 'unsent' || outcome.kind === 'refused')
    returnPermit(exchange.runs, attempt.permit);
  if (outcome.kind === 'answer' || outcome.kind === 'refused') {
    upstream.lastAnswerAt = node.clock();
    recordNotice(node, attempt.registered, outcome.answer);
    recordStatements(node, attempt, outcome.answer);
    if (outcome.kind === 'refused')
      recordRefusal(node, attempt, outcome.answer);
    if (outcome.kind === 'answer' && model)
      recordModelTime(node, exchange, model, attempt.upstreamWork, tookMs);
    recordReportedLoad(node, upstream, outcome.answer);
    if (outcome.kind === 'answer' && !model)
      recordServiceTime(node, exchange.service, outcome.answer, tookMs);
  }
  const failed =
    outcome.kind !== 'answer' || (outcome.answer?.status ?? 0) >= 500;
  if (failed && !exchange.ended) recordFailure(node, upstream);
  recordReachability(node, upstream, outcome.kind);
  if (outcome.kind === 'unsent' && outcome.unreachable)
    recordFailedConnection(node, upstream, attempt.startedAt);
  if (outcome.kind === 'unsent' && outcome.refused)
    void recordPossibleEnd(node, attempt.registered);
  if (outcome.kind === 'lost' && !outcome.closedByUpstream)
    recordAbandonedSend(node, exchange, attempt);
  recordVersionOutcome(node, exchange, upstream, {outcome, tookMs, model});
  node.logDecision('attempt', {
    requestId: exchange.caller.attemptId,
    upstream: upstream.registered.id,
    version: upstream.registered.version,
    runsBefore: attempt.permit.runsBefore,
    delegated: exchange.isDelegated || undefined,
    outcome: outcome.kind,
    status: 'answer' in outcome ? outcome.answer.status : undefined,
    confidence: 'answer' in outcome ? outcome.answer.confidence : undefined,
    reason: 'reason' in outcome ? outcome.reason : undefined,
    tookMs: Math.round(tookMs),
    model,
    urgency: attempt.urgency,
    load: 'answer' in outcome ? outcome.answer.load : undefined,
    promptTokens: exchange.caller.promptTokens,
  });
  serveLine(node, exchange.service);
}
