/** Passes answers of upstreams on to callers. */
import type {UpstreamAnswer} from '@parsleyarch/platform/headers';
import {createParser} from 'eventsource-parser';
import type {ServerResponse} from 'node:http';
import {isComplete, MAX_BUFFERED_BYTES, type AnswerBody} from './attempt.js';
import type {EntryNode} from './node.js';

/** Writes the status and header of an upstream's answer. */
export function writeHead(
  node: EntryNode,
  response: ServerResponse,
  answer: UpstreamAnswer,
  length?: number,
): void {
  const headers = [...answer.forwarded];
  if (length !== undefined) headers.push('content-length', String(length));
  if (node.stopping) headers.push('connection', 'close');
  response.writeHead(answer.status, headers);
}

/** Reads a body to its end; `undefined` when it is cut or too large. */
export async function collect(body: AnswerBody): Promise<Buffer | undefined> {
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

/** Splits a stream into whole events and keeps the id of the last one. */
export interface EventCutter {
  /** Whole events in the bytes so far; the rest is kept. */
  cut(chunk: Buffer): Buffer;
  lastId: string;
  /** Drops an unfinished event, before the stream goes on elsewhere. */
  reset(): void;
  /** Whether bytes of an unfinished event are held. */
  readonly pending: () => boolean;
}

function findEnd(bytes: Buffer): number {
  const plain = bytes.lastIndexOf('\n\n');
  const carriage = bytes.lastIndexOf('\n\r\n');
  return Math.max(plain < 0 ? 0 : plain + 2, carriage < 0 ? 0 : carriage + 3);
}

/** Creates a cutter that starts after a known event. */
export function createCutter(lastId: string): EventCutter {
  let rest: Buffer = Buffer.alloc(0);
  const cutter: EventCutter = {
    lastId,
    cut(chunk) {
      const bytes = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
      const end = findEnd(bytes);
      rest = bytes.subarray(end);
      const whole = bytes.subarray(0, end);
      if (end > 0) parser.feed(whole.toString('utf8'));
      return whole;
    },
    reset() {
      rest = Buffer.alloc(0);
      parser.reset();
    },
    pending: () => rest.length > 0,
  };
  const parser = createParser({
    onEvent: ({id}) => {
      if (id !== undefined) cutter.lastId = id;
    },
  });
  return cutter;
}

/** Writes bytes and waits while the caller does not read. */
export async function writeBytes(
  response: ServerResponse,
  bytes: Buffer,
): Promise<void> {
  if (bytes.length === 0 || response.destroyed) return;
  if (response.write(bytes)) return;
  await new Promise<void>(resolve => {
    const done = () => {
      response.off('drain', done);
      response.off('close', done);
      resolve();
    };
    response.on('drain', done);
    response.on('close', done);
  });
}
