/** Streams of events: passed on as they come, resumed where they break. */
import type {UpstreamAnswer} from '@parsleyarch/platform/headers';
import {isWhole, type AnswerBody} from './attempt.js';
import {isRepeatable, type Exchange} from './exchange.js';
import type {EntryNode} from './node.js';
import {createEventSplitter, writeBytes, writeHead} from './relay.js';
import {noteEnd} from './reply.js';
import {findStop} from './retries.js';
import {selectUpstream} from './selection.js';
import {learn, settle, start} from './sending.js';

/** Pauses between events, in objectives, after which a stream moves on. */
const STALLED_PAUSES = 2;

/** Passes events on until the stream ends; false when it breaks. */
async function pump(
  exchange: Exchange,
  body: AnswerBody,
  cutter: ReturnType<typeof createEventSplitter>,
): Promise<boolean> {
  const stallMs = exchange.route.pauseObjectiveMs * STALLED_PAUSES;
  const stalled = () => body.message.destroy(new Error('stream stalled'));
  let timer = setTimeout(stalled, stallMs);
  try {
    for await (const chunk of body.message as AsyncIterable<Buffer>) {
      clearTimeout(timer);
      await writeBytes(exchange.response, cutter.split(chunk));
      timer = setTimeout(stalled, stallMs);
    }
  } catch {
    return false;
  } finally {
    clearTimeout(timer);
  }
  return isWhole(body) && !cutter.hasPartial();
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

/**
 * Passes a stream on and goes on elsewhere when it breaks. False: it broke and
 * could not be resumed.
 */
export async function relayStream(
  node: EntryNode,
  exchange: Exchange,
  model: string | undefined,
  answer: UpstreamAnswer,
  first: AnswerBody,
): Promise<boolean> {
  const {response, caller} = exchange;
  writeHead(node, response, answer);
  response.flushHeaders();
  const route = exchange.route.name;
  const firstByteMs = node.clock() - exchange.startedAt;
  node.metrics.firstByte.observe({route}, firstByteMs / 1_000);
  const cutter = createEventSplitter(caller.lastEventId);
  let body: AnswerBody | undefined = first;
  while (body) {
    if (await pump(exchange, body, cutter)) {
      if (exchange.ended) return true;
      exchange.ended = true;
      response.end();
      noteEnd(node, exchange, answer.status, 'stream complete');
      return true;
    }
    if (exchange.ended) return true;
    node.logDecision('stream broken', {
      requestId: caller.attemptId,
      lastEventId: cutter.lastId,
    });
    const lastId = cutter.lastId;
    cutter.reset();
    body = await resume(node, exchange, model, lastId);
  }
  return false;
}
