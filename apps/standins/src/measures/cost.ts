/** What control costs a node as nodes and upstreams grow, and a request's cost. */
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
import {round, seeded, type Measure} from './figures.js';
import {runLoad} from './load.js';

const PLACES = ['a', 'b', 'c'];
const NODE_COUNTS = [2, 4, 8, 16] as const;
/** Heartbeats that a node tells, and upstreams that it chooses among. */
const PEER_COUNTS = [50, 100, 200, 400, 800] as const;
const UPSTREAM_COUNTS = PEER_COUNTS;
const IDLE_SECONDS = 8;
/** Time for start-up work and compilation to be over, milliseconds. */
const SETTLE_MS = 6_000;
/** Clock ticks a second in /proc. */
const TICKS_PER_SECOND = 100;
const KIB = 1_024;

interface Usage {
  readonly cpuSeconds: number;
  readonly rssMb: number;
}

function usageOf(pid: number): Usage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const rss = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
  const ticks = Number(fields[11]) + Number(fields[12]);
  return {cpuSeconds: ticks / TICKS_PER_SECOND, rssMb: rss / KIB};
}

/** Idle nodes: processor, memory, peer bytes and store calls of each. */
async function idleCost(nodes: number) {
  const proxies: FaultProxy[] = [];
  const scenario = await startScenario({
    domains: Array.from({length: nodes}, (_, at) => PLACES[at % 3]),
    engineDomains: PLACES,
    logLevel: 'error',
    peerAddress: async (_node, port) => {
      const proxy = await startProxy(port);
      proxies.push(proxy);
      return `127.0.0.1:${proxy.port}`;
    },
  });
  const pids = scenario.cluster.nodes.map(node => node.process.pid!);
  const {calls} = scenario.cluster.store;
  const total = () =>
    pids.map(usageOf).reduce((sum, usage) => sum + usage.cpuSeconds, 0);
  const bytes = () =>
    proxies.reduce((sum, proxy) => sum + proxy.forwarded.bytes, 0);
  await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
  const before = {cpu: total(), bytes: bytes(), ...calls};
  await new Promise(resolve => setTimeout(resolve, IDLE_SECONDS * 1_000));
  const after = {cpu: total(), bytes: bytes(), ...calls};
  const rss = pids.map(pid => usageOf(pid).rssMb);
  await closeScenario(scenario);
  for (const proxy of proxies) await proxy.close();
  const each = (value: number) => value / nodes / IDLE_SECONDS;
  return {
    cpuPercentOfCore: round(each(after.cpu - before.cpu) * 100, 2),
    peerBytesPerSecond: Math.round(each(after.bytes - before.bytes)),
    rssMb: Math.round(Math.max(...rss)),
    storeReadsPerSecondAll: round((after.read - before.read) / IDLE_SECONDS),
    storeWritesPerSecondAll: round((after.write - before.write) / IDLE_SECONDS),
  };
}

/** Processor time of a request and of a token, from short and long answers. */
async function requestCost(seed: number) {
  const random = seeded(seed);
  const scenario = await startScenario({
    domains: ['a'],
    engineDomains: PLACES,
    engine: {coldLimit: 64, warmLimit: 64, tokenMs: 2, firstTokenMs: 5},
    logLevel: 'info',
  });
  const [node] = scenario.cluster.nodes;
  const load = async (label: string, seconds: number, rate: number) => {
    const before = usageOf(node.process.pid!).cpuSeconds;
    const result = await runLoad({
      nodes: () => [node],
      requestsPerSecond: rate,
      seconds,
      random,
      label: `${label} ${seed}`,
    });
    const used = usageOf(node.process.pid!).cpuSeconds - before;
    const tokens = result.sent.reduce(
      (sum, {answer}) => sum + answer.text.split(' ').length - 1,
      0,
    );
    return {
      requests: result.whole,
      tokensPerRequest: tokens / result.whole,
      cpuMsPerRequest: (used * 1_000) / result.whole,
      firstToken: result.firstToken,
    };
  };
  await load('warm', 5, 60);
  const short = await load('short', 8, 60);
  const long = await load(LONG_WORD, 8, 60);
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

/** Microseconds of one turn, after some turns to warm up. */
function timeOf(turns: number, turn: (at: number) => void): number {
  for (let at = 0; at < turns / 4; at += 1) turn(at);
  const startedAt = performance.now();
  for (let at = 0; at < turns; at += 1) turn(at);
  return round(((performance.now() - startedAt) * 1_000) / turns, 1);
}

/** Time of one choice among many upstreams. */
function upstreamCost() {
  const figures: Record<string, unknown> = {};
  for (const count of UPSTREAM_COUNTS) {
    const views = Array.from({length: count}, (_, at) => makeView(`u${at}`));
    const need = {
      version: 'v',
      failureDomain: 'a',
      avoid: new Set<string>(),
      suspect: false,
      affinity: (name: string) => Number(name.slice(1)) % 17,
    };
    const random = seeded(count);
    figures[`chooseAmong${count}Micros`] = timeOf(2_000, () => {
      chooseUpstream(views, need, random);
    });
  }
  return figures;
}

function makeView(name: string): UpstreamView {
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

/** Time of one call of the pure allocator and membership, microseconds. */
function pureCost() {
  const ROUNDS = 20_000;
  const figures: Record<string, unknown> = {};
  for (const nodes of PEER_COUNTS) {
    const vms = Array.from({length: nodes}, (_, at) => ({
      node: `vm-${at}`,
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
    for (let turn = 0; turn < 50; turn += 1) {
      const fresh = beats.map(beat => ({...beat, sequence: turn + 2}));
      members = mergeHeartbeats(members, fresh, turn);
      collectHeartbeats(members, turn);
    }
    figures[`hearAndTell${nodes}Micros`] = round(
      ((performance.now() - startedAt) * 1_000) / 50,
      1,
    );
  }
  for (const askers of [4, 16, 64]) {
    let state = createAllocation(2, 400, 0, []);
    const startedAt = performance.now();
    for (let turn = 0; turn < ROUNDS; turn += 1) {
      ({state} = grantCredits(
        state,
        {
          node: `vm-${turn % askers}`,
          incarnation: 1,
          upstreamIncarnation: 1,
          knownLimit: 0,
          sequence: turn + 1,
          holding: 1,
          want: 2,
          succeeded: 1,
          failed: false,
        },
        turn / 10,
      ));
    }
    figures[`grantAmong${askers}NodesMicros`] = round(
      ((performance.now() - startedAt) * 1_000) / ROUNDS,
      2,
    );
  }
  return figures;
}

/** Slopes from which docs/CAPACITY.md works out the target size. */
export const measureCost: Measure = async (seed, say) => {
  const idle: Record<string, unknown> = {};
  for (const nodes of NODE_COUNTS) {
    say(`${nodes} idle nodes`);
    idle[`nodes${nodes}`] = await idleCost(nodes);
  }
  say('one node under load');
  const request = await requestCost(seed);
  const pure = {...pureCost(), ...upstreamCost()};
  return {violations: 0, idle, request, pure};
};
