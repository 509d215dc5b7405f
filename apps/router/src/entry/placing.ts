/**
 * What this node remembers of its sends in order to place the next ones: how much work it
 * sends to each service, how often requests with the same shared prompt come, and how
 * far it is in the sequence of its draws.
 */
import {
  expectArrivals,
  recordArrival,
  type Arrivals,
} from '@parsleyarch/policy/arrivals';
import {shareIntervalMs} from '@parsleyarch/policy/load-sharing';
import {
  createSpreadPositions,
  nextPosition,
  type SpreadPositions,
} from '@parsleyarch/policy/spread-positions';
import type {Draw, Expectation} from '@parsleyarch/policy/stale-load';
import type {EntryNode} from './node.js';

/** Period of the draws by the time of day, which is nearly the same on all nodes. */
const DRAW_PERIOD_MS = 500;

export interface Placing {
  /** Work sent, by service. */
  readonly work: Arrivals;
  /** Requests sent, by cache key of the shared part of their prompts. */
  readonly prompts: Arrivals;
  readonly positions: SpreadPositions;
}

export function createPlacing(): Placing {
  return {
    work: new Map(),
    prompts: new Map(),
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

/** Records that a request with a shared prompt was sent. */
export function recordPromptSent(node: EntryNode, sharedKey: string): void {
  recordArrival(node.placing.prompts, sharedKey, 1, node.clock());
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
  const {work, prompts} = node.placing;
  const now = node.clock();
  const durationMs = horizonMs(node);
  const {own, others, all} = countNodes(node);
  const workPerNode = expectArrivals(work, service, now, durationMs);
  return {
    ownDomainWork: workPerNode * own,
    otherDomainWork: workPerNode * others,
    samePromptCount: expectArrivals(prompts, sharedKey, now, durationMs) * all,
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
