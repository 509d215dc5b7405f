/** What every measurement returns, and the small statistics they share. */
import {build, type Histogram} from 'hdr-histogram-js';
import * as prand from 'pure-rand';

/** Figures of one run, beside those of its baselines. */
export interface Figures {
  /** Breaches of a promise. */
  readonly violations: number;
  readonly [name: string]: unknown;
}

/** One measurement; progress goes to `say`. */
export type Measure = (
  seed: number,
  say: (text: string) => void,
) => Promise<Figures>;

/** Uniform numbers in [0, 1) that depend only on the seed. */
export function seeded(seed: number): () => number {
  const generator = prand.xoroshiro128plus(seed);
  return () =>
    prand.unsafeUniformIntDistribution(0, 0xffff_fffe, generator) / 0xffff_ffff;
}

/** An empty histogram of milliseconds. */
export function histogram(): Histogram {
  return build({numberOfSignificantValueDigits: 3});
}

/** The usual percentiles of a histogram, milliseconds. */
export function percentiles(values: Histogram) {
  return {
    p50: values.getValueAtPercentile(50),
    p95: values.getValueAtPercentile(95),
    p99: values.getValueAtPercentile(99),
  };
}

/** A number with few digits. */
export function round(value: number, digits = 3): number {
  return Number(value.toFixed(digits));
}
