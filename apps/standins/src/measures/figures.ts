/** Result type and statistics helpers shared by all measurements. */
import {build, type Histogram} from 'hdr-histogram-js';
import * as prand from 'pure-rand';

/** Figures of one run and of its baselines. */
export interface MeasurementResult {
  /** Number of violated guarantees. */
  readonly violations: number;
  readonly [name: string]: unknown;
}

/** One measurement; `logProgress` receives progress messages. */
export type Measurement = (
  seed: number,
  logProgress: (text: string) => void,
) => Promise<MeasurementResult>;

/** Deterministic generator of uniform numbers in [0, 1). */
export function seededRandom(seed: number): () => number {
  const generator = prand.xoroshiro128plus(seed);
  return () =>
    prand.unsafeUniformIntDistribution(0, 0xffff_fffe, generator) / 0xffff_ffff;
}

/** Creates an empty histogram of milliseconds. */
export function createHistogram(): Histogram {
  return build({numberOfSignificantValueDigits: 3});
}

/** Percentiles of a histogram, milliseconds. */
export function readPercentiles(values: Histogram) {
  return {
    p50: values.getValueAtPercentile(50),
    p95: values.getValueAtPercentile(95),
    p99: values.getValueAtPercentile(99),
  };
}

/** Rounds to a number of decimal places. */
export function round(value: number, digits = 3): number {
  return Number(value.toFixed(digits));
}
