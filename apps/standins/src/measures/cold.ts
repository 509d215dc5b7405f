/** Overload of a single cold upstream by 3, 9 and 18 nodes. */
import {chat} from '../client.js';
import {closeScenario, CUSTOMER_KEY, startScenario} from '../scenario.js';
import {
  seededRandom,
  type MeasurementResult,
  type Measurement,
} from './figures.js';

const WARM_LIMIT_COUNT = 12;
const COLD_LIMIT_COUNT = 2;
const LOAD_SECONDS = 12;
const NODE_COUNTS = [3, 9, 18] as const;
const FAILURE_DOMAINS = ['gulberg', 'dha', 'johar'];
const CALLER_PAUSE_MS = 20;
const CALLERS_PER_NODE = 4;

interface ColdStartRun {
  /** Greatest number of running jobs above the concurrency limit. */
  readonly beyondBearable: number;
  readonly crashes: number;
  /** Complete answers; their text is not checked. */
  readonly whole: number;
  /** Seconds until the number of running jobs first reached the warm limit minus 1. */
  readonly toFullSeconds: number | null;
}

/**
 * Sends more requests than one cold upstream can run. Without `withColdLimit`
 * its warm limit is declared as the cold one.
 */
async function runColdStart(
  seed: number,
  nodes: number,
  withColdLimit: boolean,
): Promise<ColdStartRun> {
  const scenario = await startScenario({
    domains: Array.from(
      {length: nodes},
      (_, index) => FAILURE_DOMAINS[index % 3],
    ),
    engineDomains: ['gulberg'],
    engine: {
      coldLimit: COLD_LIMIT_COUNT,
      warmLimit: WARM_LIMIT_COUNT,
      completionsPerLimitStep: 2,
      tokenMs: 10,
      restartMs: 500,
    },
    ...(!withColdLimit && {declaredColdLimit: WARM_LIMIT_COUNT}),
    logLevel: 'error',
  });
  const [engine] = scenario.engines.instances.values();
  const random = seededRandom(seed);
  const startedAt = Date.now();
  const endAt = startedAt + LOAD_SECONDS * 1_000;
  let whole = 0;
  let fullAt: number | null = null;
  const sampler = setInterval(() => {
    if (fullAt === null && engine.running.size >= WARM_LIMIT_COUNT - 1)
      fullAt = Date.now();
  }, 5);
  const runCaller = async (index: number) => {
    const node = scenario.cluster.nodes[index % nodes];
    for (let round = 0; Date.now() < endAt; round += 1) {
      const prompt = `cold ${seed}/${index}/${round}`;
      const answer = await chat(node.callers, CUSTOMER_KEY, prompt);
      if (answer.complete) whole += 1;
      const pause =
        CALLER_PAUSE_MS * (1 + random()) * (answer.complete ? 1 : 5);
      await new Promise(resolve => setTimeout(resolve, pause));
    }
  };
  const callers = Array.from({length: nodes * CALLERS_PER_NODE}, (_, index) =>
    runCaller(index),
  );
  await Promise.all(callers);
  clearInterval(sampler);
  const {peakExcessJobs: overload, crashes} = engine;
  await closeScenario(scenario);
  return {
    beyondBearable: overload,
    crashes,
    whole,
    toFullSeconds: fullAt === null ? null : (fullAt - startedAt) / 1_000,
  };
}

/** Runs each number of nodes with the cold limit, and 3 nodes without as baseline. */
export const measureCold: Measurement = async (seed, logProgress) => {
  const figures: Record<string, unknown> = {};
  let violations = 0;
  for (const nodes of NODE_COUNTS) {
    logProgress(`${nodes} nodes`);
    const run = await runColdStart(seed, nodes, true);
    if (run.beyondBearable > 0 || run.crashes > 0) violations += 1;
    figures[`nodes${nodes}`] = run;
  }
  logProgress('3 nodes without a cold limit');
  figures['baselineNoColdLimit'] = await runColdStart(seed, 3, false);
  return {violations, ...figures} satisfies MeasurementResult;
};
