/** Relays event streams and resumes them at another upstream if they break. */
import type {UpstreamAnswer} from '@parsleyarch/platform/headers';
import {isStalled, moveGapMs} from '@parsleyarch/policy/stream-gaps';
import {
  createStreamWriter,
  endStream,
  type StreamWriter,
} from './answer-writer.js';
import {isComplete, type AnswerBody} from './attempt.js';
import {
  mayBeCutOff,
  recordAbandonedSend,
  recordBrokenAnswer,
} from './crashes.js';
import {isRepeatable, type Exchange} from './exchange.js';
import type {EntryNode} from './node.js';
import {sendInOrder} from './ordered-sends.js';
import {createEventSplitter, writeHead, type EventSplitter} from './relay.js';
import {recordAnswer} from './reply.js';
import {mayRetry, reserveSend} from './retries.js';
import {hasUntriedUpstream} from './exclusions.js';
import {recordOutcome, awaitOutcome} from './sending.js';
import {watchPace} from './stream-pace.js';
import {recordCompleteAnswer, watchSurvival} from './survival.js';

/** Whether a stream that makes no events may go on at another upstream. */
function canMove(node: EntryNode, exchange: Exchange): boolean {
  return mayRetry(node, exchange) && hasUntriedUpstream(node, exchange);
}

interface GapWatch {
  readonly restart: () => void;
  readonly stop: () => void;
  readonly hasStalled: () => boolean;
}

/** Ends a stream that makes no events for too long. */
function watchGaps(
  node: EntryNode,
  exchange: Exchange,
  body: AnswerBody,
): GapWatch {
  const {route} = exchange;
  let timer: NodeJS.Timeout | undefined;
  let lastEventAt = node.clock();
  let stalled = false;
  const check = () => {
    const gapMs = node.clock() - lastEventAt;
    if (isStalled(route, gapMs, canMove(node, exchange))) {
      stalled = true;
      return void body.message.destroy(new Error('stream stalled'));
    }
    timer = setTimeout(check, moveGapMs(route) / 2);
  };
  const stop = () => clearTimeout(timer);
  const restart = () => {
    stop();
    lastEventAt = node.clock();
    timer = setTimeout(check, moveGapMs(route));
  };
  restart();
  return {restart, stop, hasStalled: () => stalled};
}

/** How the relay of one upstream's events ended. */
const StreamEnd = {
  complete: 'complete',
  /** The upstream closed the connection before the end of the stream. */
  brokenOff: 'broken off',
  /** This node closed the connection. */
  abandoned: 'abandoned',
} as const;
type StreamEnd = (typeof StreamEnd)[keyof typeof StreamEnd];

/** Relays events until the stream ends or breaks. */
async function relayEvents(
  node: EntryNode,
  exchange: Exchange,
  model: string | undefined,
  body: AnswerBody,
  splitter: EventSplitter,
  writer: StreamWriter,
): Promise<StreamEnd> {
  const gaps = watchGaps(node, exchange, body);
  const pace = watchPace(node, exchange, body, model);
  const relayedCount = splitter.eventCount;
  const updateSurvival = watchSurvival(node, exchange, body);
  try {
    for await (const chunk of body.message as AsyncIterable<Buffer>) {
      const known = splitter.eventCount;
      const events = splitter.split(chunk);
      if (splitter.isTooLarge()) return StreamEnd.abandoned;
      if (splitter.isRepeating()) return StreamEnd.abandoned;
      pace.update(splitter.eventCount - relayedCount);
      updateSurvival(splitter.eventCount - relayedCount);
      writer.write(events, splitter.partialBytes());
      if (writer.isHeldBack()) {
        // Time in which the caller does not read is no gap of the stream.
        gaps.stop();
        const writtenAt = node.clock();
        await writer.waitForReader();
        pace.exclude(node.clock() - writtenAt);
        gaps.restart();
      } else if (splitter.eventCount > known) gaps.restart();
    }
  } catch {
    return gaps.hasStalled() ? StreamEnd.abandoned : StreamEnd.brokenOff;
  } finally {
    gaps.stop();
    pace.end(gaps.hasStalled());
  }
  // A connection that closes before the first event cannot tell an end from a crash.
  const isEmpty = body.closeDelimited && splitter.eventCount === relayedCount;
  const isWhole = isComplete(body) && splitter.partialBytes() === 0 && !isEmpty;
  return isWhole && !(await mayBeCutOff(node, body))
    ? StreamEnd.complete
    : StreamEnd.brokenOff;
}

/** Requests the events after the last relayed one from another upstream. */
async function resumeStream(
  node: EntryNode,
  exchange: Exchange,
  model: string | undefined,
  first: UpstreamAnswer,
  lastEventId: string,
): Promise<AnswerBody | undefined> {
  while (!exchange.ended && isRepeatable(exchange)) {
    const denial = reserveSend(node, exchange);
    if (denial) return undefined;
    const sent = await sendInOrder(node, exchange, {model, lastEventId});
    if (sent.isErr()) return undefined;
    const attempt = sent.value;
    const outcome = await awaitOutcome(node, exchange, attempt);
    recordOutcome(node, exchange, attempt, outcome, model);
    if (outcome.kind === 'lost' && outcome.closedByUpstream)
      await recordBrokenAnswer(node, exchange, attempt);
    if (outcome.kind !== 'answer') continue;
    const {status, mediaType} = outcome.answer;
    const isSuccess = status >= 200 && status < 300;
    if (isSuccess && mediaType === first.mediaType) return outcome.body;
    outcome.body.message.destroy();
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
  const writer = createStreamWriter(node, response);
  let body: AnswerBody | undefined = firstBody;
  while (body) {
    const end = await relayEvents(
      node,
      exchange,
      model,
      body,
      splitter,
      writer,
    );
    if (end === StreamEnd.complete) {
      recordCompleteAnswer(node, exchange, body);
      if (exchange.ended) return true;
      exchange.ended = true;
      endStream(node, response);
      recordAnswer(node, exchange, answer.status, 'stream complete');
      return true;
    }
    if (exchange.ended || end === StreamEnd.abandoned)
      recordAbandonedSend(node, exchange, body.send);
    if (exchange.ended) return true;
    node.logDecision('stream broken', {
      requestId: caller.attemptId,
      upstream: body.send.registered.id,
      lastEventId: splitter.lastId,
      end,
    });
    if (end === StreamEnd.brokenOff)
      await recordBrokenAnswer(node, exchange, body.send);
    if (exchange.ended) return true;
    const lastId = splitter.lastId;
    splitter.reset();
    body = await resumeStream(node, exchange, model, answer, lastId);
  }
  return false;
}
