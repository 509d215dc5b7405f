/** The node's copy of the configuration log: tail, relay and append. */
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
import {liveNames, peerAddress, type RouterNode} from './node.js';

const LOG_PREFIX = 'config/log/';
const SNAPSHOT_KEY = 'config/snapshot';
/** Digits of an entry number in its key, so that keys sort by number. */
const NUMBER_DIGITS = 12;
/** Entries read at once, and kept for peers. */
const RANGE_LIMIT = 500;
/** Length of one watch call. */
const WATCH_MS = 1_500;
/** Nodes of each failure domain that watch the log themselves. */
const TAILERS_PER_DOMAIN = 2;
/** Age of the confirmation past which a node asks the store itself. */
const OWN_READ_AGE_MS = 2_500;
const FETCH_TIMEOUT_MS = 1_000;
/** How long an append goes on through lost answers. */
const APPEND_BOUND_MS = 6_000;
const APPEND_PAUSE_MS = 100;
/** Entries between two snapshots. */
const SNAPSHOT_EVERY = 200;

function entryKey(number: number): string {
  return LOG_PREFIX + String(number).padStart(NUMBER_DIGITS, '0');
}

/** A configuration as JSON, for the store and for peers. */
interface Snapshot {
  readonly revision: number;
  readonly resources: readonly Resource[];
}

function takeSnapshot(configuration: Configuration): Snapshot {
  const resources = KINDS.flatMap(
    kind => listResources(configuration, kind) as Resource[],
  );
  return {revision: configuration.revision, resources};
}

function confirm(node: RouterNode, at: number): void {
  const confirmedAt = Math.max(node.tail.confirmedAt, at);
  node.tail = {...node.tail, confirmedAt};
}

function announce(node: RouterNode): void {
  node.metrics.configRevision.set(node.configuration.revision);
  node.log.info({revision: node.configuration.revision}, 'configuration');
  for (const listener of node.onConfiguration) listener();
}

/** Applies entries that follow the present revision; others change nothing. */
function applyEntries(node: RouterNode, entries: readonly LogEntry[]): void {
  const before = node.configuration.revision;
  for (const entry of entries) {
    const next = applyEntry(node.configuration, entry);
    if (next === node.configuration) continue;
    node.configuration = next;
    node.entries.push(entry);
  }
  node.entries = node.entries.slice(-RANGE_LIMIT);
  if (node.configuration.revision > before) announce(node);
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
  announce(node);
}

function entriesOf(items: readonly VersionedItem[]): LogEntry[] {
  return items.map(item => item.value as LogEntry);
}

/** Reads snapshot and log once; for start-up. */
export async function loadConfiguration(node: RouterNode): Promise<void> {
  const stored = await readKey(node.store, SNAPSHOT_KEY);
  if (stored.isOk() && stored.value)
    adoptSnapshot(node, stored.value.value as Snapshot);
  await readOnce(node);
}

async function readOnce(node: RouterNode): Promise<void> {
  for (;;) {
    const askedAt = node.clock();
    const after = entryKey(node.configuration.revision);
    const items = await readRange(node.store, LOG_PREFIX, after, RANGE_LIMIT);
    node.tail = {...node.tail, storeReachable: items.isOk()};
    if (items.isErr()) return;
    applyEntries(node, entriesOf(items.value));
    if (items.value.length === RANGE_LIMIT) continue;
    confirm(node, askedAt);
    return;
  }
}

async function watchOnce(node: RouterNode): Promise<void> {
  const askedAt = node.clock();
  const after = entryKey(node.configuration.revision);
  const items = await watchRange(node.store, LOG_PREFIX, after, WATCH_MS);
  node.tail = {...node.tail, storeReachable: items.isOk()};
  if (items.isErr()) return;
  applyEntries(node, entriesOf(items.value));
  // An empty answer leaves the store only after the whole wait.
  if (items.value.length === 0) confirm(node, askedAt + WATCH_MS);
  else if (items.value.length < RANGE_LIMIT) confirm(node, askedAt);
}

function isTailer(node: RouterNode): boolean {
  const {failureDomain} = node.settings;
  const neighbours = liveNames(node).filter(
    name =>
      name === node.name ||
      node.membership.listed.get(name)?.failureDomain === failureDomain,
  );
  const order = rankCandidates(`tail/${failureDomain}`, neighbours);
  return order.slice(0, TAILERS_PER_DOMAIN).includes(node.name);
}

/** One step of the tail: watch, or rely on peers and read when they are late. */
export async function tailStep(node: RouterNode): Promise<void> {
  confirm(
    node,
    findLatestPeerConfirmation(node.membership, node.configuration.revision),
  );
  if (isTailer(node)) return watchOnce(node);
  const age = node.clock() - node.tail.confirmedAt;
  if (age > OWN_READ_AGE_MS) await readOnce(node);
}

/** Fetches the entries that a peer is known to have and this node lacks. */
export async function fetchFromPeer(
  node: RouterNode,
  peer: string,
): Promise<void> {
  const address = peerAddress(node, peer);
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

/** Answers a peer that lacks entries. */
export function entriesAfter(node: RouterNode, revision: number): Entries {
  const [oldest] = node.entries;
  if (node.configuration.revision <= revision)
    return {entries: [], snapshot: ''};
  if (!oldest || oldest.number > revision + 1) {
    const snapshot = JSON.stringify(takeSnapshot(node.configuration));
    return {entries: [], snapshot};
  }
  const missing = node.entries.filter(entry => entry.number > revision);
  return {entries: missing.map(entry => JSON.stringify(entry)), snapshot: ''};
}

async function readSlot(
  node: RouterNode,
  number: number,
): Promise<Result<LogEntry | undefined, Failure>> {
  const known = node.entries.find(entry => entry.number === number);
  if (known) return ok(known);
  const stored = await readKey(node.store, entryKey(number));
  return stored.map(found => found?.value as LogEntry | undefined);
}

async function learnSlot(
  node: RouterNode,
  number: number,
  changeId: string,
): Promise<AppendStep> {
  const slot = await readSlot(node, number);
  if (slot.isErr()) return AppendStep.retry;
  if (slot.value) applyEntries(node, [slot.value]);
  return decideAfterRead(slot.value, changeId);
}

/** One try in a slot; `lost` tells whether the write may still land there. */
async function trySlot(
  node: RouterNode,
  entry: LogEntry,
): Promise<{step: AppendStep; lost: boolean}> {
  // The tail may have passed the slot while a lost write landed in it.
  if (entry.number <= node.configuration.revision) {
    const step = await learnSlot(node, entry.number, entry.changeId);
    return {step, lost: false};
  }
  const {outcome} = await createKey(node.store, entryKey(entry.number), entry);
  const step = decideAfterCreate(outcome);
  const lost = outcome === CreateOutcome.lost;
  if (step !== AppendStep.read) return {step, lost};
  return {step: await learnSlot(node, entry.number, entry.changeId), lost};
}

/**
 * Appends a proposal. The slot changes only once it is known to hold another
 * entry. An error of kind `outcome-unknown` means that the change may still be
 * accepted.
 */
export async function append(
  node: RouterNode,
  proposal: Proposal,
): Promise<Result<LogEntry, Failure>> {
  const giveUpAt = node.clock() + APPEND_BOUND_MS;
  let number = 0;
  let mayLand = false;
  while (node.clock() < giveUpAt) {
    if (number === 0) {
      const checked = checkProposal(node.configuration, proposal);
      if (checked.isErr()) return err(checked.error);
      number = node.configuration.revision + 1;
    }
    const entry: LogEntry = {...proposal, number, at: Date.now()};
    const {step, lost} = await trySlot(node, entry);
    mayLand ||= lost;
    if (step === AppendStep.accepted) {
      applyEntries(node, [entry]);
      return ok(entry);
    }
    if (step === AppendStep.advance) {
      number = 0;
      mayLand = false;
    }
    if (step === AppendStep.retry) await wait(APPEND_PAUSE_MS);
  }
  return err(
    mayLand
      ? failure('outcome-unknown', 'the store does not answer; look again')
      : failure('store-unavailable', 'the store is away; nothing was written', {
          retryAfterMs: 1_000,
        }),
  );
}

/** Writes a snapshot when the last one is old; for the control holder. */
export async function snapshotStep(node: RouterNode): Promise<void> {
  const stored = await readKey(node.store, SNAPSHOT_KEY);
  if (stored.isErr()) return;
  const known = stored.value?.value as Snapshot | undefined;
  if (node.configuration.revision - (known?.revision ?? 0) < SNAPSHOT_EVERY)
    return;
  const snapshot = takeSnapshot(node.configuration);
  if (stored.value)
    await replaceKey(node.store, SNAPSHOT_KEY, snapshot, stored.value.version);
  else await createKey(node.store, SNAPSHOT_KEY, snapshot);
}
