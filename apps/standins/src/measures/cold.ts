/** Greatest concurrency on one cold upstream, with 3, 9 and 18 nodes. */
import {chat} from '../client.js';
import {closeScenario, CUSTOMER_KEY, startScenario} from '../scenario.js';
import {seeded, type Figures, type Measure} from './figures.js';

const WARM = 12;
const COLD = 2;
const SECONDS = 12;
const NODE_COUNTS = [3, 9, 18] as const;
const PLACES = ['gulberg', 'dha', 'johar'];
const PAUSE_MS = 20;
const CALLERS_PER_NODE = 4;

interface Run {
  readonly beyondBearable: number;
  readonly crashes: number;
  readonly whole: number;
  /** Seconds until the upstream ran as much as it bears when warm. */
  readonly toFullSeconds: number | null;
}

/** Floods one cold upstream; `guarded` off declares it warm from the start. */
async function runOnce(
  seed: number,
  nodes: number,
  guarded: boolean,
): Promise<Run> {
  const scenario = await startScenario({
    domains: Array.from({length: nodes}, (_, at) => PLACES[at % 3]),
    engineDomains: ['gulberg'],
    engine: {
      coldLimit: COLD,
      warmLimit: WARM,
      completionsPerLimitStep: 2,
      tokenMs: 10,
      restartMs: 500,
    },
    ...(!guarded && {declaredColdLimit: WARM}),
    logLevel: 'error',
  });
  const [engine] = scenario.engines.instances.values();
  const random = seeded(seed);
  const startedAt = Date.now();
  const end = startedAt + SECONDS * 1_000;
  let whole = 0;
  let fullAt: number | null = null;
  const watch = setInterval(() => {
    if (fullAt === null && engine.running.size >= WARM - 1) fullAt = Date.now();
  }, 5);
  const caller = async (index: number) => {
    const node = scenario.cluster.nodes[index % nodes];
    for (let round = 0; Date.now() < end; round += 1) {
      const prompt = `cold ${seed}/${index}/${round}`;
      const answer = await chat(node.callers, CUSTOMER_KEY, prompt);
      if (answer.complete) whole += 1;
      const pause = PAUSE_MS * (1 + random()) * (answer.complete ? 1 : 5);
      await new Promise(resolve => setTimeout(resolve, pause));
    }
  };
  const callers = Array.from({length: nodes * CALLERS_PER_NODE}, (_, at) =>
    caller(at),
  );
  await Promise.all(callers);
  clearInterval(watch);
  const {peakExcessJobs: overload, crashes} = engine;
  await closeScenario(scenario);
  return {
    beyondBearable: overload,
    crashes,
    whole,
    toFullSeconds: fullAt === null ? null : (fullAt - startedAt) / 1_000,
  };
}

/** With credits, and without: the cold limit declared as the warm one. */
export const measureCold: Measure = async (seed, say) => {
  const figures: Record<string, unknown> = {};
  let violations = 0;
  for (const nodes of NODE_COUNTS) {
    say(`${nodes} nodes`);
    const run = await runOnce(seed, nodes, true);
    if (run.beyondBearable > 0 || run.crashes > 0) violations += 1;
    figures[`nodes${nodes}`] = run;
  }
  say('3 nodes without a cold limit');
  figures['baselineNoColdLimit'] = await runOnce(seed, 3, false);
  return {violations, ...figures} satisfies Figures;
};
