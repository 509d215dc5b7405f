/**
 * Sends a request to upstreams until one answer stands. A request that may not
 * be repeated leaves the unsent state once; only refusals that say "not run"
 * and failed connections return it there.
 */
import {failure, type Failure} from '@parsleyarch/errors/failure';
import {wait} from '@parsleyarch/lifecycle/process';
import type {UpstreamAnswer} from '@parsleyarch/platform/headers';
import type {AnswerBody, Outcome} from './attempt.js';
import {
  isRepeatable,
  isStream,
  RETRY_AFTER_MS,
  type Exchange,
} from './exchange.js';
import {chooseLarger, noteGain} from './models.js';
import type {EntryNode} from './node.js';
import {readBody, writeHead} from './relay.js';
import {endWithFailure, noteEnd} from './reply.js';
import {findStop, mayAskAgain, mayHaveRun} from './retries.js';
import {selectUpstream, type Selection} from './selection.js';
import {learn, settle, start} from './sending.js';
import {relayStream} from './streaming.js';
import {assignSide, endSession} from './versions.js';

/** Pause before looking again for room at a cold upstream, milliseconds. */
const ROOM_POLL_MS = 40;
/** Longest wait for room, as a share of the objective. */
const ROOM_SHARE = 0.125;

interface HeldAnswer {
  readonly answer: UpstreamAnswer;
  readonly body: Buffer;
}

/** What the sends so far have brought. */
interface Progress {
  model?: string;
  /** Confidence of the answer that was dropped for a larger model's. */
  dropped?: {readonly model: string; readonly confidence: number};
  /** Last whole answer by which an upstream failed the request. */
  held?: HeldAnswer;
  reason: string;
}

/** Whether the loop goes on after a step. */
const Step = {again: 'again', done: 'done', stop: 'stop'} as const;
type Step = (typeof Step)[keyof typeof Step];

async function findUpstream(
  node: EntryNode,
  exchange: Exchange,
  model?: string,
): Promise<Selection | undefined> {
  const until =
    node.clock() + Math.min(1_000, exchange.route.objectiveMs * ROOM_SHARE);
  for (;;) {
    const selection = selectUpstream(node, exchange, model);
    if (selection || exchange.ended || node.clock() >= until) return selection;
    await wait(ROOM_POLL_MS);
  }
}

function endWhole(
  node: EntryNode,
  exchange: Exchange,
  {answer, body}: HeldAnswer,
): void {
  if (exchange.ended) return;
  exchange.ended = true;
  writeHead(node, exchange.response, answer, body.length);
  exchange.response.end(body);
  noteEnd(node, exchange, answer.status, 'upstream');
}

/** Statuses that promise that a request has not run. */
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

async function takeWhole(
  node: EntryNode,
  exchange: Exchange,
  progress: Progress,
  answer: UpstreamAnswer,
  incoming: AnswerBody,
): Promise<Step> {
  const body = await readBody(incoming);
  if (!body) {
    progress.reason = 'answer was cut';
    return Step.again;
  }
  if (answer.status >= 500 && isRepeatable(exchange)) {
    progress.held = {answer, body};
    progress.reason = `upstream answered ${answer.status}`;
    return Step.again;
  }
  if (PROMISES.has(answer.status) && !isRepeatable(exchange)) {
    progress.reason = `upstream answered ${answer.status} after a possible run`;
    return Step.stop;
  }
  endWhole(node, exchange, {answer, body});
  return Step.done;
}

async function passStream(
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

async function takeAnswer(
  node: EntryNode,
  exchange: Exchange,
  progress: Progress,
  answer: UpstreamAnswer,
  body: AnswerBody,
): Promise<Step> {
  const success = answer.status >= 200 && answer.status < 300;
  if (!success || !isStream(exchange))
    return takeWhole(node, exchange, progress, answer, body);
  const {objectiveMs} = exchange.route;
  const {model} = progress;
  if (model === undefined || answer.confidence === undefined)
    return passStream(node, exchange, progress, answer, body);
  const {confidence} = answer;
  const elapsedMs = node.clock() - exchange.startedAt;
  if (progress.dropped) noteGain(node, progress.dropped, {model, confidence});
  const judged = {confidence, elapsedMs, objectiveMs};
  const larger = mayAskAgain(node, exchange)
    ? chooseLarger(node, exchange, model, judged)
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
    return passStream(node, exchange, progress, answer, body);
  body.message.destroy();
  progress.dropped = {model, confidence};
  progress.model = larger;
  progress.reason = 'confidence too low';
  // The same upstream may serve the larger model.
  exchange.tried.clear();
  return Step.again;
}

type Handlers = {
  [K in Outcome['kind']]: (
    node: EntryNode,
    exchange: Exchange,
    progress: Progress,
    outcome: Extract<Outcome, {kind: K}>,
  ) => Promise<Step> | Step;
};

const HANDLERS: Handlers = {
  unsent: (_node, exchange, progress, {reason}) => {
    exchange.runs -= 1;
    progress.reason = reason;
    return Step.again;
  },
  refused: (_node, exchange, progress, {answer}) => {
    exchange.runs -= 1;
    progress.reason = `refused with ${answer.status}`;
    return Step.again;
  },
  lost: (_node, _exchange, progress, {reason}) => {
    progress.reason = reason;
    return Step.again;
  },
  answer: (node, exchange, progress, {answer, body}) =>
    takeAnswer(node, exchange, progress, answer, body),
};

function handle<K extends Outcome['kind']>(
  node: EntryNode,
  exchange: Exchange,
  progress: Progress,
  outcome: Extract<Outcome, {kind: K}>,
): Promise<Step> | Step {
  const handler = HANDLERS[outcome.kind as K];
  return handler(node, exchange, progress, outcome);
}

async function sendOnce(
  node: EntryNode,
  exchange: Exchange,
  progress: Progress,
): Promise<Step> {
  const stop = findStop(node, exchange);
  if (stop) {
    progress.reason = `${stop} (${progress.reason})`;
    return Step.stop;
  }
  const selection = await findUpstream(node, exchange, progress.model);
  if (exchange.ended) return Step.done;
  if (!selection) {
    progress.reason = `no upstream (${progress.reason})`;
    return Step.stop;
  }
  const attempt = start(node, exchange, selection, progress.model);
  const outcome = await settle(node, exchange, attempt);
  learn(node, exchange, attempt, outcome, progress.model);
  if (exchange.ended) {
    if (outcome.kind === 'answer') outcome.body.message.destroy();
    return Step.done;
  }
  return handle(node, exchange, progress, outcome);
}

/** The answer when no further send is made. */
function giveUp(exchange: Exchange, progress: Progress): Failure {
  const {reason} = progress;
  if (!mayHaveRun(exchange))
    return failure('no-upstream', reason, {retryAfterMs: RETRY_AFTER_MS});
  return failure('upstream-lost', reason);
}

/** Serves a request whose body has been read. */
export async function dispatch(
  node: EntryNode,
  exchange: Exchange,
): Promise<void> {
  assignSide(node, exchange);
  await sendUntilAnswered(node, exchange);
  endSession(node, exchange);
}

async function sendUntilAnswered(
  node: EntryNode,
  exchange: Exchange,
): Promise<void> {
  const model = exchange.caller.anyModel ? exchange.route.models[0] : undefined;
  const progress: Progress = {model, reason: 'first send'};
  while (!exchange.ended) {
    const step = await sendOnce(node, exchange, progress);
    if (step === Step.done) return;
    if (step === Step.again) continue;
    if (progress.held) endWhole(node, exchange, progress.held);
    else endWithFailure(node, exchange, giveUp(exchange, progress));
  }
}
