/**
 * Overhead of the control plane per node as nodes and upstreams increase, and
 * processor time per request.
 */
import {chooseUpstream, type UpstreamView} from '@parsleyarch/policy/balance';
import {grantCredits, createAllocation} from '@parsleyarch/protocol/credit';
import {
  applyVmList,
  createMembership,
  collectHeartbeats,
  mergeHeartbeats,
} from '@parsleyarch/protocol/membership';
import {readFileSync} from 'node:fs';
import {LONG_WORD} from '../engine.js';
import {startProxy, type FaultProxy} from '../proxy.js';
import {closeScenario, startScenario} from '../scenario.js';
import {round, seededRandom, type Measurement} from './figures.js';
import {runLoad} from './load.js';

const FAILURE_DOMAINS = ['a', 'b', 'c'];
const NODE_COUNTS = [2, 4, 8, 16] as const;
/** Numbers of heartbeats that a node relays, and of candidate upstreams. */
const PEER_COUNTS = [50, 100, 200, 400, 800] as const;
const UPSTREAM_COUNTS = PEER_COUNTS;
const IDLE_SECONDS = 8;
/** Time after which start-up work and JIT compilation have finished. */
const START_UP_MS = 6_000;
/** Clock ticks per second, the unit of processor time in /proc. */
const TICKS_PER_SECOND = 100;
const KIB_PER_MIB = 1_024;

interface ProcessUsage {
  readonly cpuSeconds: number;
  readonly rssMb: number;
}

function readUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const rss = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
  const ticks = Number(fields[11]) + Number(fields[12]);
  return {cpuSeconds: ticks / TICKS_PER_SECOND, rssMb: rss / KIB_PER_MIB};
}

/**
 * Processor time, memory and peer traffic per idle node, and store calls of
 * all nodes together.
 */
async function measureIdleCost(nodes: number) {
  const proxies: FaultProxy[] = [];
  const scenario = await startScenario({
    domains: Array.from(
      {length: nodes},
      (_, index) => FAILURE_DOMAINS[index % 3],
    ),
    engineDomains: FAILURE_DOMAINS,
    logLevel: 'error',
    peerAddress: async (_node, port) => {
      const proxy = await startProxy(port);
      proxies.push(proxy);
      return `127.0.0.1:${proxy.port}`;
    },
  });
  const pids = scenario.cluster.nodes.map(node => node.process.pid!);
  const {calls} = scenario.cluster.store;
  const totalCpuSeconds = () =>
    pids.map(readUsage).reduce((sum, usage) => sum + usage.cpuSeconds, 0);
  const totalPeerBytes = () =>
    proxies.reduce((sum, proxy) => sum + proxy.forwarded.bytes, 0);
  await new Promise(resolve => setTimeout(resolve, START_UP_MS));
  const before = {cpu: totalCpuSeconds(), bytes: totalPeerBytes(), ...calls};
  await new Promise(resolve => setTimeout(resolve, IDLE_SECONDS * 1_000));
  const after = {cpu: totalCpuSeconds(), bytes: totalPeerBytes(), ...calls};
  const rss = pids.map(pid => readUsage(pid).rssMb);
  await closeScenario(scenario);
  for (const proxy of proxies) await proxy.close();
  const perNodePerSecond = (value: number) => value / nodes / IDLE_SECONDS;
  return {
    cpuPercentOfCore: round(perNodePerSecond(after.cpu - before.cpu) * 100, 2),
    peerBytesPerSecond: Math.round(
      perNodePerSecond(after.bytes - before.bytes),
    ),
    rssMb: Math.round(Math.max(...rss)),
    storeReadsPerSecondAll: round((after.read - before.read) / IDLE_SECONDS),
    storeWritesPerSecondAll: round((after.write - before.write) / IDLE_SECONDS),
  };
}

/**
 * Processor time per request and per token, derived from the difference between
 * short and long answers.
 */
async function measureRequestCost(seed: number) {
  const random = seededRandom(seed);
  const scenario = await startScenario({
    domains: ['a'],
    engineDomains: FAILURE_DOMAINS,
    engine: {coldLimit: 64, warmLimit: 64, tokenMs: 2, firstTokenMs: 5},
    logLevel: 'info',
  });
  const [node] = scenario.cluster.nodes;
  const runPhase = async (label: string, seconds: number, rate: number) => {
    const before = readUsage(node.process.pid!).cpuSeconds;
    const result = await runLoad({
      nodes: () => [node],
      requestsPerSecond: rate,
      seconds,
      random,
      label: `${label} ${seed}`,
    });
    const cpuSeconds = readUsage(node.process.pid!).cpuSeconds - before;
    const tokens = result.sent.reduce(
      (sum, {answer}) => sum + answer.text.split(' ').length - 1,
      0,
    );
    return {
      requests: result.whole,
      tokensPerRequest: tokens / result.whole,
      cpuMsPerRequest: (cpuSeconds * 1_000) / result.whole,
      firstToken: result.firstToken,
    };
  };
  await runPhase('warm', 5, 60);
  const short = await runPhase('short', 8, 60);
  const long = await runPhase(LONG_WORD, 8, 60);
  await closeScenario(scenario);
  const perToken =
    (long.cpuMsPerRequest - short.cpuMsPerRequest) /
    (long.tokensPerRequest - short.tokensPerRequest);
  const perRequest = short.cpuMsPerRequest - perToken * short.tokensPerRequest;
  return {
    short,
    long,
    cpuMicrosPerToken: round(perToken * 1_000, 1),
    cpuMsPerRequestWithoutTokens: round(perRequest),
  };
}

/** Mean microseconds per call, after a warm-up of a quarter of the calls. */
function timeMicros(
  iterations: number,
  call: (iteration: number) => void,
): number {
  for (let iteration = 0; iteration < iterations / 4; iteration += 1)
    call(iteration);
  const startedAt = performance.now();
  for (let iteration = 0; iteration < iterations; iteration += 1)
    call(iteration);
  return round(((performance.now() - startedAt) * 1_000) / iterations, 1);
}

/** Microseconds per choice of an upstream, by number of upstreams. */
function timeUpstreamChoice() {
  const figures: Record<string, unknown> = {};
  for (const count of UPSTREAM_COUNTS) {
    const views = Array.from({length: count}, (_, index) =>
      createUpstreamView(`u${index}`),
    );
    const requirement = {
      version: 'v',
      failureDomain: 'a',
      avoid: new Set<string>(),
      suspect: false,
      affinity: (name: string) => Number(name.slice(1)) % 17,
    };
    const random = seededRandom(count);
    figures[`chooseAmong${count}Micros`] = timeMicros(2_000, () => {
      chooseUpstream(views, requirement, random);
    });
  }
  return figures;
}

function createUpstreamView(name: string): UpstreamView {
  return {
    name,
    spec: {
      failureDomain: 'a',
      address: 'http://upstream',
      versions: ['v'],
      coldLimit: 2,
      warmLimit: 8,
      state: 'in',
      checksOrders: true,
    },
    domainOut: false,
    vmLeaving: false,
    reachable: true,
    credits: 4,
    inFlight: 1,
    reportedRunning: 2,
    limit: 8,
    suspects: 0,
  };
}

/** Microseconds per call of the membership and credit allocation functions. */
function timePureCalls() {
  const GRANT_COUNT = 20_000;
  const figures: Record<string, unknown> = {};
  for (const nodes of PEER_COUNTS) {
    const vms = Array.from({length: nodes}, (_, index) => ({
      node: `vm-${index}`,
      address: '',
      failureDomain: 'a',
      state: 'live' as const,
    }));
    let members = applyVmList(createMembership('vm-0'), vms);
    const beats = vms.slice(1).map(({node}) => ({
      node,
      incarnation: 1,
      sequence: 1,
      revision: 1,
      confirmedAgeMs: 0,
      storeReachable: true,
      stopping: false,
      ageMs: 0,
    }));
    const startedAt = performance.now();
    for (let iteration = 0; iteration < 50; iteration += 1) {
      const newBeats = beats.map(beat => ({...beat, sequence: iteration + 2}));
      members = mergeHeartbeats(members, newBeats, iteration);
      collectHeartbeats(members, iteration);
    }
    figures[`hearAndTell${nodes}Micros`] = round(
      ((performance.now() - startedAt) * 1_000) / 50,
      1,
    );
  }
  for (const nodeCount of [4, 16, 64]) {
    let state = createAllocation(2, 400, 0, []);
    const startedAt = performance.now();
    for (let request = 0; request < GRANT_COUNT; request += 1) {
      ({state} = grantCredits(
        state,
        {
          node: `vm-${request % nodeCount}`,
          incarnation: 1,
          upstreamIncarnation: 1,
          knownLimit: 0,
          sequence: request + 1,
          holding: 1,
          want: 2,
          succeeded: 1,
          failed: false,
        },
        request / 10,
      ));
    }
    figures[`grantAmong${nodeCount}NodesMicros`] = round(
      ((performance.now() - startedAt) * 1_000) / GRANT_COUNT,
      2,
    );
  }
  return figures;
}

/** The growth rates from which docs/CAPACITY.md derives the target size. */
export const measureCost: Measurement = async (seed, logProgress) => {
  const idle: Record<string, unknown> = {};
  for (const nodes of NODE_COUNTS) {
    logProgress(`${nodes} idle nodes`);
    idle[`nodes${nodes}`] = await measureIdleCost(nodes);
  }
  logProgress('one node under load');
  const request = await measureRequestCost(seed);
  const pure = {...timePureCalls(), ...timeUpstreamChoice()};
  return {violations: 0, idle, request, pure};
};
