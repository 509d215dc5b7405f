/**
 * Bills: copied to peers before an answer ends, and written to the store in
 * batches.
 */
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
import {listLiveNodeNames, findPeerAddress, type RouterNode} from './node.js';

/** Copies on peers that a bill needs before its answer may end. */
const REQUIRED_COPY_COUNT = 2;
const COPY_TIMEOUT_MS = 400;
/**
 * Time without a heartbeat of the origin after which the peers write its
 * copies.
 */
const ORIGIN_TIMEOUT_MS = 8_000;

function rankCopyTargets(node: RouterNode): string[] {
  const others = listLiveNodeNames(node).filter(name => name !== node.name);
  const ordered = rankCandidates(`bills/${node.name}`, others);
  const far = ordered.filter(
    name =>
      node.membership.listed.get(name)?.failureDomain !==
      node.settings.failureDomain,
  );
  const near = ordered.filter(name => !far.includes(name));
  return [...far, ...near];
}

async function sendCopy(
  node: RouterNode,
  peer: string,
  copy: BillCopy,
): Promise<boolean> {
  const address = findPeerAddress(node, peer);
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
  const targets = rankCopyTargets(node);
  while (copies < REQUIRED_COPY_COUNT && targets.length > 0) {
    const round = targets.splice(0, REQUIRED_COPY_COUNT - copies);
    const done = await Promise.all(
      round.map(peer => sendCopy(node, peer, copy)),
    );
    copies += done.filter(Boolean).length;
  }
  return copies;
}

/**
 * Makes a bill as durable as possible: on two peers, else on one peer, else in
 * the store. Resolves when the answer may end.
 */
export async function recordBill(node: RouterNode, bill: Bill): Promise<void> {
  const {sequence} = node.bills;
  node.bills.openBatch.push(bill);
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
      path: copies === REQUIRED_COPY_COUNT ? 'two-peers' : 'one-peer',
    });
    return;
  }
  await writeBills(node);
  const unwritten = node.bills.sealedBatches.has(sequence);
  node.metrics.bills.inc({path: unwritten ? 'memory' : 'store'});
  if (unwritten)
    node.log.error(
      {bill},
      'bill is kept in memory only: neither a peer nor the store accepted it',
    );
}

function sealBatch(node: RouterNode): void {
  const {bills} = node;
  if (bills.openBatch.length === 0) return;
  bills.sealedBatches.set(bills.sequence, bills.openBatch);
  bills.openBatch = [];
  bills.sequence += 1;
}

/**
 * Writes a batch. `persisted` is false when the write must be retried;
 * `missing` are the bills that a batch stored earlier under the key does not
 * contain.
 */
async function writeBatch(
  node: RouterNode,
  key: string,
  bills: readonly Bill[],
): Promise<{persisted: boolean; missing: readonly Bill[]}> {
  const {outcome} = await createKey(node.store, key, {bills});
  if (outcome === WriteOutcome.created) return {persisted: true, missing: []};
  if (outcome === WriteOutcome.refused) return {persisted: false, missing: []};
  const stored = await readKey(node.store, key);
  if (stored.isErr() || !stored.value) return {persisted: false, missing: []};
  return {
    persisted: true,
    missing: findMissingBills(billsOf(stored.value), {bills}),
  };
}

function billsOf(stored: VersionedItem): {bills: Bill[]} {
  return stored.value as {bills: Bill[]};
}

function notifyWritten(node: RouterNode, sequence: number): void {
  const {name, incarnation} = node;
  const copy = {node: name, incarnation, sequence, bills: [], written: true};
  for (const peer of rankCopyTargets(node)) void sendCopy(node, peer, copy);
}

/** Writes every batch that the store has not confirmed. */
export async function writeBills(node: RouterNode): Promise<void> {
  sealBatch(node);
  const {name, incarnation} = node;
  for (const [sequence, bills] of [...node.bills.sealedBatches]) {
    const key = batchKey({node: name, incarnation, sequence});
    const {persisted, missing} = await writeBatch(node, key, bills);
    if (!persisted) return;
    node.bills.sealedBatches.delete(sequence);
    node.bills.openBatch.push(...missing);
    // Peers keep their copies until the batch with the missing bills is
    // written.
    if (missing.length === 0) notifyWritten(node, sequence);
  }
}

function originKey({
  node,
  incarnation,
}: Pick<BillCopy, 'node' | 'incarnation'>) {
  return `${node}/${incarnation}`;
}

/**
 * Drops the copies up to a written batch. Batches are written in order, so all
 * earlier ones are written too.
 */
function dropWrittenCopies(node: RouterNode, last: BillCopy): void {
  const {copies, writtenSequences: written} = node.bills;
  const origin = originKey(last);
  written.set(origin, Math.max(written.get(origin) ?? 0, last.sequence));
  for (const [key, copy] of copies) {
    if (originKey(copy) !== origin || copy.sequence > last.sequence) continue;
    copies.delete(key);
  }
}

/**
 * Stores a copy for a peer, or drops the copies of batches that are written.
 */
export function storeBillCopy(node: RouterNode, copy: BillCopy): void {
  const {copies, writtenSequences: written} = node.bills;
  if (copy.written) {
    dropWrittenCopies(node, copy);
    return;
  }
  // The bills of a copy that arrives after its batch was written are in that
  // batch.
  if (copy.sequence <= (written.get(originKey(copy)) ?? 0)) return;
  const key = batchKey(copy);
  const bills = [...(copies.get(key)?.bills ?? []), ...copy.bills];
  copies.set(key, {...copy, bills});
}

function isOriginDown(node: RouterNode, origin: BillCopy): boolean {
  if (!node.membership.listed.has(origin.node)) return true;
  const received = node.membership.heartbeats.get(origin.node);
  if (!received || received.heartbeat.incarnation > origin.incarnation)
    return true;
  return node.clock() - received.sentAt > ORIGIN_TIMEOUT_MS;
}

/** Writes the copies whose origin is down, under the origin's batch keys. */
export async function writeOrphanedBills(node: RouterNode): Promise<void> {
  for (const [key, copy] of [...node.bills.copies]) {
    if (!isOriginDown(node, copy)) continue;
    const {persisted, missing} = await writeBatch(node, key, copy.bills);
    if (!persisted) return;
    node.bills.copies.delete(key);
    node.bills.openBatch.push(...missing);
    node.bills.writtenSequences.delete(originKey(copy));
    node.log.info(
      {key, bills: copy.bills.length},
      'wrote bills of a node that is down',
    );
  }
}
