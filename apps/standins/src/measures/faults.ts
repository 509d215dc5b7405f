/** Poison requests, broken streams, store outages and node loss under load. */
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
import {
  seededRandom,
  type MeasurementResult,
  type Measurement,
} from './figures.js';
import {omitRequests, runLoad, type LoadResult} from './load.js';

const FAILURE_DOMAINS = ['gulberg', 'dha', 'johar'];
const REQUESTS_PER_SECOND = 40;
const LOAD_SECONDS = 8;
const OUTAGE_SECONDS = 20;
const POISON_REQUEST_COUNT = 8;

function startFaultScenario(
  engineDomains: readonly string[],
): Promise<Scenario> {
  return startScenario({
    domains: FAILURE_DOMAINS,
    engineDomains,
    engine: {coldLimit: 6, warmLimit: 8, restartMs: 400},
    logLevel: 'error',
  });
}

/**
 * Waits up to 25 s for the bills of complete answers; resolves with the number
 * of bills that are still missing.
 */
async function countUnbilled(
  scenario: Scenario,
  load: LoadResult,
): Promise<number> {
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

/** One caller repeats a request that crashes upstreams, among normal load. */
export const measurePoison: Measurement = async (seed, logProgress) => {
  const random = seededRandom(seed);
  const scenario = await startFaultScenario([...FAILURE_DOMAINS, 'gulberg']);
  const {nodes} = scenario.cluster;
  try {
    const load = runLoad({
      nodes: () => nodes,
      requestsPerSecond: REQUESTS_PER_SECOND,
      seconds: LOAD_SECONDS,
      random,
      label: `innocent ${seed}`,
    });
    await new Promise(resolve => setTimeout(resolve, 1_000));
    const verdicts: string[] = [];
    for (let round = 0; round < POISON_REQUEST_COUNT; round += 1) {
      const node = nodes[Math.floor(random() * nodes.length)];
      const prompt = `${POISON_WORD} ${seed}`;
      const answer = await chat(node.callers, CUSTOMER_KEY, prompt);
      verdicts.push(answer.error?.kind ?? 'whole');
      logProgress(`poison request ${round + 1}: ${verdicts.at(-1)}`);
    }
    const result = await load;
    const crashCount = [...scenario.engines.instances.values()].reduce(
      (sum, engine) => sum + engine.crashes,
      0,
    );
    const falselySuspected = result.sent.filter(
      ({answer}) => answer.error?.kind === 'suspected-poison',
    ).length;
    const broken = result.cut + result.wrong;
    return {
      violations: (crashCount > 2 ? 1 : 0) + falselySuspected + broken,
      upstreamsLost: crashCount,
      innocentsAccused: falselySuspected,
      verdicts,
      innocents: omitRequests(result),
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
const FAULT_RATIO = 0.3;

/** A fault is injected into three of ten streams. */
export const measureStreams: Measurement = async seed => {
  const random = seededRandom(seed);
  const scenario = await startFaultScenario(FAILURE_DOMAINS);
  let faults = 0;
  for (const engine of scenario.engines.instances.values())
    engine.fault = () => {
      if (random() >= FAULT_RATIO) return undefined;
      faults += 1;
      return STREAM_FAULTS[Math.floor(random() * STREAM_FAULTS.length)];
    };
  try {
    const result = await runLoad({
      nodes: () => scenario.cluster.nodes,
      requestsPerSecond: REQUESTS_PER_SECOND,
      seconds: LOAD_SECONDS,
      random,
      label: `stream ${seed}`,
    });
    const missing = await countUnbilled(scenario, result);
    return {
      violations: result.cut + result.wrong + missing,
      faults,
      unbilled: missing,
      ...omitRequests(result),
    };
  } finally {
    await closeScenario(scenario);
  }
};

/** The store is unavailable for a time under load. */
export const measureOutage: Measurement = async (seed, logProgress) => {
  const random = seededRandom(seed);
  const scenario = await startFaultScenario(FAILURE_DOMAINS);
  const {cluster} = scenario;
  const load = (label: string, seconds: number) =>
    runLoad({
      nodes: () => cluster.nodes,
      requestsPerSecond: REQUESTS_PER_SECOND,
      seconds,
      random,
      label: `${label} ${seed}`,
    });
  try {
    const before = await load('before', 4);
    logProgress(`store unavailable for ${OUTAGE_SECONDS} s`);
    startOutage(cluster.store);
    const during = await load('during', OUTAGE_SECONDS);
    endOutage(cluster.store);
    logProgress('store available again');
    const after = await load('after', 4);
    let missing = 0;
    for (const result of [before, during, after])
      missing += await countUnbilled(scenario, result);
    const broken = [before, during, after].reduce(
      (sum, result) => sum + result.cut + result.wrong + result.failed,
      0,
    );
    return {
      violations: broken + missing,
      unbilled: missing,
      before: omitRequests(before),
      during: omitRequests(during),
      after: omitRequests(after),
    } satisfies MeasurementResult;
  } finally {
    await closeScenario(scenario);
  }
};

/** Nodes are stopped or killed in turn and replaced, under load. */
export const measureChurn: Measurement = async (seed, logProgress) => {
  const random = seededRandom(seed);
  const scenario = await startFaultScenario(FAILURE_DOMAINS);
  const {cluster} = scenario;
  const readyNodes = new Set(cluster.nodes);
  try {
    const load = runLoad({
      nodes: () => [...readyNodes],
      requestsPerSecond: REQUESTS_PER_SECOND,
      seconds: 24,
      random,
      label: `churn ${seed}`,
    });
    for (let round = 0; round < 4; round += 1) {
      const replacement = await addNode(
        cluster,
        `vm-r${round}`,
        FAILURE_DOMAINS[round % 3],
      );
      await waitUntilReady(replacement);
      readyNodes.add(replacement);
      const removed = cluster.nodes[0];
      const graceful = round % 2 === 0;
      logProgress(`${graceful ? 'stopping' : 'killing'} ${removed.name}`);
      if (graceful) {
        const stopped = removed.stop();
        // A load balancer notices only after a delay that a node is not ready.
        await new Promise(resolve => setTimeout(resolve, 150));
        readyNodes.delete(removed);
        await stopped;
      } else {
        await removed.kill();
        readyNodes.delete(removed);
      }
      cluster.nodes.shift();
      await new Promise(resolve => setTimeout(resolve, 1_500));
      cluster.vmList.vms.delete(removed.name);
      await new Promise(resolve => setTimeout(resolve, 1_500));
    }
    const result = await load;
    const missing = await countUnbilled(scenario, result);
    return {
      // A killed node cuts the streams that it was serving, so cut requests
      // don't count; wrong answers and missing bills do.
      violations: result.wrong + missing,
      unbilled: missing,
      ...omitRequests(result),
    };
  } finally {
    await closeScenario(scenario);
  }
};
