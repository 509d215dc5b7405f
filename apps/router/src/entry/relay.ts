/** Forwards answers of upstreams to callers. */
import type {UpstreamAnswer} from '@parsleyarch/platform/headers';
import {createParser} from 'eventsource-parser';
import type {ServerResponse} from 'node:http';
import {appendBytes, createByteBuffer} from '../byte-buffer.js';
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

const NO_BYTES = Buffer.alloc(0);
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
  /** Bytes of an incomplete event that are buffered. */
  readonly partialBytes: () => number;
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
  let partial = createByteBuffer(Infinity);
  let resumedAfter = lastId;
  let isFirst = true;
  let repeating = false;
  const joinPartial = (chunk: Buffer): Buffer => {
    if (partial.length === 0) return chunk;
    appendBytes(partial, chunk);
    return partial.bytes.subarray(0, partial.length);
  };
  const splitter: EventSplitter = {
    lastId,
    eventCount: 0,
    isTooLarge: () => partial.length > MAX_EVENT_BYTES,
    split(chunk) {
      const bytes = joinPartial(chunk);
      const end = findLastEventEnd(bytes);
      if (end === 0 && partial.length > 0) return NO_BYTES;
      partial = createByteBuffer(Infinity);
      if (end < bytes.length) appendBytes(partial, bytes.subarray(end));
      const complete = bytes.subarray(0, end);
      if (end > 0) parser.feed(complete.toString('utf8'));
      return complete;
    },
    isRepeating: () => repeating,
    reset() {
      partial = createByteBuffer(Infinity);
      resumedAfter = splitter.lastId;
      isFirst = true;
      repeating = false;
      parser.reset();
    },
    partialBytes: () => partial.length,
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
