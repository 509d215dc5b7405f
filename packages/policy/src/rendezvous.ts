/**
 * Rendezvous hashing: all nodes rank a set in the same way for a key without a
 * message between them, and a member that comes or goes moves only its own
 * rank.
 */
import {createHash} from 'node:crypto';

/** A name as 32 bits. */
export function digestOf(name: string): number {
  return createHash('sha256').update(name).digest().readInt32LE();
}

/** Something that is ranked, with the digest of its name. */
export interface Ranked {
  readonly digest: number;
}

function weightOf(key: number, {digest}: Ranked): number {
  let bits = key ^ digest;
  bits = Math.imul(bits ^ (bits >>> 16), 0x85ebca6b);
  bits = Math.imul(bits ^ (bits >>> 13), 0xc2b2ae35);
  return (bits ^ (bits >>> 16)) >>> 0;
}

/** Rank of one among all for a key; 0 is the first. */
export function rankFor(
  key: number,
  one: Ranked,
  all: Iterable<Ranked>,
): number {
  const weight = weightOf(key, one);
  let rank = 0;
  for (const other of all) {
    if (weightOf(key, other) > weight) rank += 1;
  }
  return rank;
}
