/** The key that all nodes share, and the field that carries it. */
import {timingSafeEqual} from 'node:crypto';

/** Metadata field with the key that all nodes share. */
export const PEER_KEY_FIELD = 'x-peer-key';

/** Compares keys in a time that does not depend on where they differ. */
export function isSameKey(received: string, expected: string): boolean {
  const receivedBytes = Buffer.from(received);
  const expectedBytes = Buffer.from(expected);
  if (receivedBytes.length !== expectedBytes.length) return false;
  return timingSafeEqual(receivedBytes, expectedBytes);
}
