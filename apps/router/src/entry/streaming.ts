/** Relays event streams and resumes them at another upstream if they break. */
import type {UpstreamAnswer} from '@parsleyarch/platform/headers';
import {isComplete, type AnswerBody} from './attempt.js';
import {isRepeatable, type Exchange} from './exchange.js';
import type {EntryNode} from './node.js';
import {createEventSplitter, writeBytes, writeHead} from './relay.js';
import {recordAnswer} from './reply.js';
import {reserveSend} from './retries.js';
import {selectUpstream} from './selection.js';
import {recordOutcome, awaitOutcome, startSend} from './sending.js';

/** Longest pause in a stream, as a multiple of the pause objective. */
const STALL_TIMEOUT_RATIO = 2;

/** Relays events until the stream ends; returns false if it breaks. */
async function relayEvents(
  exchange: Exchange,
  body: AnswerBody,
  splitter: ReturnType<typeof createEventSplitter>,
): Promise<boolean> {
  const stallMs = exchange.route.pauseObjectiveMs * STALL_TIMEOUT_RATIO;
  const abortStalled = () => body.message.destroy(new Error('stream stalled'));
  let timer = setTimeout(abortStalled, stallMs);
  try {
    for await (const chunk of body.message as AsyncIterable<Buffer>) {
      clearTimeout(timer);
      await writeBytes(exchange.response, splitter.split(chunk));
      timer = setTimeout(abortStalled, stallMs);
    }
  } catch {
    return false;
  } finally {
    clearTimeout(timer);
  }
  return isComplete(body) && !splitter.hasPartial();
}

/** Requests the events after the last relayed one from another upstream. */
async function resumeStream(
  node: EntryNode,
  exchange: Exchange,
  model: string | undefined,
  lastEventId: string,
): Promise<AnswerBody | undefined> {
  while (!exchange.ended && isRepeatable(exchange)) {
    const denial = reserveSend(node, exchange);
    if (denial) return undefined;
    const selection = selectUpstream(node, exchange, model);
    if (!selection) return undefined;
    const attempt = startSend(node, exchange, selection, model, lastEventId);
    const outcome = await awaitOutcome(node, exchange, attempt);
    recordOutcome(node, exchange, attempt, outcome, model);
    if (outcome.kind === 'refused' || outcome.kind === 'unsent')
      exchange.runs -= 1;
    if (outcome.kind !== 'answer') continue;
    const {status} = outcome.answer;
    if (status >= 200 && status < 300) return outcome.body;
    outcome.body.message.resume();
  }
  return undefined;
}

/**
 * Relays a stream and resumes it at another upstream if it breaks. Returns
 * false if it broke and could not be resumed.
 */
export async function relayStream(
  node: EntryNode,
  exchange: Exchange,
  model: string | undefined,
  answer: UpstreamAnswer,
  firstBody: AnswerBody,
): Promise<boolean> {
  const {response, caller} = exchange;
  writeHead(node, response, answer);
  response.flushHeaders();
  const route = exchange.route.name;
  const firstByteMs = node.clock() - exchange.startedAt;
  node.metrics.firstByte.observe({route}, firstByteMs / 1_000);
  const splitter = createEventSplitter(caller.lastEventId);
  let body: AnswerBody | undefined = firstBody;
  while (body) {
    if (await relayEvents(exchange, body, splitter)) {
      if (exchange.ended) return true;
      exchange.ended = true;
      response.end();
      recordAnswer(node, exchange, answer.status, 'stream complete');
      return true;
    }
    if (exchange.ended) return true;
    node.logDecision('stream broken', {
      requestId: caller.attemptId,
      lastEventId: splitter.lastId,
    });
    const lastId = splitter.lastId;
    splitter.reset();
    body = await resumeStream(node, exchange, model, lastId);
  }
  return false;
}
