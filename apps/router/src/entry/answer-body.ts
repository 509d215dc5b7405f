/** Reads whole answers of upstreams within the limits on their size and on bytes held. */
import {wait} from '@parsleyarch/lifecycle/process';
import {HoldingKind, type Holding} from '@parsleyarch/policy/bytes-held';
import {
  appendBytes,
  capacityWith,
  createByteBuffer,
  takeBytes,
} from '../byte-buffer.js';
import {isComplete, MAX_BUFFERED_BYTES, type AnswerBody} from './attempt.js';
import {
  closeHolding,
  openHolding,
  setHeld,
  type AccountNode,
} from './held-bytes.js';

/** Time for which an answer waits for memory; upstreams cut off unread answers later. */
const ROOM_WAIT_MS = 1_000;
const ROOM_CHECK_MS = 50;

type Body = Pick<AnswerBody, 'message' | 'broken'>;

async function waitForRoom(
  node: AccountNode,
  holding: Holding,
  bytes: number,
): Promise<boolean> {
  const endsAt = node.clock() + ROOM_WAIT_MS;
  while (!setHeld(node, holding, bytes)) {
    if (node.clock() >= endsAt) return false;
    await wait(ROOM_CHECK_MS);
  }
  return true;
}

function discard({message}: Body): undefined {
  message.destroy();
  return undefined;
}

async function collectAnswer(
  node: AccountNode,
  holding: Holding,
  body: Body,
): Promise<Buffer | undefined> {
  const announced = Number(body.message.headers['content-length'] ?? NaN);
  if (announced > MAX_BUFFERED_BYTES) return discard(body);
  // All at once, or many answers that wait for each other would all be given up.
  if (announced > 0 && !(await waitForRoom(node, holding, announced)))
    return discard(body);
  const buffer = createByteBuffer(announced || MAX_BUFFERED_BYTES);
  try {
    for await (const chunk of body.message as AsyncIterable<Buffer>) {
      if (buffer.length + chunk.length > buffer.maxBytes) return undefined;
      const capacity = Math.max(
        holding.bytes,
        capacityWith(buffer, chunk.length),
      );
      if (!(await waitForRoom(node, holding, capacity))) return undefined;
      appendBytes(buffer, chunk);
    }
  } catch {
    return undefined;
  }
  return isComplete(body) ? takeBytes(buffer) : undefined;
}

/** Reads a complete body; `undefined` if it is truncated or too large. */
export async function readAnswerBody(
  node: AccountNode,
  body: Body,
): Promise<Buffer | undefined> {
  // An answer is never given up: its upstream has run the request.
  const holding = openHolding(node, HoldingKind.answer, () => {});
  try {
    return await collectAnswer(node, holding, body);
  } finally {
    closeHolding(node, holding);
  }
}
