/**
 * What this node remembers of its sends in order to place the next ones: how much work it
 * sends to each service, how often requests with the same shared prompt come, and how
 * far it is in the sequence of its draws.
 */
import type {ScopedReuse} from '@parsleyarch/peer/messages';
import {
  countRecent,
  expectArrivals,
  recordArrival,
  type Arrivals,
} from '@parsleyarch/policy/arrivals';
import {shareIntervalMs} from '@parsleyarch/policy/load-sharing';
import {
  addReuse,
  decayReuse,
  expectReuse,
  recordReuse,
  type TimedReuse,
} from '@parsleyarch/policy/prompt-reuse';
import {
  createSpreadPositions,
  nextPosition,
  type SpreadPositions,
} from '@parsleyarch/policy/spread-positions';
import type {Draw, Expectation} from '@parsleyarch/policy/stale-load';
import type {EntryNode} from './node.js';

/** Requests with one prompt in some seconds from which on it counts as frequent. */
const FREQUENT_COUNT = 1.5;
/** Period of the draws by the time of day, which is nearly the same on all nodes. */
const DRAW_PERIOD_MS = 500;

export interface Placing {
  /** Work sent, by service. */
  readonly work: Arrivals;
  /** Requests sent, by cache key of the shared segments with which they begin. */
  readonly prompts: Arrivals;
  /** How often shared parts of prompts come again, by service and model. */
  readonly reuse: Map<string, TimedReuse>;
  readonly positions: SpreadPositions;
}

export function createPlacing(): Placing {
  return {
    work: new Map(),
    prompts: new Map(),
    reuse: new Map(),
    positions: createSpreadPositions(),
  };
}

/** Records the work of a send. */
export function recordWorkSent(
  node: EntryNode,
  service: string,
  work: number,
): void {
  recordArrival(node.placing.work, service, work, node.clock());
}

/** Records that a request was sent whose prompt begins with shared segments. */
export function recordPromptSent(
  node: EntryNode,
  /** Service and model. */
  scope: string,
  sharedKeys: readonly string[],
): void {
  const {prompts, reuse} = node.placing;
  const now = node.clock();
  const key = sharedKeys.at(-1);
  if (key !== undefined) {
    const earlier = countRecent(prompts, key, now);
    // Prompts that this node gets often say nothing of the others.
    if (earlier < FREQUENT_COUNT)
      reuse.set(scope, recordReuse(reuse.get(scope), earlier > 0, now));
  }
  for (const shared of sharedKeys) recordArrival(prompts, shared, 1, now);
}

/** Counts of the prompts of this node, for other nodes. */
export function listPromptReuse(node: EntryNode): ScopedReuse[] {
  const now = node.clock();
  return [...node.placing.reuse].map(([scope, known]) => {
    const {sent, repeated} = decayReuse(known, now);
    return {scope, sent, repeated};
  });
}

/** Probability that any node has sent the shared part of a prompt a short time before. */
export function expectPromptReuse(
  node: EntryNode,
  scope: string,
  sharedKey: string,
): number {
  const {prompts, reuse} = node.placing;
  const now = node.clock();
  if (countRecent(prompts, sharedKey, now) > 0) return 1;
  const known = reuse.get(scope);
  const own = known ? decayReuse(known, now) : {sent: 0, repeated: 0};
  const others = node.load.othersReuse.find(count => count.scope === scope);
  return expectReuse(
    others ? addReuse(own, others) : own,
    Math.max(1, node.members.size),
  );
}

/** Requests that all nodes send in some time with prompts that begin like this. */
export function expectSamePrompts(
  node: EntryNode,
  sharedKey: string,
  durationMs: number,
  /** Requests of this node that may be chance and are left out. */
  chance = 0,
): number {
  const {prompts} = node.placing;
  const now = node.clock();
  const own = expectArrivals(prompts, sharedKey, now, durationMs, chance);
  return own * Math.max(1, node.members.size);
}

/** Nodes of the own failure domain, all nodes, and this one's place among them. */
function countNodes({members, settings}: EntryNode) {
  let own = 0;
  let before = 0;
  for (const {name, failureDomain} of members.values()) {
    if (failureDomain === settings.failureDomain) own += 1;
    if (name < settings.node) before += 1;
  }
  const all = Math.max(1, members.size);
  return {own, others: all - own, all, before};
}

/** Age of the load of the others that this node knows, milliseconds. */
export function newsAgeMs(node: EntryNode): number {
  const {receivedAt, sumsAgeMs} = node.load;
  const reportAgeMs = sumsAgeMs || shareIntervalMs(node.members.size);
  return node.clock() - receivedAt + reportAgeMs;
}

/** Time from the reports in the sums until the next sums are in use, milliseconds. */
function horizonMs(node: EntryNode): number {
  return newsAgeMs(node) + shareIntervalMs(node.members.size);
}

/** What all nodes are expected to send while the present sums are in use. */
export function expectWork(
  node: EntryNode,
  service: string,
  sharedKey: string,
): Expectation {
  const {work} = node.placing;
  const durationMs = horizonMs(node);
  const {own, others} = countNodes(node);
  const workPerNode = expectArrivals(work, service, node.clock(), durationMs);
  return {
    ownDomainWork: workPerNode * own,
    otherDomainWork: workPerNode * others,
    samePromptCount: expectSamePrompts(node, sharedKey, durationMs),
  };
}

/** The next draw of this node among the upstreams of a service for a model. */
export function nextDraw(
  node: EntryNode,
  service: string,
  model: string,
): Draw {
  const {before, all} = countNodes(node);
  const period = Math.floor(Date.now() / DRAW_PERIOD_MS);
  const key = `${service}/${model}`;
  return {
    position: nextPosition(node.placing.positions, key, period, before / all),
    random: node.random(),
  };
}
