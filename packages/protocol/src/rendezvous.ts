/** Rendezvous hashing: all nodes rank a set of candidates in the same order. */
import {createHash} from 'node:crypto';

/** Hashes a text to a uniformly distributed number in [0, 1). */
export function hashToUnitInterval(text: string): number {
  const digest = createHash('sha1').update(text).digest();
  return digest.readUInt32BE(0) / 0x1_0000_0000;
}

/** Sorts the candidates by their score for a key, highest first. */
export function rankCandidates(
  key: string,
  candidates: readonly string[],
): string[] {
  const scored = candidates.map(candidate => ({
    candidate,
    score: hashToUnitInterval(`${key}\u0000${candidate}`),
  }));
  scored.sort(
    (a, b) => b.score - a.score || (a.candidate < b.candidate ? -1 : 1),
  );
  return scored.map(({candidate}) => candidate);
}
