/** Time until a change is known everywhere, by rounds of pulled heartbeats. */
import {round, seeded, type Figures} from './figures.js';

/** As the router runs it: peers asked in a round, and the pause between. */
const FANOUT = 3;
const PERIOD_SECONDS = 0.8;
const TAILERS_PER_DOMAIN = 2;
const BOUND_SECONDS = 8;
const RUNS = 200;

const SIZES = [
  {nodes: 9, domains: 3},
  {nodes: 90, domains: 3},
  {nodes: 360, domains: 12},
] as const;

/** Seconds until the last node knows, each node asking at its own phase. */
function runOnce(nodes: number, domains: number, random: () => number): number {
  const knownAt = Array<number>(nodes).fill(Infinity);
  for (let at = 0; at < domains * TAILERS_PER_DOMAIN; at += 1) knownAt[at] = 0;
  const asks: Array<{at: number; node: number}> = [];
  for (let node = 0; node < nodes; node += 1) {
    const phase = random() * PERIOD_SECONDS;
    for (let at = phase; at < 3 * BOUND_SECONDS; at += PERIOD_SECONDS)
      asks.push({at, node});
  }
  asks.sort((a, b) => a.at - b.at);
  for (const {at, node} of asks) {
    if (knownAt[node] <= at) continue;
    for (let peer = 0; peer < FANOUT; peer += 1) {
      const asked = Math.floor(random() * nodes);
      if (knownAt[asked] <= at) knownAt[node] = at;
    }
  }
  return Math.max(...knownAt);
}

/** Seconds from the tailers' watch to the last node. */
export async function measureSpread(seed: number): Promise<Figures> {
  const random = seeded(seed);
  let violations = 0;
  const figures: Record<string, unknown> = {};
  for (const {nodes, domains} of SIZES) {
    const times = Array.from({length: RUNS}, () =>
      runOnce(nodes, domains, random),
    ).sort((a, b) => a - b);
    const most = times[RUNS - 1];
    if (most > BOUND_SECONDS) violations += 1;
    figures[`nodes${nodes}`] = {
      median: round(times[RUNS / 2], 2),
      most: round(most, 2),
    };
  }
  return {violations, ...figures};
}
