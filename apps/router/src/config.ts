/**
 * The node's copy of the configuration log: tails it, relays it to peers and
 * appends to it.
 */
import {failure, type Failure} from '@parsleyarch/errors/failure';
import {wait} from '@parsleyarch/lifecycle/process';
import {callPeer} from '@parsleyarch/peer/client';
import type {Entries} from '@parsleyarch/peer/messages';
import {findLatestPeerConfirmation} from '@parsleyarch/protocol/freshness';
import {
  decideAfterCreate,
  decideAfterRead,
  AppendStep,
  applyEntry,
  checkProposal,
  CreateOutcome,
  type LogEntry,
  type Proposal,
} from '@parsleyarch/protocol/log';
import {rankCandidates} from '@parsleyarch/protocol/rendezvous';
import {
  EMPTY_CONFIGURATION,
  listResources,
  withChanges,
  type Configuration,
} from '@parsleyarch/resource/configuration';
import {KINDS, type Resource} from '@parsleyarch/resource/schema';
import {
  createKey,
  readKey,
  readRange,
  replaceKey,
  watchRange,
  type VersionedItem,
} from '@parsleyarch/store/client';
import {err, ok, type Result} from 'neverthrow';
import {listLiveNodeNames, findPeerAddress, type RouterNode} from './node.js';

const LOG_PREFIX = 'config/log/';
const SNAPSHOT_KEY = 'config/snapshot';
/** Entry numbers are zero-padded in keys, so that keys sort by number. */
const ENTRY_NUMBER_DIGITS = 12;
/** Entries read in one call, and kept in memory for peers that lag. */
const MAX_RANGE_ENTRIES = 500;
/** How long the store holds a watch call open when there is nothing new. */
const WATCH_WAIT_MS = 1_500;
/**
 * Nodes per failure domain that watch the log; the others get entries from
 * peers.
 */
const TAILERS_PER_DOMAIN = 2;
/**
 * Age of the last confirmation above which a node that is not a tailer reads
 * the store.
 */
const STORE_READ_CONFIRMATION_AGE_MS = 2_500;
const FETCH_TIMEOUT_MS = 1_000;
/** How long an append is retried when responses are lost. */
const APPEND_TIMEOUT_MS = 6_000;
const APPEND_RETRY_DELAY_MS = 100;
/** Entries after the last snapshot at which a new one is written. */
const SNAPSHOT_INTERVAL_ENTRIES = 200;

function entryKey(number: number): string {
  return LOG_PREFIX + String(number).padStart(ENTRY_NUMBER_DIGITS, '0');
}

/**
 * A configuration in the form that is serialized for the store and for peers.
 */
interface Snapshot {
  readonly revision: number;
  readonly resources: readonly Resource[];
}

function createSnapshot(configuration: Configuration): Snapshot {
  const resources = KINDS.flatMap(
    kind => listResources(configuration, kind) as Resource[],
  );
  return {revision: configuration.revision, resources};
}

function recordConfirmation(node: RouterNode, at: number): void {
  const confirmedAt = Math.max(node.tail.confirmedAt, at);
  node.tail = {...node.tail, confirmedAt};
}

function notifyListeners(node: RouterNode): void {
  node.metrics.configRevision.set(node.configuration.revision);
  node.log.info(
    {revision: node.configuration.revision},
    'configuration updated',
  );
  for (const listener of node.onConfiguration) listener();
}

/**
 * Applies the entries that directly follow the current revision; ignores
 * others.
 */
function applyEntries(node: RouterNode, entries: readonly LogEntry[]): void {
  const before = node.configuration.revision;
  for (const entry of entries) {
    const next = applyEntry(node.configuration, entry);
    if (next === node.configuration) continue;
    node.configuration = next;
    node.entries.push(entry);
  }
  node.entries = node.entries.slice(-MAX_RANGE_ENTRIES);
  if (node.configuration.revision > before) notifyListeners(node);
}

function adoptSnapshot(node: RouterNode, snapshot: Snapshot): void {
  if (snapshot.revision <= node.configuration.revision) return;
  node.configuration = withChanges(
    EMPTY_CONFIGURATION,
    snapshot.revision,
    snapshot.resources,
    [],
  );
  node.entries = [];
  notifyListeners(node);
}

function toLogEntries(items: readonly VersionedItem[]): LogEntry[] {
  return items.map(item => item.value as LogEntry);
}

/** Loads the snapshot and the log entries after it; called at start-up. */
export async function loadConfiguration(node: RouterNode): Promise<void> {
  const stored = await readKey(node.store, SNAPSHOT_KEY);
  if (stored.isOk() && stored.value)
    adoptSnapshot(node, stored.value.value as Snapshot);
  await readLog(node);
}

async function readLog(node: RouterNode): Promise<void> {
  for (;;) {
    const askedAt = node.clock();
    const after = entryKey(node.configuration.revision);
    const items = await readRange(
      node.store,
      LOG_PREFIX,
      after,
      MAX_RANGE_ENTRIES,
    );
    node.tail = {...node.tail, storeReachable: items.isOk()};
    if (items.isErr()) return;
    applyEntries(node, toLogEntries(items.value));
    if (items.value.length === MAX_RANGE_ENTRIES) continue;
    recordConfirmation(node, askedAt);
    return;
  }
}

async function watchLog(node: RouterNode): Promise<void> {
  const askedAt = node.clock();
  const after = entryKey(node.configuration.revision);
  const items = await watchRange(node.store, LOG_PREFIX, after, WATCH_WAIT_MS);
  node.tail = {...node.tail, storeReachable: items.isOk()};
  if (items.isErr()) return;
  applyEntries(node, toLogEntries(items.value));
  // The store sends an empty response only at the end of the wait.
  if (items.value.length === 0)
    recordConfirmation(node, askedAt + WATCH_WAIT_MS);
  else if (items.value.length < MAX_RANGE_ENTRIES)
    recordConfirmation(node, askedAt);
}

function isTailer(node: RouterNode): boolean {
  const {failureDomain} = node.settings;
  const neighbours = listLiveNodeNames(node).filter(
    name =>
      name === node.name ||
      node.membership.listed.get(name)?.failureDomain === failureDomain,
  );
  const order = rankCandidates(`tail/${failureDomain}`, neighbours);
  return order.slice(0, TAILERS_PER_DOMAIN).includes(node.name);
}

/**
 * Runs one step of the tail: a tailer watches the log; other nodes rely on
 * peers, and read the store when the last confirmation is too old.
 */
export async function tailConfigurationLog(node: RouterNode): Promise<void> {
  recordConfirmation(
    node,
    findLatestPeerConfirmation(node.membership, node.configuration.revision),
  );
  if (isTailer(node)) return watchLog(node);
  const age = node.clock() - node.tail.confirmedAt;
  if (age > STORE_READ_CONFIRMATION_AGE_MS) await readLog(node);
}

/** Fetches from a peer the entries that this node lacks. */
export async function fetchEntriesFromPeer(
  node: RouterNode,
  peer: string,
): Promise<void> {
  const address = findPeerAddress(node, peer);
  if (!address) return;
  const {revision} = node.configuration;
  const answer = await callPeer(
    node.peers,
    address,
    'fetchEntries',
    {revision},
    FETCH_TIMEOUT_MS,
  );
  if (answer.isErr()) return;
  const {entries, snapshot} = answer.value;
  if (snapshot) adoptSnapshot(node, JSON.parse(snapshot) as Snapshot);
  applyEntries(
    node,
    entries.map(text => JSON.parse(text) as LogEntry),
  );
}

/**
 * Entries after a revision, or a snapshot when the oldest of them is not kept.
 */
export function listEntriesAfter(node: RouterNode, revision: number): Entries {
  const [oldest] = node.entries;
  if (node.configuration.revision <= revision)
    return {entries: [], snapshot: ''};
  if (!oldest || oldest.number > revision + 1) {
    const snapshot = JSON.stringify(createSnapshot(node.configuration));
    return {entries: [], snapshot};
  }
  const missing = node.entries.filter(entry => entry.number > revision);
  return {entries: missing.map(entry => JSON.stringify(entry)), snapshot: ''};
}

/**
 * Reads a slot: the position in the log at which one entry is created, by the
 * number of that entry. A slot is empty until a node creates its entry.
 */
async function readSlot(
  node: RouterNode,
  number: number,
): Promise<Result<LogEntry | undefined, Failure>> {
  const known = node.entries.find(entry => entry.number === number);
  if (known) return ok(known);
  const stored = await readKey(node.store, entryKey(number));
  return stored.map(found => found?.value as LogEntry | undefined);
}

async function applySlot(
  node: RouterNode,
  number: number,
  changeId: string,
): Promise<AppendStep> {
  const slot = await readSlot(node, number);
  if (slot.isErr()) return AppendStep.retry;
  if (slot.value) applyEntries(node, [slot.value]);
  return decideAfterRead(slot.value, changeId);
}

/**
 * Tries once to write a slot; `lost` is set when the write may still take
 * effect.
 */
async function tryWriteSlot(
  node: RouterNode,
  entry: LogEntry,
): Promise<{step: AppendStep; lost: boolean}> {
  // The tail may have applied the slot already, with a write whose response was
  // lost.
  if (entry.number <= node.configuration.revision) {
    const step = await applySlot(node, entry.number, entry.changeId);
    return {step, lost: false};
  }
  const {outcome} = await createKey(node.store, entryKey(entry.number), entry);
  const step = decideAfterCreate(outcome);
  const lost = outcome === CreateOutcome.lost;
  if (step !== AppendStep.read) return {step, lost};
  return {step: await applySlot(node, entry.number, entry.changeId), lost};
}

/**
 * Appends a proposal to the log. Moves on to the next slot only when this one
 * is known to hold another entry. An error of kind `outcome-unknown` means that
 * the change may still be accepted.
 */
export async function appendProposal(
  node: RouterNode,
  proposal: Proposal,
): Promise<Result<LogEntry, Failure>> {
  const deadline = node.clock() + APPEND_TIMEOUT_MS;
  // Number of the slot to write. At 0, the proposal must first be checked against
  // the present configuration, which determines the slot.
  let number = 0;
  let mayBeAccepted = false;
  while (node.clock() < deadline) {
    if (number === 0) {
      const checked = checkProposal(node.configuration, proposal);
      if (checked.isErr()) return err(checked.error);
      number = node.configuration.revision + 1;
    }
    const entry: LogEntry = {...proposal, number, at: Date.now()};
    const {step, lost} = await tryWriteSlot(node, entry);
    mayBeAccepted ||= lost;
    if (step === AppendStep.accepted) {
      applyEntries(node, [entry]);
      return ok(entry);
    }
    if (step === AppendStep.advance) {
      number = 0;
      mayBeAccepted = false;
    }
    if (step === AppendStep.retry) await wait(APPEND_RETRY_DELAY_MS);
  }
  return err(
    mayBeAccepted
      ? failure(
          'outcome-unknown',
          'the store did not respond; the change may still be accepted',
        )
      : failure(
          'store-unavailable',
          'the store is unavailable; nothing was written',
          {
            retryAfterMs: 1_000,
          },
        ),
  );
}

/**
 * Writes a snapshot when the last one is SNAPSHOT_INTERVAL_ENTRIES behind.
 * Called on the holder of the control group.
 */
export async function writeSnapshotIfDue(node: RouterNode): Promise<void> {
  const stored = await readKey(node.store, SNAPSHOT_KEY);
  if (stored.isErr()) return;
  const known = stored.value?.value as Snapshot | undefined;
  if (
    node.configuration.revision - (known?.revision ?? 0) <
    SNAPSHOT_INTERVAL_ENTRIES
  )
    return;
  const snapshot = createSnapshot(node.configuration);
  if (stored.value)
    await replaceKey(node.store, SNAPSHOT_KEY, snapshot, stored.value.version);
  else await createKey(node.store, SNAPSHOT_KEY, snapshot);
}
