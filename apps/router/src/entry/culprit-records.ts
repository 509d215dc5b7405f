/**
 * Records of culprits in the store, with the number of their trials. They outlive the
 * nodes, and all nodes count the same trials: each write is conditional on what its
 * node knows.
 */
import {registerResource} from '@parsleyarch/lifecycle/manager';
import {repeat, wait} from '@parsleyarch/lifecycle/process';
import {STORE_KEY} from '@parsleyarch/platform/names';
import {listAllCulprits} from '@parsleyarch/policy/crash-evidence';
import {hashName, rankMember} from '@parsleyarch/policy/rendezvous';
import {commitTransaction, type StoredItem} from '@parsleyarch/store/keyspace';
import {createHash} from 'node:crypto';
import * as z from 'zod';
import {clearSuspectsOf, type CulpritRecord} from './crashes.js';
import type {EntryNode} from './node.js';
import {isRestoring} from './restoration.js';

/**
 * Age of the latest end from which a culprit is recorded in the store. Answers that are
 * under way may still clear it. Nodes that rank after the first one wait for it.
 */
const RECORD_DELAY_MS = 1_000;
const RECORD_INTERVAL_MS = 250;
/** Number of records in the store; the oldest ones are removed. */
const MAX_RECORD_COUNT = 200;
/** Maximum random delay before a node writes a record that the store has lost. */
const MAX_REWRITE_JITTER_MS = 1_500;
/** Tries to remove the record of a request that was answered, and their interval. */
const MAX_RELEASE_COUNT = 100;
const RELEASE_INTERVAL_MS = 50;

export const CULPRITS_PREFIX = `${STORE_KEY.router}culprits/`;

const RecordEntry = z.object({key: z.string(), trialCount: z.number()});

/** Keys of the store are short; those of culprits need not be. */
function storeKeyOf(key: string): string {
  return CULPRITS_PREFIX + createHash('sha256').update(key).digest('hex');
}

function decodeRecord(
  node: EntryNode,
  {key, value, revision}: StoredItem,
): CulpritRecord | undefined {
  try {
    const entry = RecordEntry.parse(JSON.parse(String(value)));
    return {...entry, revision, changedAt: node.clock()};
  } catch (thrown) {
    node.log.warn({key, error: String(thrown)}, 'culprit cannot be decoded');
    return undefined;
  }
}

/** Forgets a culprit that others have tried with success. */
function forget(node: EntryNode, {key}: CulpritRecord): void {
  node.crashes.records.delete(key);
  clearSuspectsOf(node, [key], node.clock());
  node.logDecision('culprit', {choice: 'forget', key});
}

/** Applies a change of a record in the store. */
export function applyCulprit(node: EntryNode, item: StoredItem): void {
  const {records} = node.crashes;
  if (!item.value) {
    for (const record of records.values()) {
      if (storeKeyOf(record.key) === item.key) return forget(node, record);
    }
    return;
  }
  const record = decodeRecord(node, item);
  if (!record) return;
  const known = records.get(record.key);
  const trialCount = Math.max(record.trialCount, known?.trialCount ?? 0);
  const isKnown = known?.trialCount === trialCount;
  const changedAt = isKnown ? known.changedAt : record.changedAt;
  records.set(record.key, {...record, trialCount, changedAt});
}

/** Applies what a full read of the store lacks. */
export function resetCulprits(
  node: EntryNode,
  items: readonly StoredItem[],
): void {
  const {records} = node.crashes;
  const keys = new Set(items.map(({key}) => key));
  for (const record of [...records.values()]) {
    if (keys.has(storeKeyOf(record.key))) continue;
    if (!isRestoring(node)) {
      forget(node, record);
      continue;
    }
    records.set(record.key, {...record, revision: 0});
    setTimeout(
      () => void writeRecords(node, [record.key], 0),
      node.random() * MAX_REWRITE_JITTER_MS,
    ).unref();
  }
}

/** The oldest records, if there is no room for further ones. */
function listEvicted({crashes: {records}}: EntryNode, added: number) {
  const excess = records.size + added - MAX_RECORD_COUNT;
  if (excess <= 0) return [];
  const oldestFirst = [...records.values()].sort(
    (a, b) => a.revision - b.revision,
  );
  return oldestFirst.slice(0, excess).map(({key}) => storeKeyOf(key));
}

/**
 * Writes records, with a number of further trials, if the store holds what this node
 * knows of them. Returns whether they were written, `undefined` if that is not known.
 */
export async function writeRecords(
  node: EntryNode,
  keys: readonly string[],
  furtherTrials: number,
): Promise<boolean | undefined> {
  const {records, pendingWrites} = node.crashes;
  if (keys.some(key => pendingWrites.has(key))) return false;
  const before = keys.map(key => records.get(key));
  if (furtherTrials === 0 && before.every(record => record?.revision))
    return false;
  const entries = keys.map((key, index) => ({
    key,
    trialCount: (before[index]?.trialCount ?? 0) + furtherTrials,
  }));
  for (const key of keys) pendingWrites.add(key);
  const addedCount = before.filter(record => !record).length;
  const written = await commitTransaction(node.keyspace, {
    expected: keys.map((key, index) => ({
      key: storeKeyOf(key),
      revision: before[index]?.revision ?? 0,
    })),
    writes: entries.map(entry => ({
      key: storeKeyOf(entry.key),
      value: Buffer.from(JSON.stringify(entry)),
    })),
    removed: listEvicted(node, addedCount),
  });
  for (const key of keys) pendingWrites.delete(key);
  if (written.isErr()) {
    node.log.warn({keys, error: written.error.message}, 'culprit not recorded');
    return undefined;
  }
  const revision = written.value;
  if (revision === undefined) return false;
  // The store's changes may have arrived before its answer, and later ones too.
  if ((node.feed.revision ?? 0) >= revision) return true;
  const changedAt = node.clock();
  for (const entry of entries)
    records.set(entry.key, {...entry, revision, changedAt});
  return true;
}

/** Records of a request that no trial has changed since a time. */
function listUnchanged(
  {crashes: {records}}: EntryNode,
  keys: readonly string[],
  sentAt: number,
): CulpritRecord[] {
  const known = keys.flatMap(key => records.get(key) ?? []);
  return known.filter(({changedAt}) => changedAt <= sentAt);
}

/**
 * Removes the records of a request that an upstream has answered. The store's own
 * revisions are known once its changes arrive, so the first tries may fail.
 */
export async function releaseCulprits(
  node: EntryNode,
  keys: readonly string[],
  sentAt: number,
): Promise<void> {
  for (let tries = 0; tries < MAX_RELEASE_COUNT; tries += 1) {
    const released = listUnchanged(node, keys, sentAt);
    if (released.length === 0) return;
    const removed = await commitTransaction(node.keyspace, {
      expected: released.map(({key, revision}) => ({
        key: storeKeyOf(key),
        revision,
      })),
      writes: [],
      removed: released.map(({key}) => storeKeyOf(key)),
    });
    if (removed.isOk() && removed.value !== undefined) return;
    await wait(RELEASE_INTERVAL_MS);
  }
  node.log.warn({keys}, 'culprit not removed from the store');
}

/** Records culprits in the store that the nodes that rank before have not recorded. */
async function recordCulprits(node: EntryNode): Promise<void> {
  const {evidence, records} = node.crashes;
  const now = node.clock();
  for (const {key, lastEndAt} of listAllCulprits(evidence)) {
    if (records.get(key)?.revision) continue;
    const rank = rankMember(hashName(key), node, node.members.values());
    if (now - lastEndAt < RECORD_DELAY_MS * (1 + rank)) continue;
    await writeRecords(node, [key], 0);
  }
}

/** Keeps the culprits that this node knows of recorded in the store. */
export function keepCulpritsRecorded(node: EntryNode): void {
  const running = repeat(
    RECORD_INTERVAL_MS,
    () => recordCulprits(node),
    error =>
      node.log.error({error: String(error)}, 'recording culprits failed'),
  );
  registerResource(node.manager, 'culprits', () => void running.end());
}
