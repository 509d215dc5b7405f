/**
 * Follows the store's changes: a full read first, then watches in revision
 * order, and another full read when the store no longer holds the history. Only
 * a few nodes watch the store; the others follow these and call the store only
 * if none of them is usable.
 */
import {registerResource} from '@parsleyarch/lifecycle/manager';
import {repeat, wait} from '@parsleyarch/lifecycle/process';
import {failure, type Failure} from '@parsleyarch/errors/failure';
import {callPeer} from '@parsleyarch/peer/client';
import type {
  ChangedItem,
  Changes,
  Confirmation,
} from '@parsleyarch/peer/messages';
import {STORE_KEY} from '@parsleyarch/platform/names';
import {listSources, listWatchers} from '@parsleyarch/policy/watchers';
import {
  readPrefix,
  watchChanges,
  type StoredItem,
} from '@parsleyarch/store/keyspace';
import {err, type Result} from 'neverthrow';
import {applyChanges, replaceItems, staleConfirmationMs} from './feed.js';
import {confirmationAge} from './freshness.js';
import {recordRestoration} from './restoration.js';
import type {EntryNode} from './node.js';

/**
 * Maximum wait of a watch, relative to the time in which a configuration must be
 * in force; confirmations reach about twice this age.
 */
const WATCH_TIMEOUT_RATIO = 0.25;
/** Pause between calls, so that successive changes share one call. */
const BATCH_PAUSE_MS = 50;
/** Shortest and longest pause after a failed call, milliseconds. */
const MIN_RETRY_MS = 200;
const MAX_RETRY_MS = 1_000;
/** Longest such pause of a node that calls the store in place of a source. */
const MAX_FOLLOWER_RETRY_MS = 4_000;
/** Pause while there is no source and the store may not be called yet. */
const POLL_MS = 100;
/**
 * Shortest and longest wait of a call to a source, milliseconds. Calls wait longer
 * in large deployments; exchanges of load bring the confirmations between them.
 */
const MIN_SOURCE_WAIT_MS = 400;
const MAX_SOURCE_WAIT_MS = 2_000;
const SOURCE_WAIT_PER_NODE_MS = 30;
/** Time for which such a call may go on although the confirmation is stale. */
const MIN_SOURCE_CALL_MS = 200;
/** Time-out of such a call beyond its wait, milliseconds. */
const SOURCE_MARGIN_MS = 500;
/** Time for which a source is skipped; doubles with each failed call. */
const MIN_SKIP_MS = 1_000;
const MAX_SKIP_MS = 8_000;

/** Where a node gets changes from. */
export interface Following {
  /** Node that is followed; absent if the store is watched directly. */
  source?: string;
  /** Whether a full read is due, at the start or as the history is gone. */
  mustReadAll: boolean;
  /** Whether the last call to the store failed. */
  storeFailing: boolean;
  /** Pause after the next failed call, milliseconds. */
  retryMs: number;
  /** When the store may be called again after a failure. */
  retryAt: number;
  /** Ends the call to the source that is in progress, with a reason. */
  abandon?: (reason: string) => void;
  /** Skipped sources, with the end and the length of the skip. */
  readonly skipped: Map<string, {until: number; skipMs: number}>;
}

export function createFollowing(): Following {
  return {
    mustReadAll: true,
    storeFailing: false,
    retryMs: MIN_RETRY_MS,
    retryAt: 0,
    skipped: new Map(),
  };
}

function assignedSources({settings, members}: EntryNode): string[] {
  const {node: name, failureDomain} = settings;
  return listSources(members.values(), {name, failureDomain});
}

function isWatcher(node: EntryNode): boolean {
  return assignedSources(node).length === 0;
}

/** While its calls to the store fail, a watcher follows the other watchers. */
function candidateSources(node: EntryNode): string[] {
  const sources = assignedSources(node);
  if (sources.length > 0 || !node.following.storeFailing) return sources;
  const names = listWatchers(node.members.values()).map(({name}) => name);
  return names.filter(name => name !== node.settings.node);
}

function updateStoreLost(node: EntryNode, lost: boolean, reason = ''): void {
  if (node.storeLost === lost) return;
  node.storeLost = lost;
  if (lost) return node.log.warn({reason}, 'store lost');
  node.storeReturnedAt = node.clock();
  node.log.info('store regained');
}

function updateSource(node: EntryNode, source: string | undefined): void {
  const {following} = node;
  if (following.source === source) return;
  node.log.info({from: following.source, to: source}, 'source of changes');
  following.source = source;
}

/** Doubles the pause after each failed call, up to a maximum. */
function recordFailedCall(node: EntryNode, reason: string): void {
  const {following} = node;
  following.storeFailing = true;
  if (confirmationAge(node) > node.settings.configuration.applyMs)
    updateStoreLost(node, true, reason);
  const maxRetryMs = isWatcher(node) ? MAX_RETRY_MS : MAX_FOLLOWER_RETRY_MS;
  node.logDecision('store call', {
    outcome: 'failed',
    reason,
    retryMs: following.retryMs,
    confirmationAgeMs: Math.round(confirmationAge(node)),
  });
  following.retryAt = node.clock() + following.retryMs;
  following.retryMs = Math.min(maxRetryMs, following.retryMs * 2);
}

function recordSuccessfulCall(node: EntryNode): void {
  const {following} = node;
  // Entries may have expired in an outage of any length.
  if (following.storeFailing) node.storeReturnedAt = node.clock();
  following.storeFailing = false;
  following.retryMs = MIN_RETRY_MS;
  updateStoreLost(node, false);
}

function recordConfirmation(node: EntryNode, at: number): void {
  node.confirmedAt = Math.max(node.confirmedAt ?? 0, at);
}

/** Called before the first items of an era are applied. */
function updateEra(node: EntryNode, era: number): void {
  const {feed} = node;
  if (feed.revision === undefined || era <= feed.era) return;
  recordRestoration(node, era);
}

async function readStore(node: EntryNode): Promise<void> {
  const {following} = node;
  const sentAt = node.continuousClock();
  const all = await readPrefix(node.keyspace, STORE_KEY.all);
  if (all.isErr()) return recordFailedCall(node, all.error.message);
  recordSuccessfulCall(node);
  following.mustReadAll = false;
  updateEra(node, all.value.era);
  replaceItems(node.feed, all.value);
  recordConfirmation(node, sentAt);
}

async function watchStore(node: EntryNode, revision: number): Promise<void> {
  const sentAt = node.continuousClock();
  const changes = await watchChanges(
    node.keyspace,
    STORE_KEY.all,
    revision,
    node.settings.configuration.applyMs * WATCH_TIMEOUT_RATIO,
  );
  if (changes.isErr()) return recordFailedCall(node, changes.error.message);
  recordSuccessfulCall(node);
  if (!changes.value || changes.value.era !== node.feed.era) {
    node.log.warn({revision, era: node.feed.era}, 'history gone');
    node.following.mustReadAll = true;
    return;
  }
  applyChanges(node.feed, changes.value);
  recordConfirmation(node, sentAt);
}

/** Reads or watches the store once, as the state of the feed requires. */
export async function pollStore(node: EntryNode): Promise<void> {
  const {feed, following} = node;
  if (node.clock() < following.retryAt) return wait(POLL_MS);
  updateSource(node, undefined);
  const isNewEra = node.keyspace.era > feed.era;
  if (feed.revision === undefined || following.mustReadAll || isNewEra)
    return readStore(node);
  await watchStore(node, feed.revision);
}

function toItem({key, revision, value, removed}: ChangedItem): StoredItem {
  return {key, revision, value: removed ? undefined : value};
}

/** Applies the answer of a source to a call sent at a time of the continuous clock. */
export function applyRelayedChanges(
  node: EntryNode,
  changes: Changes,
  sentAt: number,
): void {
  if (changes.era < node.feed.era) return;
  const items = changes.items.map(toItem);
  const {revision, era} = changes;
  if (changes.returnedAgoMs >= 0) {
    const returnedAt = node.clock() - changes.returnedAgoMs;
    const known = node.storeReturnedAt ?? -Infinity;
    node.storeReturnedAt = Math.max(known, returnedAt);
  }
  updateEra(node, era);
  if (changes.whole) replaceItems(node.feed, {items, revision, era});
  else applyChanges(node.feed, {items, revision, era});
  // The source sent the answer at this time of this node's clock or later.
  const answeredAt = sentAt + changes.heldMs;
  const confirmedAt = answeredAt - changes.confirmedAgeMs;
  recordConfirmation(node, confirmedAt);
}

function skipSource(
  node: EntryNode,
  source: string,
  skipMs: number,
  reason: string,
): void {
  const {skipped} = node.following;
  skipped.set(source, {until: node.clock() + skipMs, skipMs});
  node.logDecision('source', {
    choice: 'pass over',
    source,
    reason,
    skipMs,
    confirmationAgeMs: Math.round(confirmationAge(node)),
  });
}

/**
 * Applies a confirmation that another node relays. It holds for this node only if
 * this node knows all changes that the other one knew.
 */
export function applyConfirmation(
  node: EntryNode,
  {era, revision, confirmedAgeMs}: Confirmation,
  sentAt: number,
): void {
  const {feed, keyspace} = node;
  if (era !== feed.era || era < keyspace.era) return;
  if (revision === 0 || (feed.revision ?? 0) < revision) return;
  recordConfirmation(node, sentAt - confirmedAgeMs);
}

/** Stops following a node that did not answer another call. */
export function leaveSource(
  node: EntryNode,
  name: string,
  reason: string,
): void {
  if (node.following.source === name) node.following.abandon?.(reason);
}

function sourceWaitMs({members}: EntryNode): number {
  const waitMs = members.size * SOURCE_WAIT_PER_NODE_MS;
  return Math.min(MAX_SOURCE_WAIT_MS, Math.max(MIN_SOURCE_WAIT_MS, waitMs));
}

function isConfirmationStale(node: EntryNode): boolean {
  return confirmationAge(node) >= staleConfirmationMs(node);
}

/**
 * Stops following a source once the confirmation is stale. Confirmations that
 * other nodes relay meanwhile extend the time.
 */
function abandonWhenStale(node: EntryNode): () => void {
  const check = () => {
    if (isConfirmationStale(node))
      return node.following.abandon?.(
        'no answer before the confirmation is stale',
      );
    const untilStaleMs = staleConfirmationMs(node) - confirmationAge(node);
    timer = setTimeout(check, untilStaleMs);
  };
  let timer = setTimeout(check, MIN_SOURCE_CALL_MS);
  return () => clearTimeout(timer);
}

/** Calls a source; ends early if the node stops following it. */
async function callSource(
  node: EntryNode,
  address: string,
): Promise<Result<Changes, Failure>> {
  const {feed, following, peers} = node;
  const waitMs = sourceWaitMs(node);
  const abandoned = new Promise<Result<Changes, Failure>>(resolve => {
    following.abandon = reason => resolve(err(failure('internal', reason)));
  });
  const called = callPeer(
    peers.client!,
    address,
    'followChanges',
    {era: feed.era, revision: feed.revision!, waitMs},
    waitMs + SOURCE_MARGIN_MS,
  );
  const stopTimer = abandonWhenStale(node);
  const changes = await Promise.race([called, abandoned]);
  stopTimer();
  following.abandon = undefined;
  return changes;
}

async function pollSource(
  node: EntryNode,
  source: string,
  address: string,
): Promise<void> {
  const sentAt = node.continuousClock();
  const changes = await callSource(node, address);
  if (changes.isErr()) {
    const lastSkipMs = node.following.skipped.get(source)?.skipMs ?? 0;
    const skipMs = Math.min(MAX_SKIP_MS, Math.max(MIN_SKIP_MS, lastSkipMs * 2));
    return skipSource(node, source, skipMs, changes.error.message);
  }
  const {confirmedAgeMs, era} = changes.value;
  const isStale =
    confirmedAgeMs >= staleConfirmationMs(node) || era < node.keyspace.era;
  if (isStale)
    skipSource(node, source, MIN_SKIP_MS, `confirmed ${confirmedAgeMs} ms ago`);
  else {
    node.following.skipped.delete(source);
    updateStoreLost(node, false);
    updateSource(node, source);
  }
  applyRelayedChanges(node, changes.value, sentAt);
}

/** Forgets skips that ended some time ago, and with them the length of the next. */
function forgetOldSkips({following, clock}: EntryNode): void {
  for (const [name, {until, skipMs}] of following.skipped) {
    if (clock() > until + skipMs) following.skipped.delete(name);
  }
}

function findSource(node: EntryNode) {
  const {feed, following, peers} = node;
  forgetOldSkips(node);
  if (feed.revision === undefined || following.mustReadAll || !peers.client)
    return undefined;
  for (const name of candidateSources(node)) {
    if ((following.skipped.get(name)?.until ?? 0) > node.clock()) continue;
    const address = node.members.get(name)?.address;
    if (address) return {name, address};
  }
  return undefined;
}

async function followOnce(node: EntryNode): Promise<void> {
  // Further sources may be silent too, and a change must be in force in time.
  const callsStore = isWatcher(node) || isConfirmationStale(node);
  const isStoreDue = callsStore && node.clock() >= node.following.retryAt;
  const source = isStoreDue ? undefined : findSource(node);
  if (source) await pollSource(node, source.name, source.address);
  else await pollStore(node);
}

/** Follows the store until the node stops; resolves after the first full read. */
export function followStore(node: EntryNode): Promise<void> {
  return new Promise(resolve => {
    const step = async () => {
      await followOnce(node);
      if (node.feed.revision !== undefined) resolve();
    };
    const running = repeat(BATCH_PAUSE_MS, step, error =>
      node.log.error(
        {error: String(error)},
        'following the changes of the store failed',
      ),
    );
    // A pending watch ends when the client's connections are closed.
    registerResource(node.manager, 'follow', () => void running.end());
  });
}
