/** Seeded random numbers for tests. */
import * as prand from 'pure-rand';

/** Uniform numbers in [0, 1) that depend only on the seed. */
export function seededRandom(seed: number): () => number {
  const generator = prand.xoroshiro128plus(seed);
  return () =>
    prand.unsafeUniformIntDistribution(0, 0xffff_fffe, generator) / 0xffff_ffff;
}
