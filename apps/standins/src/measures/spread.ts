/** Simulates the time for a change to reach all nodes by heartbeat pulls. */
import {round, seededRandom, type MeasurementResult} from './figures.js';

/**
 * Values of the router: peers asked per round, interval of rounds, and nodes of
 * each failure domain that watch the store (tailers).
 */
const FANOUT_PEER_COUNT = 3;
const ROUND_INTERVAL_SECONDS = 0.8;
const TAILERS_PER_DOMAIN = 2;
const MAX_SPREAD_SECONDS = 8;
const RUN_COUNT = 200;

const CLUSTER_SIZES = [
  {nodes: 9, domains: 3},
  {nodes: 90, domains: 3},
  {nodes: 360, domains: 12},
] as const;

/** Seconds until the last node has the change; nodes pull at random phases. */
function simulateSpread(
  nodes: number,
  domains: number,
  random: () => number,
): number {
  const knownAt = Array<number>(nodes).fill(Infinity);
  for (let node = 0; node < domains * TAILERS_PER_DOMAIN; node += 1)
    knownAt[node] = 0;
  const pulls: Array<{at: number; node: number}> = [];
  for (let node = 0; node < nodes; node += 1) {
    const phase = random() * ROUND_INTERVAL_SECONDS;
    for (
      let at = phase;
      at < 3 * MAX_SPREAD_SECONDS;
      at += ROUND_INTERVAL_SECONDS
    )
      pulls.push({at, node});
  }
  pulls.sort((a, b) => a.at - b.at);
  for (const {at, node} of pulls) {
    if (knownAt[node] <= at) continue;
    for (let attempt = 0; attempt < FANOUT_PEER_COUNT; attempt += 1) {
      const peerIndex = Math.floor(random() * nodes);
      if (knownAt[peerIndex] <= at) knownAt[node] = at;
    }
  }
  return Math.max(...knownAt);
}

/** Measures the seconds from the tailers' receipt of a change to the last node's. */
export async function measureSpread(seed: number): Promise<MeasurementResult> {
  const random = seededRandom(seed);
  let violations = 0;
  const figures: Record<string, unknown> = {};
  for (const {nodes, domains} of CLUSTER_SIZES) {
    const times = Array.from({length: RUN_COUNT}, () =>
      simulateSpread(nodes, domains, random),
    ).sort((a, b) => a - b);
    const most = times[RUN_COUNT - 1];
    if (most > MAX_SPREAD_SECONDS) violations += 1;
    figures[`nodes${nodes}`] = {
      median: round(times[RUN_COUNT / 2], 2),
      most: round(most, 2),
    };
  }
  return {violations, ...figures};
}
