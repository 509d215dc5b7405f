/**
 * Nodes that choose upstreams by load of some age: arrivals, upstreams with places and a
 * pace, and what a node knows when it chooses. Only queues are modelled; a decision under
 * test is a function of the view.
 */
import {
  estimatePace,
  recordPace,
  type PaceHistory,
} from '@parsleyarch/policy/pace';
import {round, seededRandom} from './figures.js';

/** A service and the load on it. */
export interface Scenario {
  readonly nodeCount: number;
  readonly upstreamCount: number;
  /** Requests that an upstream serves at the same time. */
  readonly slots: number;
  /** Time of a unit of work, milliseconds. */
  readonly workMs: number;
  /** Work of requests, each as likely as the others. */
  readonly sizes: readonly number[];
  /** Part of the work that a cached prompt saves; 0 without prompts. */
  readonly cachedRatio: number;
  /** Part of the requests that all have the same prompt. */
  readonly hotRatio: number;
  /** Mean load over the places, without the work that caches save. */
  readonly utilization: number;
  /** Mean age of the load that nodes know; they get it anew after the same time. */
  readonly ageMs: number;
  /** How much longer work takes at some upstreams for some seconds; 1 for none. */
  readonly slowFactor: number;
  readonly domainCount: number;
  /** How far the load of a failure domain swings, each at its own phase. */
  readonly domainSwing: number;
  /** Part of the nodes that get no load of others in the second half. */
  readonly cutOffRatio: number;
}

/** What a node knows when it chooses; work is in units. */
export interface View {
  readonly scenario: Scenario;
  readonly node: number;
  readonly now: number;
  /** Work of the other nodes at each upstream when they last reported it. */
  readonly others: readonly number[];
  /** Time since that report. */
  readonly ageMs: number;
  /** Work of this node at each upstream. */
  readonly own: readonly number[];
  /** Work that all nodes send in a millisecond. */
  readonly workPerMs: number;
  readonly paces: readonly number[];
  /** Work of the request without a cached prompt. */
  readonly size: number;
  /** Upstreams at which its prompt is expected, the likeliest first. */
  readonly homes: readonly number[];
  /** Requests with its prompt that this node sent in the last PROMPT_MEMORY_MS. */
  readonly samePrompt: number;
  /** Time since an answer told this node that nothing waits at an upstream. */
  readonly idleSinceMs: (upstream: number) => number | undefined;
  readonly random: () => number;
}

/** Returns the index of an upstream. */
export type Rule = (view: View) => number;

export const PROMPT_MEMORY_MS = 4_000;
/** Time for which requests that are done count for what nodes know. */
const JOB_MEMORY_MS = 4_000;
/** Old requests that are dropped at a time. */
const DROPPED_JOB_COUNT = 500;
const DURATION_MS = 9_000;
const WARM_UP_MS = 2_000;
const WINDOW_MS = 500;
/** Time for which an upstream keeps a prompt. */
const CACHE_MS = 8_000;
/** Load swings by this ratio with this period, and comes in bursts. */
const WAVE_RATIO = 0.4;
const WAVE_PERIOD_MS = 13_000;
const BURST_SIZE = 4;
const BURST_CHANCE = 0.25;
/** Part of the upstreams that are slow, and for how long. */
const SLOW_RATIO = 0.2;
const SLOW_PERIOD_MS = 3_000;
/** Prompts that come in a second, relative to the requests. */
const PROMPTS_PER_REQUEST = 1.2;

interface Job {
  readonly node: number;
  readonly upstream: number;
  readonly work: number;
  readonly sentAt: number;
  readonly doneAt: number;
  readonly pace: number;
  /** When the next request was sent to the same upstream. */
  followedAt?: number;
}

interface News {
  at: number;
  snapshotAt: number;
  others: number[];
  paces: Array<PaceHistory | undefined>;
  workPerMs: number;
}

interface Model {
  readonly scenario: Scenario;
  readonly random: () => number;
  readonly jobs: Job[];
  /** Requests that were running when each node last sent one. */
  readonly jobsByNode: Job[][];
  /** When each place of each upstream is free. */
  readonly freeAt: number[][];
  readonly lastJobs: Array<Job | undefined>;
  readonly cachedAt: Array<Map<number, number>>;
  readonly news: News[];
  readonly lastJobsByNode: Array<Map<number, Job>>;
  readonly promptTimes: Array<Map<number, number[]>>;
  readonly phases: number[];
}

function times<T>(count: number, create: (index: number) => T): T[] {
  return Array.from({length: count}, (_, index) => create(index));
}

function createModel(scenario: Scenario, seed: number): Model {
  const {nodeCount, upstreamCount, slots} = scenario;
  const random = seededRandom(seed);
  return {
    scenario,
    random,
    jobs: [],
    jobsByNode: times(nodeCount, () => []),
    freeAt: times(upstreamCount, () => times(slots, () => 0)),
    lastJobs: times(upstreamCount, () => undefined),
    cachedAt: times(upstreamCount, () => new Map()),
    news: times(nodeCount, () => ({
      at: -Infinity,
      snapshotAt: 0,
      others: times(upstreamCount, () => 0),
      paces: [],
      workPerMs: 0,
    })),
    lastJobsByNode: times(nodeCount, () => new Map()),
    promptTimes: times(nodeCount, () => new Map()),
    phases: times(nodeCount, () => random()),
  };
}

/** Time that work takes at an upstream, relative to the usual time. */
function paceAt({scenario}: Model, upstream: number, now: number): number {
  const period = Math.floor(now / SLOW_PERIOD_MS + upstream * 0.618);
  const hash = Math.sin(period * 127.1 + upstream * 311.7) * 43_758.5453;
  return hash - Math.floor(hash) < SLOW_RATIO ? scenario.slowFactor : 1;
}

function dropOldJobs({jobs}: Model, now: number): void {
  let old = 0;
  while (old < jobs.length && jobs[old].doneAt < now - JOB_MEMORY_MS) old += 1;
  if (old > DROPPED_JOB_COUNT) jobs.splice(0, old);
}

/** Brings a node the load as it was some time ago. */
function refreshNews(model: Model, node: number, now: number): void {
  const {scenario, jobs, phases} = model;
  const {ageMs, upstreamCount} = scenario;
  const news = model.news[node];
  const isCutOff = node < scenario.cutOffRatio * scenario.nodeCount;
  if (isCutOff && now > DURATION_MS / 2) return;
  const round = Math.floor(now / ageMs - phases[node]);
  const at = ageMs > 0 ? (round + phases[node]) * ageMs : now;
  if (at <= news.at) return;
  news.at = at;
  news.snapshotAt = Math.max(0, at - ageMs / 2);
  news.others = times(upstreamCount, () => 0);
  news.paces = [];
  let sentWork = 0;
  for (const job of jobs) {
    const {upstream, work, sentAt, doneAt, pace} = job;
    if (sentAt > news.snapshotAt) break;
    if (sentAt > news.snapshotAt - 1_000) sentWork += work;
    if (doneAt <= news.snapshotAt)
      news.paces[upstream] = recordPace(news.paces[upstream], pace, doneAt);
    else if (job.node !== node) news.others[upstream] += work;
  }
  news.workPerMs = sentWork / 1_000;
}

function ownWork(model: Model, node: number, now: number): number[] {
  const own = times(model.scenario.upstreamCount, () => 0);
  const running = model.jobsByNode[node].filter(({doneAt}) => doneAt > now);
  model.jobsByNode[node] = running;
  for (const {upstream, work} of running) own[upstream] += work;
  return own;
}

interface Request {
  readonly node: number;
  readonly size: number;
  readonly prompt: number;
}

/** Load of a failure domain, relative to its mean. */
function domainLoad(
  domain: number,
  {domainCount, domainSwing}: Scenario,
  now: number,
): number {
  const phase = now / WAVE_PERIOD_MS + domain / domainCount;
  return 1 + domainSwing * Math.sin(2 * Math.PI * phase);
}

function drawRequest(
  {scenario, random}: Model,
  promptCount: number,
  now: number,
): Request {
  const {sizes, hotRatio, nodeCount, domainCount, domainSwing} = scenario;
  // Nodes are unevenly loaded: one gets up to twice the mean.
  let node = Math.floor(random() ** 1.3 * nodeCount);
  while (
    random() >
    domainLoad(node % domainCount, scenario, now) / (1 + domainSwing)
  )
    node = Math.floor(random() ** 1.3 * nodeCount);
  const size = sizes[Math.floor(random() * sizes.length)];
  const prompt =
    random() < hotRatio ? 0 : 1 + Math.floor(random() ** 1.3 * promptCount);
  return {node, size, prompt};
}

function countSamePrompt(
  model: Model,
  {node, prompt}: Request,
  now: number,
): number {
  const known = model.promptTimes[node].get(prompt) ?? [];
  const recent = known.filter(at => at > now - PROMPT_MEMORY_MS);
  model.promptTimes[node].set(prompt, [...recent, now]);
  return recent.length;
}

function createView(
  model: Model,
  request: Request,
  now: number,
  random: () => number,
): View {
  const {scenario} = model;
  const {node, size, prompt} = request;
  refreshNews(model, node, now);
  const news = model.news[node];
  const count = scenario.upstreamCount;
  const homes = [(prompt * 7_919) % count, (prompt * 104_729 + 13) % count];
  const idleSinceMs = (upstream: number) => {
    const last = model.lastJobsByNode[node].get(upstream);
    if (!last || last.doneAt > now) return undefined;
    const wasFollowed = (last.followedAt ?? Infinity) < last.doneAt;
    return wasFollowed ? undefined : now - last.doneAt;
  };
  return {
    scenario,
    node,
    now,
    others: news.others,
    ageMs: now - news.snapshotAt,
    own: ownWork(model, node, now),
    workPerMs: news.workPerMs,
    paces: times(count, index =>
      estimatePace(undefined, news.paces[index], now),
    ),
    size,
    homes: scenario.cachedRatio > 0 ? homes : [],
    samePrompt: countSamePrompt(model, request, now),
    idleSinceMs,
    random,
  };
}

/** Sends a request; returns its wait and the time until it is done. */
function send(
  model: Model,
  {node, size, prompt}: Request,
  upstream: number,
  now: number,
) {
  const {scenario, freeAt, cachedAt} = model;
  const places = freeAt[upstream];
  const place = places.indexOf(Math.min(...places));
  const cached = now - (cachedAt[upstream].get(prompt) ?? -Infinity) < CACHE_MS;
  cachedAt[upstream].set(prompt, now);
  const work = size * (cached ? 1 - scenario.cachedRatio : 1);
  const startAt = Math.max(now, places[place]);
  const pace = paceAt(model, upstream, startAt);
  const doneAt = startAt + work * scenario.workMs * pace;
  places[place] = doneAt;
  const job = {node, upstream, work, sentAt: now, doneAt, pace};
  const last = model.lastJobs[upstream];
  if (last) last.followedAt = now;
  model.lastJobs[upstream] = job;
  model.lastJobsByNode[node].set(upstream, job);
  model.jobs.push(job);
  model.jobsByNode[node].push(job);
  return {waitMs: startAt - now, tookMs: doneAt - now, work, cached};
}

/** What callers get, and how even the load was. */
export interface Figures {
  /** Work at the busiest upstream over the mean, in windows of half a second. */
  readonly busiestOverMean: number;
  /** Part of the requests that wait while a place is idle elsewhere. */
  readonly waitWhileIdle: number;
  readonly waitP95Ms: number;
  readonly meanMs: number;
  readonly p95Ms: number;
  readonly cachedRatio: number;
  /** Part of the requests that are sent to another failure domain. */
  readonly otherDomainRatio: number;
}

function percentile95(values: number[]): number {
  values.sort((a, b) => a - b);
  return Math.round(values[Math.floor(values.length * 0.95)] ?? 0);
}

function meanBusiest(windows: readonly number[][]): number {
  const ratios: number[] = [];
  for (const window of windows) {
    if (!window) continue;
    const mean = window.reduce((a, b) => a + b, 0) / window.length;
    ratios.push(Math.max(...window) / mean);
  }
  return ratios.reduce((a, b) => a + b, 0) / ratios.length;
}

/** Mean time between two arrivals, milliseconds. */
function meanGapMs({scenario}: Model): number {
  const {utilization, upstreamCount, slots, workMs, sizes} = scenario;
  const meanSize = sizes.reduce((a, b) => a + b, 0) / sizes.length;
  return (workMs * meanSize) / (utilization * upstreamCount * slots);
}

/** Times of arrivals: waves, and bursts of some requests within a millisecond. */
function* arrivals(model: Model): Generator<number> {
  const gapMs = meanGapMs(model) * (1 + BURST_CHANCE * (BURST_SIZE - 1));
  let now = 0;
  while (now < DURATION_MS) {
    const wave =
      1 + WAVE_RATIO * Math.sin((2 * Math.PI * now) / WAVE_PERIOD_MS);
    now += (-Math.log(1 - model.random()) * gapMs) / wave;
    const size = model.random() < BURST_CHANCE ? BURST_SIZE : 1;
    for (let index = 0; index < size; index += 1) yield (now += 0.2);
  }
}

/** Plays the load of a seed under a rule; arrivals are the same for all rules. */
export function playLoad(
  scenario: Scenario,
  rule: Rule,
  seed: number,
): Figures {
  const model = createModel(scenario, seed);
  const choose = seededRandom(seed + 1);
  const promptCount = (1_000 / meanGapMs(model)) * PROMPTS_PER_REQUEST;
  const waits: number[] = [];
  const totals: number[] = [];
  const windows: number[][] = [];
  let idle = 0;
  let cached = 0;
  let otherDomain = 0;
  for (const now of arrivals(model)) {
    dropOldJobs(model, now);
    const request = drawRequest(model, promptCount, now);
    const upstream = rule(createView(model, request, now, choose));
    const hasIdle = model.freeAt.some(places => Math.min(...places) <= now);
    const sent = send(model, request, upstream, now);
    if (now < WARM_UP_MS) continue;
    waits.push(sent.waitMs);
    totals.push(sent.tookMs);
    if (sent.waitMs > 1 && hasIdle) idle += 1;
    if (sent.cached) cached += 1;
    const {domainCount} = scenario;
    if (upstream % domainCount !== request.node % domainCount) otherDomain += 1;
    const window = Math.floor(now / WINDOW_MS);
    windows[window] ??= times(scenario.upstreamCount, () => 0);
    windows[window][upstream] += sent.work;
  }
  return {
    busiestOverMean: round(meanBusiest(windows), 2),
    waitWhileIdle: round(idle / waits.length, 3),
    waitP95Ms: percentile95(waits),
    meanMs: Math.round(totals.reduce((a, b) => a + b, 0) / totals.length),
    p95Ms: percentile95(totals),
    cachedRatio: round(cached / totals.length, 2),
    otherDomainRatio: round(otherDomain / totals.length, 2),
  };
}
