/** Forwards answers of upstreams to callers. */
import type {UpstreamAnswer} from '@parsleyarch/platform/headers';
import {createParser} from 'eventsource-parser';
import type {ServerResponse} from 'node:http';
import {isComplete, MAX_BUFFERED_BYTES, type AnswerBody} from './attempt.js';
import type {EntryNode} from './node.js';

/**
 * Field with the kind of a failure, by which nodes tell the answers of a delegate from
 * those of its upstreams.
 */
export const FAILURE_FIELD = 'x-failure-kind';

function listForwarded({forwarded}: UpstreamAnswer): string[] {
  return forwarded.filter((_text, index) => {
    const name = forwarded[index - (index % 2)];
    return name.toLowerCase() !== FAILURE_FIELD;
  });
}

/** Writes the status and header of an upstream's answer. */
export function writeHead(
  node: EntryNode,
  response: ServerResponse,
  answer: UpstreamAnswer,
  length?: number,
): void {
  const headers = listForwarded(answer);
  if (length !== undefined) headers.push('content-length', String(length));
  if (node.stopping) headers.push('connection', 'close');
  response.writeHead(answer.status, headers);
}

/** Reads a complete body; `undefined` if it is truncated or too large. */
export async function readAnswerBody(
  body: Pick<AnswerBody, 'message' | 'broken'>,
): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of body.message as AsyncIterable<Buffer>) {
      chunks.push(chunk);
      size += chunk.length;
      if (size > MAX_BUFFERED_BYTES) return undefined;
    }
  } catch {
    return undefined;
  }
  return isComplete(body) ? Buffer.concat(chunks) : undefined;
}

/** Maximum size of an event; more than engines send in one. */
const MAX_EVENT_BYTES = 1 << 20;

/** Splits a stream into complete events and keeps the id of the last one. */
export interface EventSplitter {
  /** Returns the complete events received so far and buffers the rest. */
  split(chunk: Buffer): Buffer;
  lastId: string;
  /** Number of events with data so far. */
  eventCount: number;
  /** Whether an incomplete event exceeds the limit; it will not be completed. */
  readonly isTooLarge: () => boolean;
  /** Whether a stream that should go on after an event has begun with an earlier one. */
  readonly isRepeating: () => boolean;
  /** Discards an incomplete event before the stream resumes elsewhere. */
  reset(): void;
  /** Whether bytes of an incomplete event are buffered. */
  readonly hasPartial: () => boolean;
}

function findLastEventEnd(bytes: Buffer): number {
  const lfIndex = bytes.lastIndexOf('\n\n');
  const crlfIndex = bytes.lastIndexOf('\n\r\n');
  return Math.max(
    lfIndex < 0 ? 0 : lfIndex + 2,
    crlfIndex < 0 ? 0 : crlfIndex + 3,
  );
}

/** Creates a splitter for a stream that begins after the event `lastId`. */
export function createEventSplitter(lastId: string): EventSplitter {
  let partial: Buffer = Buffer.alloc(0);
  let resumedAfter = lastId;
  let isFirst = true;
  let repeating = false;
  const splitter: EventSplitter = {
    lastId,
    eventCount: 0,
    isTooLarge: () => partial.length > MAX_EVENT_BYTES,
    split(chunk) {
      const bytes =
        partial.length === 0 ? chunk : Buffer.concat([partial, chunk]);
      const end = findLastEventEnd(bytes);
      partial = bytes.subarray(end);
      const complete = bytes.subarray(0, end);
      if (end > 0) parser.feed(complete.toString('utf8'));
      return complete;
    },
    isRepeating: () => repeating,
    reset() {
      partial = Buffer.alloc(0);
      resumedAfter = splitter.lastId;
      isFirst = true;
      repeating = false;
      parser.reset();
    },
    hasPartial: () => partial.length > 0,
  };
  const parser = createParser({
    onEvent: ({id}) => {
      if (isFirst && id !== undefined) {
        isFirst = false;
        repeating = Number(id) <= Number(resumedAfter || NaN);
      }
      if (repeating) return;
      splitter.eventCount += 1;
      if (id !== undefined) splitter.lastId = id;
    },
  });
  return splitter;
}

/**
 * Writes bytes; under backpressure, waits until the caller reads or closes.
 * Returns whether it has waited.
 */
export async function writeBytes(
  response: ServerResponse,
  bytes: Buffer,
): Promise<boolean> {
  if (bytes.length === 0 || response.destroyed) return false;
  if (response.write(bytes)) return false;
  await new Promise<void>(resolve => {
    const done = () => {
      response.off('drain', done);
      response.off('close', done);
      resolve();
    };
    response.on('drain', done);
    response.on('close', done);
  });
  return true;
}
