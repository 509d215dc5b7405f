/** The measurements by name, and how one is run and printed. */
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
import type {Measure} from './figures.js';
import {measureOverload} from './overload.js';
import {measureRollout} from './rollout.js';
import {measureSpread} from './spread.js';

/** Every measurement. */
export const MEASURES: Readonly<Record<string, Measure>> = {
  cascade: measureCascade,
  rollout: measureRollout,
  'cold-start': measureCold,
  balance: measureBalance,
  'domain-out': measureDomain,
  overload: measureOverload,
  poison: measurePoison,
  streams: measureStreams,
  'store-outage': measureOutage,
  'node-churn': measureChurn,
  spread: measureSpread,
  'control-cost': measureCost,
};

/** Runs one measurement; the last line printed is its result as JSON. */
export async function runMeasure(
  scenario: string,
  seed: number,
  quiet: boolean,
): Promise<number> {
  const say = (text: string) => {
    if (!quiet) console.log(`${scenario}: ${text}`);
  };
  const figures = await MEASURES[scenario](seed, say);
  const {violations, ...rest} = figures;
  if (!quiet) console.log(JSON.stringify(rest, null, 2));
  console.log(JSON.stringify({scenario, seed, violations, ...rest}));
  return violations;
}
