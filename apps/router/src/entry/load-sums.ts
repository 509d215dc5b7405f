/** Sums of the load that nodes have reported to this one as their collector. */
import type {CutOffNode, UpstreamLoad} from '@parsleyarch/peer/messages';
import type {EntryNode} from './node.js';

/** Age above which reported load is ignored, milliseconds. */
export const MAX_LOAD_AGE_MS = 1_200;

/** What a node or the collector of a group has reported, and when. */
export interface TimedReport {
  readonly at: number;
  readonly loads: readonly UpstreamLoad[];
  readonly cutOff: readonly CutOffNode[];
}

function dropOldReports(node: EntryNode): void {
  const oldest = node.clock() - MAX_LOAD_AGE_MS;
  for (const kept of [node.load.reports, node.load.groups]) {
    for (const [name, {at}] of kept) {
      if (at < oldest) kept.delete(name);
    }
  }
}

/** Load of the nodes that report to this one, except for one of them. */
export function sumGroup(node: EntryNode, except?: string): UpstreamLoad[] {
  dropOldReports(node);
  const sums = new Map<string, UpstreamLoad>();
  for (const [name, report] of node.load.reports) {
    if (name !== except) addLoads(sums, report.loads);
  }
  return [...sums.values()];
}

/** Load of all nodes except for one that reports to this one. */
export function sumOthers(node: EntryNode, except: string): UpstreamLoad[] {
  const group = sumGroup(node, except);
  const sums = new Map(group.map(load => [load.upstream, load]));
  for (const {loads} of node.load.groups.values()) addLoads(sums, loads);
  return [...sums.values()];
}

/** Nodes that report to this one and are cut off from upstreams. */
export function listGroupCutOff(node: EntryNode): CutOffNode[] {
  return [...node.load.reports.values()].flatMap(({cutOff}) => cutOff);
}

/** Nodes that are cut off from upstreams. */
export function listCutOff(node: EntryNode): CutOffNode[] {
  const groups = [...node.load.groups.values()];
  return [...listGroupCutOff(node), ...groups.flatMap(({cutOff}) => cutOff)];
}

function addLoads(
  sums: Map<string, UpstreamLoad>,
  loads: readonly UpstreamLoad[],
): void {
  for (const {upstream, pending, streaming, inFlight} of loads) {
    const sum = sums.get(upstream);
    sums.set(upstream, {
      upstream,
      pending: pending + (sum?.pending ?? 0),
      streaming: streaming + (sum?.streaming ?? 0),
      inFlight: inFlight + (sum?.inFlight ?? 0),
    });
  }
}
