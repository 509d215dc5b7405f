/**
 * Load of the upstreams as all nodes together make it. Every node tells one of
 * them, the collector, what it has sent where, and is told the others' sums.
 * This is soft state: without a collector a node goes by its own sends and by
 * the load that upstreams report on their answers.
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

const SHARE_MS = 100;
const SHARE_TIMEOUT_MS = 300;
/** Age after which what others told no longer counts, milliseconds. */
const MEMORY_MS = 1_000;
/** Time for which a collector that did not answer is passed over. */
const SKIP_MS = 2_000;
/** Work of a request that an upstream reports without saying more. */
const REPORTED_WORK = 0.8;

interface TimedReport {
  readonly at: number;
  readonly loads: readonly UpstreamLoad[];
}

/** What a node knows of the load that others make. */
export interface SharedLoad {
  /** Sums over the other nodes, by upstream. */
  others: ReadonlyMap<string, UpstreamLoad>;
  /** When they were told; monotonic milliseconds. */
  toldAt: number;
  /** Reports that this node collects, by node. */
  readonly collected: Map<string, TimedReport>;
  /** Until when nodes are passed over as collectors. */
  readonly skipped: Map<string, number>;
}

/** Knows nothing. */
export function createSharedLoad(): SharedLoad {
  return {
    others: new Map(),
    toldAt: -Infinity,
    collected: new Map(),
    skipped: new Map(),
  };
}

/** Work at an upstream as far as this node knows. */
export function workAt(node: EntryNode, state: UpstreamState): number {
  const ownWork = totalWork(state.pendingWork, state.streaming);
  const now = node.clock();
  if (now - node.load.toldAt < MEMORY_MS) {
    const others = node.load.others.get(state.registered.id);
    return ownWork + (others ? totalWork(others.pending, others.streaming) : 0);
  }
  const {load} = state;
  if (!load || now - load.at > MEMORY_MS) return ownWork;
  const reported = load.running + load.waiting + state.sentSinceReport;
  return Math.max(ownWork, reported * REPORTED_WORK);
}

function ownLoads(node: EntryNode): UpstreamLoad[] {
  const loads: UpstreamLoad[] = [];
  for (const {registered, pendingWork, streaming} of node.upstreams.values()) {
    if (pendingWork <= 0 && streaming === 0) continue;
    loads.push({upstream: registered.id, pending: pendingWork, streaming});
  }
  return loads;
}

/** Takes a node's report, as the collector, and sums up the others'. */
export function collectLoad(
  node: EntryNode,
  {node: name, loads}: LoadReport,
): LoadSummary {
  const now = node.clock();
  const {collected} = node.load;
  collected.set(name, {at: now, loads});
  const sums = new Map<string, UpstreamLoad>();
  for (const [other, report] of collected) {
    if (now - report.at > MEMORY_MS) collected.delete(other);
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

/** The first registered node, by name, that is not passed over. */
function findCollector(node: EntryNode): string | undefined {
  const now = node.clock();
  let first: string | undefined;
  for (const name of node.members.keys()) {
    if ((node.load.skipped.get(name) ?? 0) > now) continue;
    if (first === undefined || name < first) first = name;
  }
  return first;
}

function takeSummary(node: EntryNode, {loads}: LoadSummary): void {
  node.load.others = new Map(loads.map(load => [load.upstream, load]));
  node.load.toldAt = node.clock();
}

async function shareStep(node: EntryNode): Promise<void> {
  const collector = findCollector(node);
  const report = {node: node.settings.node, loads: ownLoads(node)};
  if (collector === node.settings.node)
    return takeSummary(node, collectLoad(node, report));
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
  if (summary.isOk()) return takeSummary(node, summary.value);
  node.load.skipped.set(collector, node.clock() + SKIP_MS);
  node.note('collector', {
    choice: 'pass over',
    collector,
    reason: summary.error.message,
  });
}

/** Shares load until the node stops. */
export function shareLoads(node: EntryNode): void {
  const running = repeat(
    SHARE_MS,
    () => shareStep(node),
    error => node.log.error({error: String(error)}, 'sharing load failed'),
  );
  registerResource(node.manager, 'load', () => void running.end());
}
