/**
 * Time to first token with the balancing decision, simulated and compared with
 * simple selection rules.
 */
import {chooseUpstream, type UpstreamView} from '@parsleyarch/policy/balance';
import {rankCandidates} from '@parsleyarch/protocol/rendezvous';
import {
  createHistogram,
  readPercentiles,
  round,
  seededRandom,
  type MeasurementResult,
} from './figures.js';

const UPSTREAM_COUNT = 6;
const NODE_COUNT = 3;
const FAILURE_DOMAINS = ['a', 'b', 'c'];
const CONCURRENCY_LIMIT_COUNT = 8;
const SESSION_COUNT = 240;
const CACHED_SESSION_COUNT = 60;
const MEAN_SERVICE_MS = 800;
const MISS_PREFILL_MS = 200;
const HIT_PREFILL_MS = 60;
const REPORT_DELAY_MS = 500;
const CROSS_DOMAIN_ONE_WAY_MS = 1;
const REQUEST_COUNT = 20_000;

interface SimulatedUpstream {
  readonly name: string;
  readonly domain: string;
  readonly endTimes: number[];
  /** Running requests, by index of the node that sent them. */
  readonly inFlightByNode: number[];
  readonly cachedSessions: string[];
  /** Number of running requests over time, for delayed reports. */
  readonly runningHistory: Array<{at: number; running: number}>;
  readonly waiting: Array<() => void>;
}

type SelectionRule = (
  upstreams: readonly SimulatedUpstream[],
  node: number,
  session: string,
  now: number,
) => SimulatedUpstream;

function readReportedRunning(upstream: SimulatedUpstream, now: number): number {
  let running = 0;
  for (const {at, running: runningThen} of upstream.runningHistory) {
    if (at > now - REPORT_DELAY_MS) break;
    running = runningThen;
  }
  return running;
}

/** At the limit, a request starts when enough earlier requests have ended. */
function findStartTime(upstream: SimulatedUpstream, now: number): number {
  const excess = upstream.endTimes.length - CONCURRENCY_LIMIT_COUNT;
  if (excess < 0) return now;
  const sorted = [...upstream.endTimes].sort((a, b) => a - b);
  return Math.max(now, sorted[excess]);
}

function viewUpstream(
  upstream: SimulatedUpstream,
  node: number,
  now: number,
): UpstreamView {
  const inFlightOfOthers =
    upstream.endTimes.length - upstream.inFlightByNode[node];
  return {
    name: upstream.name,
    spec: {
      failureDomain: upstream.domain,
      address: 'http://upstream',
      versions: ['v'],
      coldLimit: CONCURRENCY_LIMIT_COUNT,
      warmLimit: CONCURRENCY_LIMIT_COUNT,
      state: 'in',
      checksOrders: true,
    },
    domainOut: false,
    vmLeaving: false,
    reachable: true,
    credits: Math.max(0, CONCURRENCY_LIMIT_COUNT - inFlightOfOthers),
    inFlight: upstream.inFlightByNode[node],
    reportedRunning: readReportedRunning(upstream, now),
    limit: CONCURRENCY_LIMIT_COUNT,
    suspects: 0,
  };
}

function createBalanceRule(random: () => number): SelectionRule {
  return (upstreams, node, session, now) => {
    const order = rankCandidates(
      session,
      upstreams.map(upstream => upstream.name),
    );
    const choice = chooseUpstream(
      upstreams.map(upstream => viewUpstream(upstream, node, now)),
      {
        version: 'v',
        failureDomain: FAILURE_DOMAINS[node],
        affinity: name => -order.indexOf(name),
        avoid: new Set(),
        suspect: false,
      },
      random,
    );
    if (choice)
      return upstreams.find(upstream => upstream.name === choice.upstream)!;
    // All upstreams are full: a node queues the request and sends it to the
    // first upstream that has a free slot.
    return upstreams.reduce((a, b) =>
      findStartTime(b, now) < findStartTime(a, now) ? b : a,
    );
  };
}

function createRoundRobinRule(): SelectionRule {
  let next = 0;
  return upstreams => upstreams[(next += 1) % upstreams.length];
}

const leastByReport: SelectionRule = (upstreams, _node, _session, now) =>
  upstreams.reduce((a, b) =>
    readReportedRunning(b, now) < readReportedRunning(a, now) ? b : a,
  );

/** Event simulation; arrivals of a seed are the same under every rule. */
function simulate(seed: number, load: number, rule: SelectionRule) {
  const random = seededRandom(seed);
  const upstreams: SimulatedUpstream[] = Array.from(
    {length: UPSTREAM_COUNT},
    (_, index) => ({
      name: `u${index}`,
      domain: FAILURE_DOMAINS[index % FAILURE_DOMAINS.length],
      endTimes: [],
      inFlightByNode: Array<number>(NODE_COUNT).fill(0),
      cachedSessions: [],
      runningHistory: [],
      waiting: [],
    }),
  );
  const completions: Array<{
    at: number;
    upstream: SimulatedUpstream;
    node: number;
  }> = [];
  const firstTokenMs = createHistogram();
  let hits = 0;
  let now = 0;
  const meanInterarrivalMs =
    MEAN_SERVICE_MS / (UPSTREAM_COUNT * CONCURRENCY_LIMIT_COUNT * load);
  for (let request = 0; request < REQUEST_COUNT; request += 1) {
    now -= Math.log(1 - random()) * meanInterarrivalMs;
    completions.sort((a, b) => a.at - b.at);
    while (completions.length > 0 && completions[0].at <= now) {
      const {at, upstream, node} = completions.shift()!;
      upstream.inFlightByNode[node] -= 1;
      upstream.endTimes.splice(upstream.endTimes.indexOf(at), 1);
      upstream.runningHistory.push({at, running: upstream.endTimes.length});
    }
    const node = Math.floor(random() * NODE_COUNT);
    // Squared, so that some sessions send more requests than others.
    const session = `s${Math.floor(random() ** 2 * SESSION_COUNT)}`;
    const serviceMs = MEAN_SERVICE_MS * (0.5 + random());
    const upstream = rule(upstreams, node, session, now);
    const cacheIndex = upstream.cachedSessions.indexOf(session);
    if (cacheIndex >= 0) upstream.cachedSessions.splice(cacheIndex, 1);
    upstream.cachedSessions.push(session);
    if (upstream.cachedSessions.length > CACHED_SESSION_COUNT)
      upstream.cachedSessions.shift();
    if (cacheIndex >= 0) hits += 1;
    const startsAt = findStartTime(upstream, now);
    const prefillMs = cacheIndex >= 0 ? HIT_PREFILL_MS : MISS_PREFILL_MS;
    const networkMs =
      upstream.domain === FAILURE_DOMAINS[node]
        ? 0
        : 2 * CROSS_DOMAIN_ONE_WAY_MS;
    firstTokenMs.recordValue(
      Math.round(startsAt - now + prefillMs + networkMs),
    );
    const at = startsAt + serviceMs;
    upstream.endTimes.push(at);
    upstream.inFlightByNode[node] += 1;
    upstream.runningHistory.push({at: now, running: upstream.endTimes.length});
    // Bounds the scan of the history; the kept entries span far more than
    // REPORT_DELAY_MS.
    if (upstream.runningHistory.length > 500)
      upstream.runningHistory.splice(0, 250);
    completions.push({at, upstream, node});
  }
  return {
    ...readPercentiles(firstTokenMs),
    hitShare: round(hits / REQUEST_COUNT),
  };
}

/** Compares three selection rules at three load levels. */
export async function measureBalance(seed: number): Promise<MeasurementResult> {
  const figures: Record<string, unknown> = {};
  for (const load of [0.5, 0.8, 0.95]) {
    figures[`load${load * 100}`] = {
      parsleyarch: simulate(
        seed,
        load,
        createBalanceRule(seededRandom(seed + 1)),
      ),
      roundRobin: simulate(seed, load, createRoundRobinRule()),
      leastByReport: simulate(seed, load, leastByReport),
    };
  }
  return {violations: 0, ...figures};
}
