/**
 * Sends a request to upstreams until one answer stands. A request that may not
 * be repeated leaves the unsent state once; only refusals that say "not run"
 * and failed connections return it there.
 */
import {failure, type Failure} from '@parsleyarch/errors/failure';
import {wait} from '@parsleyarch/lifecycle/process';
import type {UpstreamAnswer} from '@parsleyarch/platform/headers';
import {
  countFirst,
  createRetryWindow,
  retriesLeft,
  takeRepeat,
  type RetryWindow,
} from '@parsleyarch/policy/retry-window';
import {
  isWhole,
  startAttempt,
  type AnswerBody,
  type Attempt,
  type Outcome,
} from './attempt.js';
import {isRepeatable, isStream, priorityOf, type Exchange} from './exchange.js';
import {chooseLarger, noteGain, noteModelTime} from './models.js';
import type {EntryNode} from './node.js';
import {collect, createCutter, writeBytes, writeHead} from './relay.js';
import {endWithFailure, noteEnd} from './reply.js';
import {
  hasOther,
  noteFailure,
  noteReach,
  noteSend,
  selectUpstream,
  type Selection,
} from './selection.js';
import {assignSide, endSession, noteOutcome} from './versions.js';

/** Sends that an upstream may refuse without a run, beyond the attempts. */
const MAX_REFUSED_SENDS = 3;
/** Pause before looking again for room at a cold upstream, milliseconds. */
const ROOM_POLL_MS = 40;
/** Longest wait for room, as a share of the objective. */
const ROOM_SHARE = 0.125;
/** Shares of the objective after which a silent upstream is given up. */
const SILENT_SHARE = 0.6;
/** An engine may be silent because it reads long prompts. */
const SILENT_ENGINE_SHARE = 1.6;
/** Multiple of the objective after which any plain upstream is given up. */
const SLOW_SHARE = 1.5;
/** Pauses between events, in objectives, after which a stream moves on. */
const STALLED_PAUSES = 2;
/** Priorities that are told apart at an upstream, for each size of model. */
const PRIORITIES = 4;
/** Parts of the retry bounds that are used. */
const RATIO_PART = 0.92;
const SLACK_PART = 0.7;
/** Repeats that are kept for failures when a larger model could be asked. */
const REPEATS_FOR_FAILURES = 4;
/** When a caller may find room again, milliseconds. */
const RETRY_AFTER_MS = 300;

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

function retryWindowOf(node: EntryNode, service: string): RetryWindow {
  const known = node.retries.get(service);
  if (known) return known;
  const {ratio, windowSeconds, slack} = node.settings.retries;
  // Nodes share the slack; a part stays for nodes that are not known yet.
  const window = createRetryWindow({
    windowMs: windowSeconds * 1_000,
    ratio: ratio * RATIO_PART,
    slack: (slack * SLACK_PART) / Math.max(1, node.mostMembers),
  });
  node.retries.set(service, window);
  return window;
}

function mayHaveRun(exchange: Exchange): boolean {
  return exchange.runs > 0;
}

/** Why no further send is made; absent: one may be made. */
function findStop(node: EntryNode, exchange: Exchange): string | undefined {
  const {sends, runs, route} = exchange;
  const window = retryWindowOf(node, exchange.service);
  if (sends === 0) {
    countFirst(window, node.clock());
    return undefined;
  }
  if (mayHaveRun(exchange) && !isRepeatable(exchange))
    return 'may not be repeated';
  if (runs >= route.maxAttempts) return 'no attempts left';
  if (sends >= route.maxAttempts + MAX_REFUSED_SENDS)
    return 'refused too often';
  if (!takeRepeat(window, node.clock())) return 'retry budget used up';
  return undefined;
}

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

/**
 * Small models go before large ones: their answers decide what else is asked,
 * and short work first shortens the wait of all.
 */
function urgencyOf(exchange: Exchange, model?: string): number {
  const rank = Math.max(0, priorityOf(exchange));
  const {models} = exchange.route;
  const isFirst = model === undefined || model === models[0];
  const base = isFirst ? 0 : PRIORITIES;
  return base + Math.min(PRIORITIES - 1, rank);
}

function start(
  node: EntryNode,
  exchange: Exchange,
  {upstream, work}: Selection,
  model: string | undefined,
  lastEventId?: string,
): Attempt {
  const {id} = upstream.registered;
  exchange.sends += 1;
  exchange.runs += 1;
  exchange.tried.add(id);
  noteSend(node, upstream, exchange, model);
  const attempt = startAttempt(
    node,
    exchange,
    {upstream, work},
    {
      upstream: id,
      customer: exchange.customer?.name,
      deadlineMs: Math.floor(exchange.endsAt - node.clock()),
      model,
      urgency: urgencyOf(exchange, model),
      lastEventId,
    },
  );
  exchange.cancel = attempt.cancel;
  return attempt;
}

/** Waits for the header of an answer as long as that is of use. */
async function settle(
  node: EntryNode,
  exchange: Exchange,
  attempt: Attempt,
): Promise<Outcome> {
  const {objectiveMs, maxAttempts} = exchange.route;
  const movable = isRepeatable(exchange) && exchange.runs < maxAttempts;
  const timers: NodeJS.Timeout[] = [];
  if (movable) {
    const giveUpIfSilent = () => {
      const silent = attempt.upstream.lastAnswerAt < attempt.startedAt;
      if (silent && hasOther(node, exchange))
        attempt.cancel('upstream is silent', true);
    };
    const share = isStream(exchange) ? SILENT_ENGINE_SHARE : SILENT_SHARE;
    timers.push(setTimeout(giveUpIfSilent, objectiveMs * share));
    const giveUp = () => {
      if (hasOther(node, exchange)) attempt.cancel('no answer in time', true);
    };
    if (!isStream(exchange))
      timers.push(setTimeout(giveUp, objectiveMs * SLOW_SHARE));
  }
  const outcome = await attempt.outcome;
  for (const timer of timers) clearTimeout(timer);
  return outcome;
}

/** Records what an outcome says of the upstream. */
function learn(
  node: EntryNode,
  exchange: Exchange,
  attempt: Attempt,
  outcome: Outcome,
  model = '',
): void {
  const {upstream} = attempt;
  const tookMs = node.clock() - attempt.startedAt;
  node.metrics.attempts.inc({service: exchange.service, outcome: outcome.kind});
  if (outcome.kind === 'answer' || outcome.kind === 'refused') {
    upstream.lastAnswerAt = node.clock();
    const {load} = outcome.answer;
    if (outcome.kind === 'answer' && model)
      noteModelTime(node, exchange, model, tookMs);
    if (load) {
      upstream.load = {...load, at: node.clock()};
      upstream.sentSinceReport = 0;
    }
  }
  const failed =
    outcome.kind !== 'answer' || (outcome.answer?.status ?? 0) >= 500;
  if (failed && !exchange.ended) noteFailure(node, upstream);
  noteReach(node, upstream, outcome.kind);
  noteOutcome(node, exchange, upstream, {outcome, tookMs, model});
  node.note('attempt', {
    requestId: exchange.caller.attemptId,
    upstream: upstream.registered.id,
    version: upstream.registered.version,
    outcome: outcome.kind,
    status: 'answer' in outcome ? outcome.answer.status : undefined,
    confidence: 'answer' in outcome ? outcome.answer.confidence : undefined,
    reason: 'reason' in outcome ? outcome.reason : undefined,
    tookMs: Math.round(tookMs),
    model,
    load: 'answer' in outcome ? outcome.answer.load : undefined,
    promptTokens: exchange.caller.promptTokens,
  });
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
  const body = await collect(incoming);
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

/** Passes events on until the stream ends; false when it breaks. */
async function pump(
  exchange: Exchange,
  body: AnswerBody,
  cutter: ReturnType<typeof createCutter>,
): Promise<boolean> {
  const stallMs = exchange.route.pauseObjectiveMs * STALLED_PAUSES;
  const stalled = () => body.message.destroy(new Error('stream stalled'));
  let timer = setTimeout(stalled, stallMs);
  try {
    for await (const chunk of body.message as AsyncIterable<Buffer>) {
      clearTimeout(timer);
      await writeBytes(exchange.response, cutter.cut(chunk));
      timer = setTimeout(stalled, stallMs);
    }
  } catch {
    return false;
  } finally {
    clearTimeout(timer);
  }
  return isWhole(body) && !cutter.pending();
}

/** Goes on with a broken stream at another upstream, after its last event. */
async function resume(
  node: EntryNode,
  exchange: Exchange,
  model: string | undefined,
  lastEventId: string,
): Promise<AnswerBody | undefined> {
  while (!exchange.ended && isRepeatable(exchange)) {
    const stop = findStop(node, exchange);
    if (stop) return undefined;
    const selection = selectUpstream(node, exchange, model);
    if (!selection) return undefined;
    const attempt = start(node, exchange, selection, model, lastEventId);
    const outcome = await settle(node, exchange, attempt);
    learn(node, exchange, attempt, outcome, model);
    if (outcome.kind === 'refused' || outcome.kind === 'unsent')
      exchange.runs -= 1;
    if (outcome.kind !== 'answer') continue;
    const {status} = outcome.answer;
    if (status >= 200 && status < 300) return outcome.body;
    outcome.body.message.resume();
  }
  return undefined;
}

async function relayStream(
  node: EntryNode,
  exchange: Exchange,
  progress: Progress,
  answer: UpstreamAnswer,
  first: AnswerBody,
): Promise<Step> {
  const {response, caller} = exchange;
  writeHead(node, response, answer);
  response.flushHeaders();
  const route = exchange.route.name;
  const firstByteMs = node.clock() - exchange.startedAt;
  node.metrics.firstByte.observe({route}, firstByteMs / 1_000);
  const cutter = createCutter(caller.lastEventId);
  let body: AnswerBody | undefined = first;
  while (body) {
    if (await pump(exchange, body, cutter)) {
      if (exchange.ended) return Step.done;
      exchange.ended = true;
      response.end();
      noteEnd(node, exchange, answer.status, 'stream complete');
      return Step.done;
    }
    if (exchange.ended) return Step.done;
    node.note('stream broken', {
      requestId: caller.attemptId,
      lastEventId: cutter.lastId,
    });
    const lastId = cutter.lastId;
    cutter.reset();
    body = await resume(node, exchange, progress.model, lastId);
  }
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
  const {objectiveMs, maxAttempts} = exchange.route;
  const {model} = progress;
  if (model === undefined || answer.confidence === undefined)
    return relayStream(node, exchange, progress, answer, body);
  const {confidence} = answer;
  const elapsedMs = node.clock() - exchange.startedAt;
  if (progress.dropped) noteGain(node, progress.dropped, {model, confidence});
  const judged = {confidence, elapsedMs, objectiveMs};
  const window = retryWindowOf(node, exchange.service);
  const mayAsk =
    isRepeatable(exchange) &&
    exchange.runs < maxAttempts &&
    retriesLeft(window, node.clock()) > REPEATS_FOR_FAILURES;
  const larger = mayAsk
    ? chooseLarger(node, exchange, model, judged)
    : undefined;
  node.metrics.models.inc({model, use: larger ? 'dropped' : 'passed'});
  node.note('model', {
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
    return relayStream(node, exchange, progress, answer, body);
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
