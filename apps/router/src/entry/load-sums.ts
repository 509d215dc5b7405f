/** Sums of the load that nodes have reported to this one as their collector. */
import type {
  CutOffNode,
  ScopedReuse,
  UpstreamLoad,
} from '@parsleyarch/peer/messages';
import {decayPace} from '@parsleyarch/policy/pace';
import {addReuse} from '@parsleyarch/policy/prompt-reuse';
import type {EntryNode} from './node.js';

/** Age above which reported load is ignored, milliseconds. */
export const MAX_LOAD_AGE_MS = 1_200;
/** Factor of the readings of pace in messages. */
export const PACE_SCALE = 100;

/** What a node or the collector of a group has reported, and when. */
export interface TimedReport {
  readonly at: number;
  readonly loads: readonly UpstreamLoad[];
  readonly cutOff: readonly CutOffNode[];
  /** Mean age of what is reported at that time, milliseconds. */
  readonly ageMs: number;
  readonly promptReuse: readonly ScopedReuse[];
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
    if (name !== except) addReport(sums, report, node.clock());
  }
  return [...sums.values()];
}

/** Load of all nodes except for one that reports to this one. */
export function sumOthers(node: EntryNode, except: string): UpstreamLoad[] {
  const group = sumGroup(node, except);
  const sums = new Map(group.map(load => [load.upstream, load]));
  for (const report of node.load.groups.values())
    addReport(sums, report, node.clock());
  return [...sums.values()];
}

/** Counts of prompts of the nodes that report to this one, except for one of them. */
export function sumGroupReuse(node: EntryNode, except?: string): ScopedReuse[] {
  const sums = new Map<string, ScopedReuse>();
  for (const [name, {promptReuse}] of node.load.reports) {
    if (name !== except) addScopes(sums, promptReuse);
  }
  return [...sums.values()];
}

/** The same of all nodes except for one that reports to this one. */
export function sumOthersReuse(node: EntryNode, except: string): ScopedReuse[] {
  const sums = new Map<string, ScopedReuse>();
  addScopes(sums, sumGroupReuse(node, except));
  for (const {promptReuse} of node.load.groups.values())
    addScopes(sums, promptReuse);
  return [...sums.values()];
}

function addScopes(
  sums: Map<string, ScopedReuse>,
  counts: readonly ScopedReuse[],
): void {
  for (const count of counts) {
    const {scope} = count;
    const known = sums.get(scope) ?? {sent: 0, repeated: 0};
    sums.set(scope, {scope, ...addReuse(known, count)});
  }
}

function mean(values: readonly number[]): number {
  if (values.length === 0) return 0;
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function listAgesMs(node: EntryNode, reports: Iterable<TimedReport>): number[] {
  const now = node.clock();
  return [...reports].map(({at, ageMs}) => now - at + ageMs);
}

/** Mean age of the reports of this collector's group, milliseconds. */
export function groupAgeMs(node: EntryNode): number {
  return Math.round(mean(listAgesMs(node, node.load.reports.values())));
}

/** Mean age of what the sums of a collector hold, milliseconds. */
export function sumsAgeMs(node: EntryNode): number {
  // Groups have about as many nodes each.
  const ages = listAgesMs(node, node.load.groups.values());
  return Math.round(mean([groupAgeMs(node), ...ages]));
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

/** The later of two answers, by the time since them; 0 if none is known. */
function leastKnownAge(a: number, b: number): number {
  return a > 0 && b > 0 ? Math.min(a, b) : Math.max(a, b);
}

/** Pace of an upstream in a report, as it counts at a later time. */
function agePace({paceSum = 0, paceWeight = 0}: UpstreamLoad, ageMs: number) {
  return decayPace({sum: paceSum, weight: paceWeight, at: 0}, ageMs);
}

function addReport(
  sums: Map<string, UpstreamLoad>,
  {at, loads}: TimedReport,
  now: number,
): void {
  for (const load of loads) {
    const {upstream, pending, streaming, inFlight, answeredAgoMs} = load;
    const sum = sums.get(upstream);
    const pace = agePace(load, now - at);
    const answered = answeredAgoMs ? answeredAgoMs + now - at : 0;
    sums.set(upstream, {
      upstream,
      pending: pending + (sum?.pending ?? 0),
      streaming: streaming + (sum?.streaming ?? 0),
      inFlight: inFlight + (sum?.inFlight ?? 0),
      paceSum: Math.round(pace.sum + (sum?.paceSum ?? 0)),
      paceWeight: Math.round(pace.weight + (sum?.paceWeight ?? 0)),
      answeredAgoMs: Math.round(
        leastKnownAge(answered, sum?.answeredAgoMs ?? 0),
      ),
    });
  }
}
