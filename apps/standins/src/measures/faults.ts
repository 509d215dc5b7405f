/** Poison requests, broken streams, store outages and dying nodes, under load. */
import {readBills} from '../bills.js';
import {chat} from '../client.js';
import {addNode, waitUntilReady, until} from '../cluster.js';
import {POISON_WORD, type StreamFault} from '../engine.js';
import {
  closeScenario,
  CUSTOMER_KEY,
  startScenario,
  type Scenario,
} from '../scenario.js';
import {endOutage, startOutage} from '../store.js';
import {seeded, type Figures, type Measure} from './figures.js';
import {countsOf, runLoad, type LoadResult} from './load.js';

const PLACES = ['gulberg', 'dha', 'johar'];
const RATE = 40;
const SECONDS = 8;
const OUTAGE_SECONDS = 20;
const POISON_TRIES = 8;

function start(engineDomains: readonly string[]): Promise<Scenario> {
  return startScenario({
    domains: PLACES,
    engineDomains,
    engine: {coldLimit: 6, warmLimit: 8, restartMs: 400},
    logLevel: 'error',
  });
}

/** Whole answers without a bill in the store. */
async function unbilled(scenario: Scenario, load: LoadResult): Promise<number> {
  const ids = load.sent
    .filter(({answer}) => answer.complete)
    .map(({answer}) => String(answer.headers['x-request-id']));
  const missing = () => {
    const bills = readBills(scenario.cluster.store);
    const billed = new Set(bills.map(bill => bill.requestId));
    return ids.filter(id => !billed.has(id)).length;
  };
  await until('bills', () => missing() === 0, 25_000).catch(() => {});
  return missing();
}

/** A caller that sends a crashing request again and again, among others. */
export const measurePoison: Measure = async (seed, say) => {
  const random = seeded(seed);
  const scenario = await start([...PLACES, 'gulberg']);
  const {nodes} = scenario.cluster;
  try {
    const load = runLoad({
      nodes: () => nodes,
      requestsPerSecond: RATE,
      seconds: SECONDS,
      random,
      label: `innocent ${seed}`,
    });
    await new Promise(resolve => setTimeout(resolve, 1_000));
    const verdicts: string[] = [];
    for (let round = 0; round < POISON_TRIES; round += 1) {
      const node = nodes[Math.floor(random() * nodes.length)];
      const prompt = `${POISON_WORD} ${seed}`;
      const answer = await chat(node.callers, CUSTOMER_KEY, prompt);
      verdicts.push(answer.error?.kind ?? 'whole');
      say(`poison try ${round + 1}: ${verdicts.at(-1)}`);
    }
    const result = await load;
    const lost = [...scenario.engines.instances.values()].reduce(
      (sum, engine) => sum + engine.crashes,
      0,
    );
    const accused = result.sent.filter(
      ({answer}) => answer.error?.kind === 'suspected-poison',
    ).length;
    const broken = result.cut + result.wrong;
    return {
      violations: (lost > 2 ? 1 : 0) + accused + broken,
      upstreamsLost: lost,
      innocentsAccused: accused,
      verdicts,
      innocents: countsOf(result),
    };
  } finally {
    await closeScenario(scenario);
  }
};

const STREAM_FAULTS: readonly StreamFault[] = [
  {cutAfterTokens: 0},
  {cutAfterTokens: 3},
  {endAfterTokens: 2},
  {foreignFrameAfterTokens: 1},
  {duplicateFrames: true},
  {skippedIndex: 4},
];
const FAULT_SHARE = 0.3;

/** Three of ten streams broken in some way. */
export const measureStreams: Measure = async seed => {
  const random = seeded(seed);
  const scenario = await start(PLACES);
  let faults = 0;
  for (const engine of scenario.engines.instances.values())
    engine.fault = () => {
      if (random() >= FAULT_SHARE) return undefined;
      faults += 1;
      return STREAM_FAULTS[Math.floor(random() * STREAM_FAULTS.length)];
    };
  try {
    const result = await runLoad({
      nodes: () => scenario.cluster.nodes,
      requestsPerSecond: RATE,
      seconds: SECONDS,
      random,
      label: `stream ${seed}`,
    });
    const missing = await unbilled(scenario, result);
    return {
      violations: result.cut + result.wrong + missing,
      faults,
      unbilled: missing,
      ...countsOf(result),
    };
  } finally {
    await closeScenario(scenario);
  }
};

/** The store away for a while under load. */
export const measureOutage: Measure = async (seed, say) => {
  const random = seeded(seed);
  const scenario = await start(PLACES);
  const {cluster} = scenario;
  const load = (label: string, seconds: number) =>
    runLoad({
      nodes: () => cluster.nodes,
      requestsPerSecond: RATE,
      seconds,
      random,
      label: `${label} ${seed}`,
    });
  try {
    const before = await load('before', 4);
    say(`store away for ${OUTAGE_SECONDS} s`);
    startOutage(cluster.store);
    const during = await load('during', OUTAGE_SECONDS);
    endOutage(cluster.store);
    say('store back');
    const after = await load('after', 4);
    let missing = 0;
    for (const result of [before, during, after])
      missing += await unbilled(scenario, result);
    const broken = [before, during, after].reduce(
      (sum, result) => sum + result.cut + result.wrong + result.failed,
      0,
    );
    return {
      violations: broken + missing,
      unbilled: missing,
      before: countsOf(before),
      during: countsOf(during),
      after: countsOf(after),
    } satisfies Figures;
  } finally {
    await closeScenario(scenario);
  }
};

/** Nodes killed and replaced, and stopped and replaced, under load. */
export const measureChurn: Measure = async (seed, say) => {
  const random = seeded(seed);
  const scenario = await start(PLACES);
  const {cluster} = scenario;
  const ready_ = new Set(cluster.nodes);
  try {
    const load = runLoad({
      nodes: () => [...ready_],
      requestsPerSecond: RATE,
      seconds: 24,
      random,
      label: `churn ${seed}`,
    });
    for (let round = 0; round < 4; round += 1) {
      const fresh = await addNode(cluster, `vm-r${round}`, PLACES[round % 3]);
      await waitUntilReady(fresh);
      ready_.add(fresh);
      const victim = cluster.nodes[0];
      const planned = round % 2 === 0;
      say(`${planned ? 'stopping' : 'killing'} ${victim.name}`);
      if (planned) {
        const stopped = victim.stop();
        // The balancer's lag: it turns away from a node that is not ready.
        await new Promise(resolve => setTimeout(resolve, 150));
        ready_.delete(victim);
        await stopped;
      } else {
        await victim.kill();
        ready_.delete(victim);
      }
      cluster.nodes.shift();
      await new Promise(resolve => setTimeout(resolve, 1_500));
      cluster.vmList.vms.delete(victim.name);
      await new Promise(resolve => setTimeout(resolve, 1_500));
    }
    const result = await load;
    const missing = await unbilled(scenario, result);
    return {
      // A killed node cuts what it was serving; a wrong answer or a lost bill
      // is a breach.
      violations: result.wrong + missing,
      unbilled: missing,
      ...countsOf(result),
    };
  } finally {
    await closeScenario(scenario);
  }
};
