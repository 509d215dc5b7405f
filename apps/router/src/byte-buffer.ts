/** Joins bytes as they arrive: a list of chunks takes far more memory than its bytes. */

/** Capacity of a buffer when the first bytes arrive, unless fewer are expected. */
const FIRST_CAPACITY_BYTES = 4 << 10;

/** Bytes received so far. */
export interface ByteBuffer {
  bytes: Buffer;
  length: number;
  /** Number of bytes that it will never exceed. */
  readonly maxBytes: number;
}

/** Creates an empty buffer. */
export function createByteBuffer(maxBytes: number): ByteBuffer {
  return {bytes: Buffer.alloc(0), length: 0, maxBytes};
}

/** Capacity of the buffer once some bytes are added, which must not exceed its maximum. */
export function capacityWith(
  {bytes, length, maxBytes}: ByteBuffer,
  addedBytes: number,
): number {
  const needed = length + addedBytes;
  if (needed <= bytes.length) return bytes.length;
  const grown = Math.max(needed, 2 * bytes.length, FIRST_CAPACITY_BYTES);
  return Math.min(maxBytes, grown);
}

/** Adds bytes. */
export function appendBytes(buffer: ByteBuffer, added: Buffer): void {
  const capacity = capacityWith(buffer, added.length);
  if (capacity > buffer.bytes.length) {
    // Not from the shared pool, which would outlive the bytes.
    const grown = Buffer.allocUnsafeSlow(capacity);
    buffer.bytes.copy(grown, 0, 0, buffer.length);
    buffer.bytes = grown;
  }
  added.copy(buffer.bytes, buffer.length);
  buffer.length += added.length;
}

/** The bytes received, without unused capacity if that is more than half. */
export function takeBytes({bytes, length}: ByteBuffer): Buffer {
  const received = bytes.subarray(0, length);
  return length * 2 < bytes.length ? Buffer.from(received) : received;
}
