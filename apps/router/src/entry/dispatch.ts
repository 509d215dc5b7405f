/**
 * Sends a request to upstreams until one of them gives the final answer. A
 * request that may not be repeated is sent again only after a "not run" refusal
 * or a failed connection.
 */
import {failure, Run, type Failure} from '@parsleyarch/errors/failure';
import type {UpstreamAnswer} from '@parsleyarch/platform/headers';
import type {AnswerBody, Outcome} from './attempt.js';
import {isRepeatable, isStream, type Exchange} from './exchange.js';
import {chooseLargerModel, recordConfidenceGain} from './models.js';
import type {EntryNode} from './node.js';
import {sendInOrder} from './ordered-sends.js';
import {delegate, selectDelegate} from './delegation.js';
import {
  mayBeCutOff,
  recordAbandonedSend,
  recordBrokenAnswer,
} from './crashes.js';
import {claimTrial, findRefusalMs} from './culprits.js';
import {isCutOff} from './reachability.js';
import {readAnswerBody} from './answer-body.js';
import {
  createStoppingFailure,
  endWithAnswer,
  endWithFailure,
  type BufferedAnswer,
} from './reply.js';
import {
  hasTimeBeforeStop,
  mayAskLargerModel,
  mayHaveRun,
  reserveSend,
} from './retries.js';
import {findRetryAfterMs} from './refusals.js';
import {recordOutcome, awaitOutcome} from './sending.js';
import {relayStream} from './streaming.js';
import {recordCompleteAnswer} from './survival.js';
import {assignSide, recordSessionEnd} from './versions.js';
import {recordDroppedStream} from './version-tallies.js';
import type {Refusal} from './waiting.js';

/** Result of the sends so far. */
interface Progress {
  model?: string;
  /** Answer that was discarded in order to ask a larger model. */
  discarded?: {readonly model: string; readonly confidence: number};
  /** Latest complete 5xx answer, relayed if no later send succeeds. */
  errorAnswer?: BufferedAnswer;
  /** Why the latest send gave no final answer. */
  reason: string;
  /** Why the last send did not take place. */
  refusal?: Refusal;
}

/** Whether another send follows. */
const Step = {retry: 'retry', done: 'done', stop: 'stop'} as const;
type Step = (typeof Step)[keyof typeof Step];

/**
 * Statuses that tell a caller that its request has not run. They must not be
 * relayed for a request that may have run and may not be repeated.
 */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Whether an upstream gives a status only once it has run the request. */
function provesRun(status: number): boolean {
  return status < 500 && !NOT_RUN_STATUSES.has(status);
}

async function handleBufferedAnswer(
  node: EntryNode,
  exchange: Exchange,
  progress: Progress,
  answer: UpstreamAnswer,
  incoming: AnswerBody,
): Promise<Step> {
  const body = await readAnswerBody(node, incoming);
  if (!body || (await mayBeCutOff(node, incoming))) {
    await recordBrokenAnswer(node, exchange, incoming.send);
    progress.reason = 'answer ended early or was too large';
    return Step.retry;
  }
  if (provesRun(answer.status)) recordCompleteAnswer(node, exchange, incoming);
  if (answer.status >= 500 && isRepeatable(exchange)) {
    progress.errorAnswer = {answer, body};
    progress.reason = `upstream answered ${answer.status}`;
    return Step.retry;
  }
  if (NOT_RUN_STATUSES.has(answer.status) && !isRepeatable(exchange)) {
    progress.reason = `upstream answered ${answer.status} after a possible run`;
    return Step.stop;
  }
  endWithAnswer(node, exchange, {answer, body});
  return Step.done;
}

async function handleStream(
  node: EntryNode,
  exchange: Exchange,
  progress: Progress,
  answer: UpstreamAnswer,
  body: AnswerBody,
): Promise<Step> {
  const ended = await relayStream(node, exchange, progress.model, answer, body);
  if (ended) return Step.done;
  progress.reason = 'stream broke and could not be resumed';
  return Step.stop;
}

async function handleAnswer(
  node: EntryNode,
  exchange: Exchange,
  progress: Progress,
  answer: UpstreamAnswer,
  body: AnswerBody,
): Promise<Step> {
  const success = answer.status >= 200 && answer.status < 300;
  if (!success || !isStream(exchange))
    return handleBufferedAnswer(node, exchange, progress, answer, body);
  const {objectiveMs} = exchange.route;
  const {model} = progress;
  if (model === undefined || answer.confidence === undefined)
    return handleStream(node, exchange, progress, answer, body);
  const {confidence} = answer;
  const elapsedMs = node.clock() - exchange.startedAt;
  if (progress.discarded)
    recordConfidenceGain(node, progress.discarded, {model, confidence});
  const scoredAnswer = {confidence, elapsedMs, objectiveMs};
  const larger = mayAskLargerModel(node, exchange)
    ? chooseLargerModel(node, exchange, model, scoredAnswer)
    : undefined;
  node.metrics.models.inc({model, use: larger ? 'dropped' : 'passed'});
  node.logDecision('model', {
    requestId: exchange.caller.attemptId,
    model,
    confidence: answer.confidence,
    elapsedMs: Math.round(elapsedMs),
    choice: larger ?? model,
    route: exchange.route.name,
    promptTokens: exchange.caller.promptTokens,
    answerTokens: exchange.caller.answerTokens,
  });
  if (larger === undefined)
    return handleStream(node, exchange, progress, answer, body);
  body.message.destroy();
  recordAbandonedSend(node, exchange, body.send);
  recordDroppedStream(node, exchange, body);
  progress.discarded = {model, confidence};
  progress.model = larger;
  progress.reason = 'confidence too low';
  // The same upstream may serve the larger model.
  exchange.triedUpstreams.clear();
  return Step.retry;
}

type OutcomeHandlers = {
  [K in Outcome['kind']]: (
    node: EntryNode,
    exchange: Exchange,
    progress: Progress,
    outcome: Extract<Outcome, {kind: K}>,
  ) => Promise<Step> | Step;
};

const OUTCOME_HANDLERS: OutcomeHandlers = {
  unsent: (_node, _exchange, progress, {reason}) => {
    progress.reason = reason;
    return Step.retry;
  },
  refused: (_node, _exchange, progress, {answer}) => {
    progress.reason = `upstream refused with ${answer.status}`;
    return Step.retry;
  },
  lost: (_node, _exchange, progress, {reason}) => {
    progress.reason = reason;
    return Step.retry;
  },
  answer: (node, exchange, progress, {answer, body}) =>
    handleAnswer(node, exchange, progress, answer, body),
};

function handleOutcome<K extends Outcome['kind']>(
  node: EntryNode,
  exchange: Exchange,
  progress: Progress,
  outcome: Extract<Outcome, {kind: K}>,
): Promise<Step> | Step {
  const handler = OUTCOME_HANDLERS[outcome.kind as K];
  return handler(node, exchange, progress, outcome);
}

function stopSending(progress: Progress, reason: string): Step {
  progress.reason = `${reason} (${progress.reason})`;
  return Step.stop;
}

async function sendOnce(
  node: EntryNode,
  exchange: Exchange,
  progress: Progress,
): Promise<Step> {
  await claimTrial(node, exchange);
  if (exchange.ended) return Step.done;
  const denial = reserveSend(node, exchange);
  if (denial) return stopSending(progress, denial);
  const sent = await sendInOrder(node, exchange, {model: progress.model});
  if (exchange.ended && sent.isErr()) return Step.done;
  if (sent.isErr()) {
    progress.refusal = sent.error;
    return stopSending(progress, sent.error.reason);
  }
  const attempt = sent.value;
  const outcome = await awaitOutcome(node, exchange, attempt);
  recordOutcome(node, exchange, attempt, outcome, progress.model);
  if (outcome.kind === 'lost' && outcome.closedByUpstream)
    await recordBrokenAnswer(node, exchange, attempt);
  if (exchange.ended) {
    if (outcome.kind === 'answer') outcome.body.message.destroy();
    return Step.done;
  }
  return handleOutcome(node, exchange, progress, outcome);
}

/** Serves a request through another node while this one is cut off. */
async function sendOrDelegate(
  node: EntryNode,
  exchange: Exchange,
  progress: Progress,
): Promise<Step> {
  if (exchange.isDelegated && isCutOff(node, exchange.service)) {
    progress.reason = 'the delegate is cut off as well';
    return Step.stop;
  }
  if (!hasTimeBeforeStop(node, exchange))
    return stopSending(progress, 'stopping');
  const member = selectDelegate(node, exchange);
  if (!member) return sendOnce(node, exchange, progress);
  const reason = await delegate(node, exchange, member);
  if (reason === undefined) return Step.done;
  progress.reason = reason;
  return Step.retry;
}

function createFinalFailure(
  node: EntryNode,
  exchange: Exchange,
  progress: Progress,
): Failure {
  const {reason, refusal} = progress;
  if (mayHaveRun(exchange)) return failure('upstream-lost', reason);
  if (!hasTimeBeforeStop(node, exchange)) return createStoppingFailure();
  const refusalMs = findRefusalMs(node, exchange);
  if (refusalMs !== undefined)
    return failure('quarantined', reason, {retryAfterMs: refusalMs});
  const retryAfterMs = findRetryAfterMs(node, exchange, refusal);
  return failure(refusal?.kind ?? 'no-upstream', reason, {retryAfterMs});
}

function refuse(node: EntryNode, exchange: Exchange, progress: Progress): void {
  const problem = createFinalFailure(node, exchange, progress);
  if (problem.run === Run.notRun)
    node.metrics.refusals.inc({kind: problem.kind});
  endWithFailure(node, exchange, problem);
}

/** Serves a request whose body has been read. */
export async function dispatch(
  node: EntryNode,
  exchange: Exchange,
): Promise<void> {
  assignSide(node, exchange);
  await sendUntilAnswered(node, exchange);
  recordSessionEnd(node, exchange);
}

async function sendUntilAnswered(
  node: EntryNode,
  exchange: Exchange,
): Promise<void> {
  const model = exchange.caller.anyModel ? exchange.route.models[0] : undefined;
  const progress: Progress = {model, reason: 'first send'};
  while (!exchange.ended) {
    const step = await sendOrDelegate(node, exchange, progress);
    if (step === Step.done) return;
    if (step === Step.retry) continue;
    if (progress.errorAnswer)
      endWithAnswer(node, exchange, progress.errorAnswer);
    else refuse(node, exchange, progress);
  }
}
