/** Writes answers to callers, counts what they have not taken, and cuts off slow readers. */
import {wait} from '@parsleyarch/lifecycle/process';
import {HoldingKind, type Holding} from '@parsleyarch/policy/bytes-held';
import {isCutOffForReading, isHeldBack} from '@parsleyarch/policy/slow-readers';
import type {ServerResponse} from 'node:http';
import {LimitKind, recordLimit} from './limit-uses.js';
import {
  closeHolding,
  heldPressure,
  openHolding,
  setHeld,
  type AccountNode,
} from './held-bytes.js';
import type {EntryNode} from './node.js';

const BYTES_PER_KB = 1 << 10;
/** Interval at which a caller that holds its upstream back is checked, milliseconds. */
const READER_CHECK_MS = 50;

type WriterNode = AccountNode & Pick<EntryNode, 'settings'>;

/** Writes a stream to one caller. */
export interface StreamWriter {
  /** Writes bytes; `partialBytes` are held until they can be written. */
  readonly write: (bytes: Buffer, partialBytes?: number) => void;
  /** Whether the upstream has to wait for the caller. */
  readonly isHeldBack: () => boolean;
  /** Waits until the caller has read, or cuts it off. */
  readonly waitForReader: () => Promise<void>;
}

function closeConnection(node: WriterNode, response: ServerResponse): void {
  const {socket} = response.req;
  if (socket.destroyed) return;
  const bytes = response.writableLength;
  recordLimit(node, LimitKind.unread, {bytes});
  socket.destroy();
}

function holdUnread(node: WriterNode, response: ServerResponse): Holding {
  const holding = openHolding(node, HoldingKind.unread, () =>
    closeConnection(node, response),
  );
  response.once('close', () => closeHolding(node, holding));
  return holding;
}

/** Creates the writer of a stream. */
export function createStreamWriter(
  node: WriterNode,
  response: ServerResponse,
): StreamWriter {
  const {streamBufferKb, heldBackMs} = node.settings.clients;
  const limits = {bufferBytes: streamBufferKb * BYTES_PER_KB, heldBackMs};
  let holding: Holding | undefined;
  const count = (partialBytes: number) => {
    const bytes = response.writableLength + partialBytes;
    if (bytes === 0 && !holding) return;
    holding ??= holdUnread(node, response);
    const hasRead = bytes < holding.bytes || response.writableLength === 0;
    if (hasRead) holding.since = node.clock();
    setHeld(node, holding, bytes);
  };
  response.on('drain', () => count(0));
  const isHeld = () =>
    !response.destroyed &&
    isHeldBack(limits, response.writableLength, heldPressure(node));
  return {
    write(bytes, partialBytes = 0) {
      if (bytes.length > 0 && !response.destroyed) response.write(bytes);
      count(partialBytes);
    },
    isHeldBack: isHeld,
    async waitForReader() {
      const startedAt = node.clock();
      while (isHeld()) {
        if (isCutOffForReading(limits, node.clock() - startedAt))
          return closeConnection(node, response);
        await wait(READER_CHECK_MS);
      }
    },
  };
}

/** Ends a stream; its connection is closed if the caller takes no bytes for too long. */
export function endStream(node: WriterNode, response: ServerResponse): void {
  response.end();
  if (response.writableLength === 0) return;
  response.setTimeout(node.settings.clients.unreadMs, () =>
    closeConnection(node, response),
  );
}

/** The same for an answer that is written as a whole, which is held until it is read. */
export function endWithBody(
  node: WriterNode,
  response: ServerResponse,
  body: Buffer,
): void {
  response.end(body);
  const bytes = response.writableLength;
  if (bytes === 0) return;
  setHeld(node, holdUnread(node, response), bytes);
  response.setTimeout(node.settings.clients.unreadMs, () =>
    closeConnection(node, response),
  );
}
