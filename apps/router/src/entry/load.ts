/**
 * Load that all nodes together place on the upstreams. Every node reports its
 * own load to one of them, the collector, and receives the sums over the other
 * nodes. This is soft state: without a collector a node uses its own load and
 * the load that upstreams report with their answers.
 */
import {registerResource} from '@parsleyarch/lifecycle/manager';
import {repeat} from '@parsleyarch/lifecycle/process';
import {callPeer} from '@parsleyarch/peer/client';
import type {
  LoadReport,
  LoadSummary,
  UpstreamLoad,
} from '@parsleyarch/peer/messages';
import {totalWork} from '@parsleyarch/policy/work';
import type {EntryNode, UpstreamState} from './node.js';

const SHARE_INTERVAL_MS = 100;
const SHARE_TIMEOUT_MS = 300;
/** Age above which reported load is ignored, milliseconds. */
const MAX_LOAD_AGE_MS = 1_000;
/** Time for which a collector that did not answer is skipped. */
const COLLECTOR_SKIP_MS = 2_000;
/** Work assumed for each request that an upstream reports, in work units. */
const REPORTED_WORK_UNITS = 0.8;

interface TimedReport {
  readonly at: number;
  readonly loads: readonly UpstreamLoad[];
}

/** Load that the other nodes place on upstreams, as far as it is known. */
export interface SharedLoad {
  /** Sums over the other nodes, by upstream. */
  others: ReadonlyMap<string, UpstreamLoad>;
  /** When the sums were received, monotonic milliseconds. */
  receivedAt: number;
  /** Reports that this node collects, by node. */
  readonly reports: Map<string, TimedReport>;
  /** Until when nodes are skipped as collectors, by node. */
  readonly skipped: Map<string, number>;
}

export function createSharedLoad(): SharedLoad {
  return {
    others: new Map(),
    receivedAt: -Infinity,
    reports: new Map(),
    skipped: new Map(),
  };
}

/** Estimates the work at an upstream, in work units. */
export function workAt(node: EntryNode, state: UpstreamState): number {
  const localWork = totalWork(state.pendingWork, state.streaming);
  const now = node.clock();
  if (now - node.load.receivedAt < MAX_LOAD_AGE_MS) {
    const others = node.load.others.get(state.registered.id);
    return (
      localWork + (others ? totalWork(others.pending, others.streaming) : 0)
    );
  }
  const {load} = state;
  if (!load || now - load.at > MAX_LOAD_AGE_MS) return localWork;
  const reported = load.running + load.waiting + state.sentSinceReport;
  return Math.max(localWork, reported * REPORTED_WORK_UNITS);
}

function listLocalLoads(node: EntryNode): UpstreamLoad[] {
  const loads: UpstreamLoad[] = [];
  for (const {registered, pendingWork, streaming} of node.upstreams.values()) {
    if (pendingWork <= 0 && streaming === 0) continue;
    loads.push({upstream: registered.id, pending: pendingWork, streaming});
  }
  return loads;
}

/** As the collector, keeps a node's report and sums up those of the others. */
export function collectLoad(
  node: EntryNode,
  {node: name, loads}: LoadReport,
): LoadSummary {
  const now = node.clock();
  const {reports} = node.load;
  reports.set(name, {at: now, loads});
  const sums = new Map<string, UpstreamLoad>();
  for (const [other, report] of reports) {
    if (now - report.at > MAX_LOAD_AGE_MS) reports.delete(other);
    else if (other !== name) addLoads(sums, report.loads);
  }
  return {loads: [...sums.values()]};
}

function addLoads(
  sums: Map<string, UpstreamLoad>,
  loads: readonly UpstreamLoad[],
): void {
  for (const {upstream, pending, streaming} of loads) {
    const sum = sums.get(upstream);
    sums.set(upstream, {
      upstream,
      pending: pending + (sum?.pending ?? 0),
      streaming: streaming + (sum?.streaming ?? 0),
    });
  }
}

/** The first registered node, by name, that is not skipped. */
function findCollector(node: EntryNode): string | undefined {
  const now = node.clock();
  let first: string | undefined;
  for (const name of node.members.keys()) {
    if ((node.load.skipped.get(name) ?? 0) > now) continue;
    if (first === undefined || name < first) first = name;
  }
  return first;
}

function applySummary(node: EntryNode, {loads}: LoadSummary): void {
  node.load.others = new Map(loads.map(load => [load.upstream, load]));
  node.load.receivedAt = node.clock();
}

async function shareOnce(node: EntryNode): Promise<void> {
  const collector = findCollector(node);
  const report = {node: node.settings.node, loads: listLocalLoads(node)};
  if (collector === node.settings.node)
    return applySummary(node, collectLoad(node, report));
  const address = node.members.get(collector ?? '')?.address;
  const {client} = node.peers;
  if (collector === undefined || !address || !client) return;
  const summary = await callPeer(
    client,
    address,
    'shareLoad',
    report,
    SHARE_TIMEOUT_MS,
  );
  if (summary.isOk()) return applySummary(node, summary.value);
  node.load.skipped.set(collector, node.clock() + COLLECTOR_SKIP_MS);
  node.logDecision('collector', {
    choice: 'pass over',
    collector,
    reason: summary.error.message,
  });
}

/** Shares load until the node stops. */
export function shareLoads(node: EntryNode): void {
  const running = repeat(
    SHARE_INTERVAL_MS,
    () => shareOnce(node),
    error => node.log.error({error: String(error)}, 'sharing load failed'),
  );
  registerResource(node.manager, 'load', () => void running.end());
}
