/**
 * Exchange of load between nodes. Every node reports its own load to a collector and
 * receives the sums over the other nodes, together with the age of the collector's last
 * confirmation by the store.
 */
import {registerResource} from '@parsleyarch/lifecycle/manager';
import {repeat} from '@parsleyarch/lifecycle/process';
import {callPeer} from '@parsleyarch/peer/client';
import type {LoadReport, LoadSummary} from '@parsleyarch/peer/messages';
import {
  hasGroups,
  listCollectors,
  shareIntervalMs,
} from '@parsleyarch/policy/load-sharing';
import {mergeCrashes, reportCrashes} from './crashes.js';
import {reportConfirmation} from './feed.js';
import {recordPeerAnswer} from './following.js';
import {applySums, listLocalLoads} from './load.js';
import {
  listCutOff,
  listGroupCutOff,
  groupAgeMs,
  sumGroup,
  sumGroupReuse,
  sumOthers,
  sumOthersReuse,
  sumsAgeMs,
} from './load-sums.js';
import {applyConfirmation, leaveSource} from './sources.js';
import type {EntryNode} from './node.js';
import {listLeaving, recordLeaving} from './notices.js';
import {listPromptReuse} from './placing.js';
import {reportCutOff} from './reachability.js';
import {listStatements, recordRelayedStatements} from './statements.js';

const SHARE_TIMEOUT_MS = 300;
/** Time for which a collector that did not answer is skipped. */
const COLLECTOR_SKIP_MS = 2_000;

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
    ageMs = 0,
    promptReuse = [],
    ...crashes
  }: LoadReport,
): LoadSummary {
  recordLeaving(node, leaving);
  recordRelayedStatements(node, statements);
  mergeCrashes(node, crashes);
  const {reports, groups} = node.load;
  const report = {at: node.clock(), loads, cutOff, ageMs, promptReuse};
  if (!isGroup) reports.set(name, report);
  else groups.set(name, report);
  // Another collector lacks only this group; a node lacks all but its own load.
  const sums = isGroup ? sumGroup(node) : sumOthers(node, name);
  return {
    loads: sums,
    leaving: listLeaving(node),
    statements: listStatements(node),
    cutOff: isGroup ? listGroupCutOff(node) : listCutOff(node),
    ageMs: isGroup ? groupAgeMs(node) : sumsAgeMs(node),
    promptReuse: isGroup ? sumGroupReuse(node) : sumOthersReuse(node, name),
    ...reportCrashes(node, crashes.crashDigest),
    ...reportConfirmation(node),
  };
}

function isSkipped(node: EntryNode, name: string): boolean {
  return (node.load.skipped.get(name) ?? 0) > node.clock();
}

/** Sends a report to a collector; `undefined` if it does not answer. */
async function sendReport(
  node: EntryNode,
  collector: string,
  load: Pick<
    LoadReport,
    'node' | 'loads' | 'isGroup' | 'cutOff' | 'ageMs' | 'promptReuse'
  >,
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
    ageMs: groupAgeMs(node),
    promptReuse: sumGroupReuse(node),
  };
  const summary = await sendReport(node, collector, report);
  if (!summary) return;
  const {loads, cutOff, ageMs = 0, promptReuse = []} = summary;
  const at = node.clock();
  node.load.groups.set(collector, {at, loads, cutOff, ageMs, promptReuse});
}

/** As a collector, adds this node's load and exchanges sums with the others. */
async function collectOnce(
  node: EntryNode,
  collectors: readonly string[],
): Promise<void> {
  const name = node.settings.node;
  const loads = listLocalLoads(node);
  const cutOff = reportCutOff(node);
  node.load.reports.set(name, {
    at: node.clock(),
    loads,
    cutOff,
    ageMs: 0,
    promptReuse: listPromptReuse(node),
  });
  // One call serves both directions, so the first of two by name makes it.
  const called = collectors.filter(
    other => other > name && !isSkipped(node, other),
  );
  if (hasGroups(node.members.size))
    await Promise.all(called.map(other => exchangeGroups(node, other)));
  applySums(node, {
    loads: sumOthers(node, name),
    cutOff: listCutOff(node),
    ageMs: sumsAgeMs(node),
    promptReuse: sumOthersReuse(node, name),
  });
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
  const promptReuse = listPromptReuse(node);
  const report = {node: name, loads, isGroup: false, cutOff, promptReuse};
  const summary = await sendReport(node, collector, report);
  if (!summary) return;
  applySums(node, summary);
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
