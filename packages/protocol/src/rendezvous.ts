/** Rendezvous hashing: every node ranks the same candidates in the same order. */
import {createHash} from 'node:crypto';

/** A uniform number in [0, 1) that depends only on the text. */
export function hashUnit(text: string): number {
  const digest = createHash('sha1').update(text).digest();
  return digest.readUInt32BE(0) / 0x1_0000_0000;
}

/** Orders candidates for a key, best first. */
export function rank(key: string, candidates: readonly string[]): string[] {
  const scored = candidates.map(candidate => ({
    candidate,
    score: hashUnit(`${key}\u0000${candidate}`),
  }));
  scored.sort(
    (a, b) => b.score - a.score || (a.candidate < b.candidate ? -1 : 1),
  );
  return scored.map(({candidate}) => candidate);
}
