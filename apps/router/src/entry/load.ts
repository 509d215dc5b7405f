/**
 * Load that all nodes together place on the upstreams, and what these say of it. This is
 * soft state: without sums over the other nodes a node uses its own load and the load that
 * upstreams report with their answers.
 */
import type {
  CutOffNode,
  LoadSummary,
  ScopedReuse,
  UpstreamLoad,
} from '@parsleyarch/peer/messages';
import type {UpstreamAnswer} from '@parsleyarch/platform/headers';
import {hasGroups} from '@parsleyarch/policy/load-sharing';
import {
  decayPace,
  estimatePace,
  recordPace,
  type PaceHistory,
  type PaceSums,
} from '@parsleyarch/policy/pace';
import {totalWork} from '@parsleyarch/policy/work';
import {MAX_LOAD_AGE_MS, PACE_SCALE, type TimedReport} from './load-sums.js';
import type {EntryNode, UpstreamState} from './node.js';

/** Work assumed for each request that an upstream reports, in work units. */
const REPORTED_WORK_UNITS = 0.8;
/** Weight of the readings of pace below which an upstream is left out of reports. */
const MIN_PACE_WEIGHT = 0.1;
/** Time after which other nodes no longer need to know of an answer. */
const ANSWER_MEMORY_MS = 10_000;
/** Time for which one upstream's load fields that cannot be read are logged once. */
const UNREADABLE_LOG_INTERVAL_MS = 10_000;

/** Load that the other nodes place on upstreams, as far as it is known. */
export interface SharedLoad {
  /** Sums over the other nodes, by upstream. */
  others: ReadonlyMap<string, UpstreamLoad>;
  /** Nodes that are cut off from upstreams, received with the sums. */
  cutOff: readonly CutOffNode[];
  /** When the sums were received, monotonic milliseconds. */
  receivedAt: number;
  /** Mean age of the reports in the sums at that time; 0 if it is not known. */
  sumsAgeMs: number;
  /** Counts of the prompts of the other nodes, by service and model. */
  othersReuse: readonly ScopedReuse[];
  /** How long work takes at upstreams, by answers to this node. */
  readonly paces: Map<string, PaceHistory>;
  /** When load fields that cannot be read were last logged, by upstream. */
  readonly unreadableAt: Map<string, number>;
  /** Reports of the nodes of this collector's group, by node. */
  readonly reports: Map<string, TimedReport>;
  /** Sums of the groups of other collectors, by collector. */
  readonly groups: Map<string, TimedReport>;
  /** Until when nodes are skipped as collectors, by node. */
  readonly skipped: Map<string, number>;
}

export function createSharedLoad(): SharedLoad {
  return {
    others: new Map(),
    cutOff: [],
    receivedAt: -Infinity,
    sumsAgeMs: 0,
    othersReuse: [],
    paces: new Map(),
    unreadableAt: new Map(),
    reports: new Map(),
    groups: new Map(),
    skipped: new Map(),
  };
}

/** Whether this node knows the load of the other nodes. */
export function knowsOthers({load, clock}: EntryNode): boolean {
  return clock() - load.receivedAt < MAX_LOAD_AGE_MS;
}

/** Whether the load of others is known, but so old that the least loaded misleads. */
export function choosesByLevel(node: EntryNode): boolean {
  if (!hasGroups(node.members.size) || !knowsOthers(node)) return false;
  return node.settings.balancing.oldLoad === 'level';
}

/**
 * Work at an upstream, in work units: of requests without an answer yet,
 * and of all.
 */
export function estimateWork(node: EntryNode, state: UpstreamState) {
  const {pendingWork, streaming, load} = state;
  if (knowsOthers(node)) {
    const others = node.load.others.get(state.registered.id);
    const queued = pendingWork + (others?.pending ?? 0);
    return {
      queued,
      all: totalWork(queued, streaming + (others?.streaming ?? 0)),
    };
  }
  const local = totalWork(pendingWork, streaming);
  if (!load || node.clock() - load.at > MAX_LOAD_AGE_MS)
    return {queued: pendingWork, all: local};
  const reported = load.running + load.waiting + state.sentSinceReport;
  return {
    queued: pendingWork,
    all: Math.max(local, reported * REPORTED_WORK_UNITS),
  };
}

/** Readings of the other nodes of how long work takes at an upstream. */
function othersPace(node: EntryNode, id: string): PaceSums | undefined {
  if (!knowsOthers(node)) return undefined;
  const {paceSum, paceWeight} = node.load.others.get(id) ?? {};
  if (!paceSum || !paceWeight) return undefined;
  return {
    sum: paceSum / PACE_SCALE,
    weight: paceWeight / PACE_SCALE,
    at: node.load.receivedAt,
  };
}

/** Time that work takes at an upstream now, relative to the usual time. */
export function timeFactorOf(
  node: EntryNode,
  {registered: {id}}: UpstreamState,
): number {
  const own = node.load.paces.get(id);
  const others = othersPace(node, id);
  return own || others ? estimatePace(own, others, node.clock()) : 1;
}

/** Work at an upstream in the time that it takes there: without an answer yet, and all. */
export function loadAt(node: EntryNode, state: UpstreamState) {
  const {queued, all} = estimateWork(node, state);
  const factor = timeFactorOf(node, state);
  return {queued: queued * factor, all: all * factor};
}

/** Estimates the work at an upstream, in work units of the usual pace. */
export function workAt(node: EntryNode, state: UpstreamState): number {
  return loadAt(node, state).all;
}

/** When an upstream last answered any node, as far as this one knows. */
export function lastAnswerOf(
  {load}: EntryNode,
  {registered, lastAnswerAt}: UpstreamState,
): number {
  const {answeredAgoMs} = load.others.get(registered.id) ?? {};
  if (!answeredAgoMs) return lastAnswerAt;
  return Math.max(lastAnswerAt, load.receivedAt - answeredAgoMs);
}

/**
 * Requests of this node at an upstream; of those at an engine, only the ones without
 * a first token.
 */
export function placedHere(
  {inFlight, streaming}: UpstreamState,
  isEngine: boolean,
): number {
  return isEngine ? inFlight - streaming : inFlight;
}

/** The same for all nodes together. */
export function placedAt(
  node: EntryNode,
  state: UpstreamState,
  isEngine: boolean,
): number {
  const {registered, load, sentSinceReport} = state;
  const own = placedHere(state, isEngine);
  if (knowsOthers(node)) {
    const others = node.load.others.get(registered.id);
    if (!others) return own;
    return own + others.inFlight - (isEngine ? others.streaming : 0);
  }
  if (!load || node.clock() - load.at > MAX_LOAD_AGE_MS) return own;
  const reported = load.waiting + (isEngine ? 0 : load.running);
  return Math.max(own, reported + sentSinceReport);
}

/** Load of this node, and what upstreams have told it. */
export function listLocalLoads(node: EntryNode): UpstreamLoad[] {
  const loads: UpstreamLoad[] = [];
  const now = node.clock();
  for (const state of node.upstreams.values()) {
    const {registered, pendingWork: pending, streaming, inFlight} = state;
    const known = node.load.paces.get(registered.id);
    const pace = known ? decayPace(known, now) : {sum: 0, weight: 0};
    const answeredAgoMs = Math.max(1, now - state.lastAnswerAt);
    const isAnswering =
      state.lastAnswerAt > 0 && answeredAgoMs < ANSWER_MEMORY_MS;
    const hasPace = pace.weight > MIN_PACE_WEIGHT;
    if (pending <= 0 && streaming === 0 && !isAnswering && !hasPace) continue;
    loads.push({
      upstream: registered.id,
      pending,
      streaming,
      inFlight,
      paceSum: hasPace ? Math.round(pace.sum * PACE_SCALE) : 0,
      paceWeight: hasPace ? Math.round(pace.weight * PACE_SCALE) : 0,
      answeredAgoMs: isAnswering ? Math.round(answeredAgoMs) : 0,
    });
  }
  return loads;
}

/** Keeps the sums over the other nodes. */
export function applySums(
  node: EntryNode,
  {
    loads,
    cutOff,
    ageMs,
    promptReuse = [],
  }: Pick<LoadSummary, 'loads' | 'cutOff' | 'ageMs' | 'promptReuse'>,
): void {
  node.load.others = new Map(loads.map(load => [load.upstream, load]));
  node.load.cutOff = cutOff;
  node.load.sumsAgeMs = ageMs ?? 0;
  node.load.othersReuse = promptReuse;
  node.load.receivedAt = node.clock();
}

/** Records the load that an upstream states in an answer. */
export function recordReportedLoad(
  node: EntryNode,
  state: UpstreamState,
  {load, unreadableLoad}: UpstreamAnswer,
): void {
  const now = node.clock();
  const {id} = state.registered;
  if (load) {
    state.load = {...load, at: now};
    state.sentSinceReport = 0;
  }
  if (load?.timeFactor !== undefined) {
    const known = node.load.paces.get(id);
    node.load.paces.set(id, recordPace(known, load.timeFactor, now));
  }
  if (unreadableLoad === undefined) return;
  node.metrics.unreadableLoads.inc();
  const {unreadableAt} = node.load;
  const loggedAt = unreadableAt.get(id) ?? -Infinity;
  if (now - loggedAt < UNREADABLE_LOG_INTERVAL_MS) return;
  unreadableAt.set(id, now);
  node.log.warn(
    {upstream: id, value: unreadableLoad},
    'load of an upstream cannot be read; ignored',
  );
}
