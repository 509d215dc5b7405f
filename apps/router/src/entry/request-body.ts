/** Reads request bodies within the limits on their size and on all bytes held. */
import {failure, type Failure} from '@parsleyarch/errors/failure';
import {HoldingKind, type Holding} from '@parsleyarch/policy/bytes-held';
import type {IncomingMessage} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {
  appendBytes,
  capacityWith,
  createByteBuffer,
  takeBytes,
  type ByteBuffer,
} from '../byte-buffer.js';
import {LimitKind, recordLimit} from './limit-uses.js';
import {
  closeHolding,
  openHolding,
  setHeld,
  type AccountNode,
} from './held-bytes.js';
import type {EntryNode} from './node.js';

/** The body, or `undefined` if the caller disconnected or reading was stopped. */
type BodyResult = Result<Buffer | undefined, Failure>;

/** A body that is being read or held. */
export interface BodyReading {
  readonly result: Promise<BodyResult>;
  /** Stops reading; what arrives later is discarded. */
  readonly stop: () => void;
  /** Ends the count of its bytes. */
  readonly release: () => void;
}

const NO_BYTES = Buffer.alloc(0);
/** Time after which a caller should retry if there is no memory for its body, milliseconds. */
const MEMORY_RETRY_AFTER_MS = 300;

function createOversize(maxBytes: number): Failure {
  return failure(
    'body-too-large',
    `request body exceeds the limit of ${maxBytes} bytes`,
  );
}

/** The body has not been received, so nothing has run the request and nothing will. */
function createMemoryFailure(): Failure {
  return failure('overloaded', 'no memory for the request body', {
    retryAfterMs: MEMORY_RETRY_AFTER_MS,
  });
}

/** Length that a request states; `undefined` if it is sent in chunks or has no body. */
function findAnnouncedLength({headers}: IncomingMessage): number | undefined {
  const length = headers['content-length'];
  return length === undefined ? undefined : Number(length);
}

/** Adds bytes to a body; returns why they are not accepted. */
function addChunk(
  node: AccountNode,
  holding: Holding,
  buffer: ByteBuffer,
  chunk: Buffer,
): Failure | undefined {
  if (buffer.length + chunk.length > buffer.maxBytes) {
    recordLimit(node, LimitKind.bodyBytes);
    return createOversize(buffer.maxBytes);
  }
  if (!setHeld(node, holding, capacityWith(buffer, chunk.length))) {
    recordLimit(node, LimitKind.heldBytes, {kind: 'own'});
    return createMemoryFailure();
  }
  appendBytes(buffer, chunk);
  return undefined;
}

/** Starts to read the body of a request. */
export function readRequestBody(
  node: AccountNode & Pick<EntryNode, 'routes'>,
  request: IncomingMessage,
): BodyReading {
  const maxBytes = node.routes?.table.limits.bodyBytes ?? 0;
  const announced = findAnnouncedLength(request);
  if (announced !== undefined && announced > maxBytes) {
    recordLimit(node, LimitKind.bodyBytes, {announced});
    const result = Promise.resolve(err(createOversize(maxBytes)));
    return {result, stop: () => {}, release: () => {}};
  }
  const buffer = createByteBuffer(announced ?? maxBytes);
  let resolve: (result: BodyResult) => void;
  const result = new Promise<BodyResult>(settle => (resolve = settle));
  let isDone = false;
  const finish = (outcome: BodyResult) => {
    if (isDone) return;
    isDone = true;
    request.off('data', collect);
    // The listeners for the end of the request keep the buffer reachable.
    buffer.bytes = NO_BYTES;
    if (!outcome.unwrapOr(undefined)) closeHolding(node, holding);
    resolve(outcome);
  };
  const holding = openHolding(node, HoldingKind.incoming, () =>
    finish(err(createMemoryFailure())),
  );
  const collect = (chunk: Buffer) => {
    const problem = addChunk(node, holding, buffer, chunk);
    if (problem) finish(err(problem));
  };
  request.on('data', collect);
  request.once('end', () => {
    const body = takeBytes(buffer);
    holding.kind = HoldingKind.accepted;
    setHeld(node, holding, body.length);
    finish(ok(request.complete ? body : undefined));
  });
  request.once('close', () => finish(ok(undefined)));
  return {
    result,
    stop: () => finish(ok(undefined)),
    release: () => closeHolding(node, holding),
  };
}
