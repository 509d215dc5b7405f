/** Bills: copied to peers before an answer ends, written to the store in batches. */
import {callPeer} from '@parsleyarch/peer/client';
import type {BillCopy} from '@parsleyarch/peer/messages';
import {
  batchKey,
  findMissingBills,
  type Bill,
} from '@parsleyarch/protocol/bill';
import {rankCandidates} from '@parsleyarch/protocol/rendezvous';
import {
  createKey,
  readKey,
  WriteOutcome,
  type VersionedItem,
} from '@parsleyarch/store/client';
import {liveNames, peerAddress, type RouterNode} from './node.js';

/** Copies that a bill needs before its answer may end. */
const COPIES = 2;
const COPY_TIMEOUT_MS = 400;
/** Silence of an origin after which its copies are written by their holders. */
const ORIGIN_SILENCE_MS = 8_000;

function copyTargets(node: RouterNode): string[] {
  const others = liveNames(node).filter(name => name !== node.name);
  const ordered = rankCandidates(`bills/${node.name}`, others);
  const far = ordered.filter(
    name =>
      node.membership.listed.get(name)?.failureDomain !==
      node.settings.failureDomain,
  );
  const near = ordered.filter(name => !far.includes(name));
  return [...far, ...near];
}

async function copyTo(
  node: RouterNode,
  peer: string,
  copy: BillCopy,
): Promise<boolean> {
  const address = peerAddress(node, peer);
  if (!address) return false;
  const answer = await callPeer(
    node.peers,
    address,
    'copyBills',
    copy,
    COPY_TIMEOUT_MS,
  );
  return answer.isOk();
}

async function copyToPeers(node: RouterNode, copy: BillCopy): Promise<number> {
  let copies = 0;
  const targets = copyTargets(node);
  while (copies < COPIES && targets.length > 0) {
    const round = targets.splice(0, COPIES - copies);
    const done = await Promise.all(round.map(peer => copyTo(node, peer, copy)));
    copies += done.filter(Boolean).length;
  }
  return copies;
}

/**
 * Makes a bill durable as far as can be: on two peers, else on one, else in
 * the store. Resolves when the answer may end.
 */
export async function recordBill(node: RouterNode, bill: Bill): Promise<void> {
  const {sequence} = node.bills;
  node.bills.open.push(bill);
  const copy: BillCopy = {
    node: node.name,
    incarnation: node.incarnation,
    sequence,
    bills: [bill],
    written: false,
  };
  const copies = await copyToPeers(node, copy);
  if (copies > 0) {
    node.metrics.bills.inc({
      path: copies === COPIES ? 'two-peers' : 'one-peer',
    });
    return;
  }
  await writeBills(node);
  const held = node.bills.sealed.has(sequence);
  node.metrics.bills.inc({path: held ? 'memory' : 'store'});
  if (held) node.log.error({bill}, 'bill is held in memory only');
}

function seal(node: RouterNode): void {
  const {bills} = node;
  if (bills.open.length === 0) return;
  bills.sealed.set(bills.sequence, bills.open);
  bills.open = [];
  bills.sequence += 1;
}

/** What became of a batch: settled, or to be tried again. */
async function writeBatch(
  node: RouterNode,
  key: string,
  bills: readonly Bill[],
): Promise<{settled: boolean; missing: readonly Bill[]}> {
  const {outcome} = await createKey(node.store, key, {bills});
  if (outcome === WriteOutcome.created) return {settled: true, missing: []};
  if (outcome === WriteOutcome.refused) return {settled: false, missing: []};
  const stored = await readKey(node.store, key);
  if (stored.isErr() || !stored.value) return {settled: false, missing: []};
  return {
    settled: true,
    missing: findMissingBills(billsOf(stored.value), {bills}),
  };
}

function billsOf(stored: VersionedItem): {bills: Bill[]} {
  return stored.value as {bills: Bill[]};
}

function tellWritten(node: RouterNode, sequence: number): void {
  const {name, incarnation} = node;
  const copy = {node: name, incarnation, sequence, bills: [], written: true};
  for (const peer of copyTargets(node)) void copyTo(node, peer, copy);
}

/** Writes every batch that the store does not hold yet. */
export async function writeBills(node: RouterNode): Promise<void> {
  seal(node);
  const {name, incarnation} = node;
  for (const [sequence, bills] of [...node.bills.sealed]) {
    const key = batchKey({node: name, incarnation, sequence});
    const {settled, missing} = await writeBatch(node, key, bills);
    if (!settled) return;
    node.bills.sealed.delete(sequence);
    node.bills.open.push(...missing);
    // Peers keep their copies until the batch with the missing ones is written.
    if (missing.length === 0) tellWritten(node, sequence);
  }
}

function originOf({node, incarnation}: Pick<BillCopy, 'node' | 'incarnation'>) {
  return `${node}/${incarnation}`;
}

/** Batches are written in order: one that is written ends all before it. */
function dropWritten(node: RouterNode, last: BillCopy): void {
  const {copies, written} = node.bills;
  const origin = originOf(last);
  written.set(origin, Math.max(written.get(origin) ?? 0, last.sequence));
  for (const [key, copy] of copies) {
    if (originOf(copy) !== origin || copy.sequence > last.sequence) continue;
    copies.delete(key);
  }
}

/** Keeps a copy for a peer, or drops it once the batch is written. */
export function takeCopy(node: RouterNode, copy: BillCopy): void {
  const {copies, written} = node.bills;
  if (copy.written) {
    dropWritten(node, copy);
    return;
  }
  // A copy that comes after its batch was written is in that batch.
  if (copy.sequence <= (written.get(originOf(copy)) ?? 0)) return;
  const key = batchKey(copy);
  const bills = [...(copies.get(key)?.bills ?? []), ...copy.bills];
  copies.set(key, {...copy, bills});
}

function isGone(node: RouterNode, origin: BillCopy): boolean {
  if (!node.membership.listed.has(origin.node)) return true;
  const heard = node.membership.heartbeats.get(origin.node);
  if (!heard || heard.heartbeat.incarnation > origin.incarnation) return true;
  return node.clock() - heard.sentAt > ORIGIN_SILENCE_MS;
}

/** Writes the copies whose origin is gone, under the origin's own keys. */
export async function writeCopies(node: RouterNode): Promise<void> {
  for (const [key, copy] of [...node.bills.copies]) {
    if (!isGone(node, copy)) continue;
    const {settled, missing} = await writeBatch(node, key, copy.bills);
    if (!settled) return;
    node.bills.copies.delete(key);
    node.bills.open.push(...missing);
    node.bills.written.delete(originOf(copy));
    node.log.info(
      {key, bills: copy.bills.length},
      'wrote bills of a lost node',
    );
  }
}
