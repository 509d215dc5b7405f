/**
 * Load that all nodes together place on the upstreams. Every node reports its
 * own load to a collector and receives the sums over the other nodes, together
 * with the age of the collector's last confirmation by the store. This is soft
 * state: without a collector a node uses its own load and the load that
 * upstreams report with their answers.
 */
import {registerResource} from '@parsleyarch/lifecycle/manager';
import {repeat} from '@parsleyarch/lifecycle/process';
import {callPeer} from '@parsleyarch/peer/client';
import type {
  CutOffNode,
  LoadReport,
  LoadSummary,
  UpstreamLoad,
} from '@parsleyarch/peer/messages';
import {
  hasGroups,
  listCollectors,
  shareIntervalMs,
} from '@parsleyarch/policy/load-sharing';
import {totalWork} from '@parsleyarch/policy/work';
import {mergeCrashes, reportCrashes} from './crashes.js';
import {reportConfirmation} from './feed.js';
import {recordPeerAnswer} from './following.js';
import {
  listCutOff,
  listGroupCutOff,
  MAX_LOAD_AGE_MS,
  sumGroup,
  sumOthers,
  type TimedReport,
} from './load-sums.js';
import {applyConfirmation, leaveSource} from './sources.js';
import type {EntryNode, UpstreamState} from './node.js';
import {listLeaving, recordLeaving} from './notices.js';
import {reportCutOff} from './reachability.js';
import {listStatements, recordRelayedStatements} from './statements.js';

const SHARE_TIMEOUT_MS = 300;
/** Time for which a collector that did not answer is skipped. */
const COLLECTOR_SKIP_MS = 2_000;
/** Work assumed for each request that an upstream reports, in work units. */
const REPORTED_WORK_UNITS = 0.8;

/** Load that the other nodes place on upstreams, as far as it is known. */
export interface SharedLoad {
  /** Sums over the other nodes, by upstream. */
  others: ReadonlyMap<string, UpstreamLoad>;
  /** Nodes that are cut off from upstreams, received with the sums. */
  cutOff: readonly CutOffNode[];
  /** When the sums were received, monotonic milliseconds. */
  receivedAt: number;
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
    reports: new Map(),
    groups: new Map(),
    skipped: new Map(),
  };
}

/** Whether this node knows the load of the other nodes. */
export function knowsOthers({load, clock}: EntryNode): boolean {
  return clock() - load.receivedAt < MAX_LOAD_AGE_MS;
}

/**
 * Work at an upstream, in work units: of requests without an answer yet,
 * and of all.
 */
function estimateWork(node: EntryNode, state: UpstreamState) {
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

/** Estimates the work at an upstream, in work units. */
export function workAt(node: EntryNode, state: UpstreamState): number {
  return estimateWork(node, state).all;
}

/** The part of the work at an upstream that has no answer yet. */
export function queuedWorkAt(node: EntryNode, state: UpstreamState): number {
  return estimateWork(node, state).queued;
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

function listLocalLoads(node: EntryNode): UpstreamLoad[] {
  const loads: UpstreamLoad[] = [];
  for (const state of node.upstreams.values()) {
    const {registered, pendingWork: pending, streaming, inFlight} = state;
    if (pending <= 0 && streaming === 0) continue;
    loads.push({upstream: registered.id, pending, streaming, inFlight});
  }
  return loads;
}

/** Answers a report: keeps it, and returns the load that its sender lacks. */
export function collectLoad(
  node: EntryNode,
  {
    node: name,
    loads,
    isGroup,
    leaving,
    statements,
    cutOff,
    ...crashes
  }: LoadReport,
): LoadSummary {
  recordLeaving(node, leaving);
  recordRelayedStatements(node, statements);
  mergeCrashes(node, crashes);
  const {reports, groups} = node.load;
  const report = {at: node.clock(), loads, cutOff};
  if (!isGroup) reports.set(name, report);
  else groups.set(name, report);
  // Another collector lacks only this group; a node lacks all but its own load.
  const sums = isGroup ? sumGroup(node) : sumOthers(node, name);
  return {
    loads: sums,
    leaving: listLeaving(node),
    statements: listStatements(node),
    cutOff: isGroup ? listGroupCutOff(node) : listCutOff(node),
    ...reportCrashes(node, crashes.crashDigest),
    ...reportConfirmation(node),
  };
}

function isSkipped(node: EntryNode, name: string): boolean {
  return (node.load.skipped.get(name) ?? 0) > node.clock();
}

function applySums(
  node: EntryNode,
  {loads, cutOff}: Pick<LoadSummary, 'loads' | 'cutOff'>,
): void {
  node.load.others = new Map(loads.map(load => [load.upstream, load]));
  node.load.cutOff = cutOff;
  node.load.receivedAt = node.clock();
}

/** Sends a report to a collector; `undefined` if it does not answer. */
async function sendReport(
  node: EntryNode,
  collector: string,
  load: Pick<LoadReport, 'node' | 'loads' | 'isGroup' | 'cutOff'>,
): Promise<LoadSummary | undefined> {
  const address = node.members.get(collector)?.address;
  const {client} = node.peers;
  if (!address || !client) return undefined;
  const report = {
    ...load,
    leaving: listLeaving(node),
    statements: listStatements(node),
    ...reportCrashes(node, node.crashes.digests.get(collector)),
  };
  const sentAt = node.continuousClock();
  const summary = await callPeer(
    client,
    address,
    'shareLoad',
    report,
    SHARE_TIMEOUT_MS,
  );
  if (summary.isOk()) {
    recordPeerAnswer(node);
    applyConfirmation(node, summary.value, sentAt);
    recordLeaving(node, summary.value.leaving);
    recordRelayedStatements(node, summary.value.statements);
    mergeCrashes(node, summary.value);
    node.crashes.digests.set(collector, summary.value.crashDigest);
    return summary.value;
  }
  node.load.skipped.set(collector, node.clock() + COLLECTOR_SKIP_MS);
  leaveSource(node, collector, summary.error.message);
  node.logDecision('collector', {
    choice: 'pass over',
    collector,
    reason: summary.error.message,
  });
  return undefined;
}

async function exchangeGroups(
  node: EntryNode,
  collector: string,
): Promise<void> {
  const report = {
    node: node.settings.node,
    loads: sumGroup(node),
    isGroup: true,
    cutOff: listGroupCutOff(node),
  };
  const summary = await sendReport(node, collector, report);
  if (!summary) return;
  const {loads, cutOff} = summary;
  node.load.groups.set(collector, {at: node.clock(), loads, cutOff});
}

/** As a collector, adds this node's load and exchanges sums with the others. */
async function collectOnce(
  node: EntryNode,
  collectors: readonly string[],
): Promise<void> {
  const name = node.settings.node;
  const loads = listLocalLoads(node);
  const cutOff = reportCutOff(node);
  node.load.reports.set(name, {at: node.clock(), loads, cutOff});
  // One call serves both directions, so the first of two by name makes it.
  const called = collectors.filter(
    other => other > name && !isSkipped(node, other),
  );
  if (hasGroups(node.members.size))
    await Promise.all(called.map(other => exchangeGroups(node, other)));
  applySums(node, {loads: sumOthers(node, name), cutOff: listCutOff(node)});
}

async function shareOnce(node: EntryNode): Promise<void> {
  const {node: name, failureDomain} = node.settings;
  const self = {name, failureDomain};
  const collectors = listCollectors([...node.members.values()], self);
  const isCollector = hasGroups(node.members.size)
    ? collectors.includes(name)
    : collectors.find(other => !isSkipped(node, other)) === name;
  if (isCollector) return collectOnce(node, collectors);
  const collector = collectors.find(other => !isSkipped(node, other));
  if (collector === undefined) return;
  const loads = listLocalLoads(node);
  const cutOff = reportCutOff(node);
  const report = {node: name, loads, isGroup: false, cutOff};
  const summary = await sendReport(node, collector, report);
  if (summary) applySums(node, summary);
}

/** Shares load until the node stops. */
export function shareLoads(node: EntryNode): void {
  const running = repeat(
    () => shareIntervalMs(node.members.size),
    () => shareOnce(node),
    error => node.log.error({error: String(error)}, 'sharing load failed'),
  );
  registerResource(node.manager, 'load', () => void running.end());
}
