/** First-token time by the pure balance decision, against plain rules. */
import {chooseUpstream, type UpstreamView} from '@parsleyarch/policy/balance';
import {rankCandidates} from '@parsleyarch/protocol/rendezvous';
import {
  histogram,
  percentiles,
  round,
  seeded,
  type Figures,
} from './figures.js';

const UPSTREAMS = 6;
const NODES = 3;
const DOMAINS = ['a', 'b', 'c'];
const WARM = 8;
const SESSIONS = 240;
const CACHE = 60;
const SERVICE_MS = 800;
const PREFILL_MS = 200;
const HIT_PREFILL_MS = 60;
const REPORT_LAG_MS = 500;
const DISTANCE_MS = 1;
const REQUESTS = 20_000;

interface Sim {
  readonly name: string;
  readonly domain: string;
  readonly ends: number[];
  /** Running as each node started them. */
  readonly own: number[];
  readonly cache: string[];
  /** Running at earlier moments, for lagging reports. */
  readonly past: Array<{at: number; running: number}>;
  readonly waiting: Array<() => void>;
}

type Rule = (
  sims: readonly Sim[],
  node: number,
  session: string,
  now: number,
) => Sim;

function reported(sim: Sim, now: number): number {
  let running = 0;
  for (const {at, running: then} of sim.past) {
    if (at > now - REPORT_LAG_MS) break;
    running = then;
  }
  return running;
}

/** A full upstream starts a request when the one that frees its place ends. */
function startAt(sim: Sim, now: number): number {
  const over = sim.ends.length - WARM;
  if (over < 0) return now;
  const sorted = [...sim.ends].sort((a, b) => a - b);
  return Math.max(now, sorted[over]);
}

function view(sim: Sim, node: number, now: number): UpstreamView {
  const others = sim.ends.length - sim.own[node];
  return {
    name: sim.name,
    spec: {
      failureDomain: sim.domain,
      address: 'http://upstream',
      versions: ['v'],
      coldLimit: WARM,
      warmLimit: WARM,
      state: 'in',
      checksOrders: true,
    },
    domainOut: false,
    vmLeaving: false,
    reachable: true,
    credits: Math.max(0, WARM - others),
    inFlight: sim.own[node],
    reportedRunning: reported(sim, now),
    limit: WARM,
    suspects: 0,
  };
}

function ours(random: () => number): Rule {
  return (sims, node, session, now) => {
    const order = rankCandidates(
      session,
      sims.map(sim => sim.name),
    );
    const choice = chooseUpstream(
      sims.map(sim => view(sim, node, now)),
      {
        version: 'v',
        failureDomain: DOMAINS[node],
        affinity: name => -order.indexOf(name),
        avoid: new Set(),
        suspect: false,
      },
      random,
    );
    if (choice) return sims.find(sim => sim.name === choice.upstream)!;
    // All are full: nodes keep such requests and give them what is free first.
    return sims.reduce((a, b) => (startAt(b, now) < startAt(a, now) ? b : a));
  };
}

function roundRobin(): Rule {
  let next = 0;
  return sims => sims[(next += 1) % sims.length];
}

const leastByReport: Rule = (sims, _node, _session, now) =>
  sims.reduce((a, b) => (reported(b, now) < reported(a, now) ? b : a));

/** Serves the same arrivals under a rule, one event at a time. */
function run(seed: number, load: number, rule: Rule) {
  const random = seeded(seed);
  const sims: Sim[] = Array.from({length: UPSTREAMS}, (_, index) => ({
    name: `u${index}`,
    domain: DOMAINS[index % DOMAINS.length],
    ends: [],
    own: Array<number>(NODES).fill(0),
    cache: [],
    past: [],
    waiting: [],
  }));
  const leaves: Array<{at: number; sim: Sim; node: number}> = [];
  const first = histogram();
  let hits = 0;
  let now = 0;
  const gap = SERVICE_MS / (UPSTREAMS * WARM * load);
  for (let request = 0; request < REQUESTS; request += 1) {
    now -= Math.log(1 - random()) * gap;
    leaves.sort((a, b) => a.at - b.at);
    while (leaves.length > 0 && leaves[0].at <= now) {
      const {at, sim, node} = leaves.shift()!;
      sim.own[node] -= 1;
      sim.ends.splice(sim.ends.indexOf(at), 1);
      sim.past.push({at, running: sim.ends.length});
    }
    const node = Math.floor(random() * NODES);
    const session = `s${Math.floor(random() ** 2 * SESSIONS)}`;
    const service = SERVICE_MS * (0.5 + random());
    const sim = rule(sims, node, session, now);
    const known = sim.cache.indexOf(session);
    if (known >= 0) sim.cache.splice(known, 1);
    sim.cache.push(session);
    if (sim.cache.length > CACHE) sim.cache.shift();
    if (known >= 0) hits += 1;
    const begins = startAt(sim, now);
    const prefill = known >= 0 ? HIT_PREFILL_MS : PREFILL_MS;
    const far = sim.domain === DOMAINS[node] ? 0 : 2 * DISTANCE_MS;
    first.recordValue(Math.round(begins - now + prefill + far));
    const at = begins + service;
    sim.ends.push(at);
    sim.own[node] += 1;
    sim.past.push({at: now, running: sim.ends.length});
    if (sim.past.length > 500) sim.past.splice(0, 250);
    leaves.push({at, sim, node});
  }
  return {...percentiles(first), hitShare: round(hits / REQUESTS)};
}

/** Three loads, three rules. */
export async function measureBalance(seed: number): Promise<Figures> {
  const figures: Record<string, unknown> = {};
  for (const load of [0.5, 0.8, 0.95]) {
    figures[`load${load * 100}`] = {
      parsleyarch: run(seed, load, ours(seeded(seed + 1))),
      roundRobin: run(seed, load, roundRobin()),
      leastByReport: run(seed, load, leastByReport),
    };
  }
  return {violations: 0, ...figures};
}
