/** The measurements by scenario name; runs one and prints its result. */
import {measureBalance} from './balance.js';
import {measureCascade} from './cascade.js';
import {measureCold} from './cold.js';
import {measureCost} from './cost.js';
import {measureDomain} from './domain.js';
import {
  measureChurn,
  measureOutage,
  measurePoison,
  measureStreams,
} from './faults.js';
import type {Measurement} from './figures.js';
import {measureOrderedRollout} from './ordered-rollout.js';
import {measureOverload} from './overload.js';
import {measureRollout} from './rollout.js';
import {measureSpread} from './spread.js';
import {measureStaleLoad} from './stale-load.js';

export const MEASUREMENTS: Readonly<Record<string, Measurement>> = {
  cascade: measureCascade,
  rollout: measureRollout,
  'ordered-rollout': measureOrderedRollout,
  'cold-start': measureCold,
  balance: measureBalance,
  'domain-out': measureDomain,
  overload: measureOverload,
  poison: measurePoison,
  streams: measureStreams,
  'store-outage': measureOutage,
  'node-churn': measureChurn,
  spread: measureSpread,
  'stale-load': measureStaleLoad,
  'control-cost': measureCost,
};

/** Runs one measurement; the last line printed is its result as JSON. */
export async function runMeasurement(
  scenario: string,
  seed: number,
  quiet: boolean,
): Promise<number> {
  const logProgress = (text: string) => {
    if (!quiet) console.log(`${scenario}: ${text}`);
  };
  const result = await MEASUREMENTS[scenario](seed, logProgress);
  const {violations, ...rest} = result;
  if (!quiet) console.log(JSON.stringify(rest, null, 2));
  console.log(JSON.stringify({scenario, seed, violations, ...rest}));
  return violations;
}
