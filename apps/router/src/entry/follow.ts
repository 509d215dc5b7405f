/**
 * Follows the store's changes: a full read first, then watches in revision
 * order, and a full read again when the history is gone. Only a few nodes watch
 * the store; the others follow these and turn to the store when none of them
 * is well.
 */
import {registerResource} from '@parsleyarch/lifecycle/manager';
import {repeat, wait} from '@parsleyarch/lifecycle/process';
import {callPeer} from '@parsleyarch/peer/client';
import type {ChangedItem, Changes} from '@parsleyarch/peer/messages';
import {STORE_KEY} from '@parsleyarch/platform/names';
import {listSources, listWatchers} from '@parsleyarch/policy/watchers';
import {
  readPrefix,
  watchChanges,
  type StoredItem,
} from '@parsleyarch/store/keyspace';
import {OLD_CONFIRMATION_MS, takeAll, takeChanges} from './feed.js';
import {confirmationAge} from './freshness.js';
import type {EntryNode} from './node.js';

/** Longest wait of a watch; a confirmation gets about twice as old. */
const WATCH_MS = 500;
/** Pause between watches, so that changes in a row share one call. */
const GATHER_MS = 50;
/** Shortest and longest pause after a failed call, milliseconds. */
const MIN_RETRY_MS = 200;
const MAX_RETRY_MS = 1_000;
/** The longest pause of a node that only stands in for its source. */
const MAX_FOLLOWER_RETRY_MS = 4_000;
/** Pause before a node without any source looks again, milliseconds. */
const LOOK_MS = 100;
/** Longest wait at a node that is followed, milliseconds. */
const HELD_MS = 400;
/** Time for such a call beyond its wait, milliseconds. */
const ANSWER_MS = 500;
/** Age of a confirmation from which the store counts as lost, milliseconds. */
const LOST_MS = 2_000;
/** Time for which a source is passed over; it doubles with each lost call. */
const MIN_SKIP_MS = 1_000;
const MAX_SKIP_MS = 8_000;

/** Where a node gets changes from. */
export interface Following {
  /** Node that is followed; absent: the store. */
  source?: string;
  /** Whether all items must be read, as the history is gone. */
  mustRead: boolean;
  /** Whether the last call to the store failed. */
  failing: boolean;
  /** Pause after the next failed call, milliseconds. */
  retryMs: number;
  /** When the store may be called again after a failure. */
  retryAt: number;
  /** Sources that are passed over, until when, and for how long. */
  readonly skipped: Map<string, {until: number; skipMs: number}>;
}

/** Follows nothing yet. */
export function createFollowing(): Following {
  return {
    mustRead: true,
    failing: false,
    retryMs: MIN_RETRY_MS,
    retryAt: 0,
    skipped: new Map(),
  };
}

function ownSources({settings, members}: EntryNode): string[] {
  const {node: name, failureDomain} = settings;
  return listSources(members.values(), {name, failureDomain});
}

function isWatcher(node: EntryNode): boolean {
  return ownSources(node).length === 0;
}

/** A watcher that the store turns away follows the other watchers meanwhile. */
function sourcesOf(node: EntryNode): string[] {
  const sources = ownSources(node);
  if (sources.length > 0 || !node.following.failing) return sources;
  const names = listWatchers(node.members.values()).map(({name}) => name);
  return names.filter(name => name !== node.settings.node);
}

function noteReach(node: EntryNode, lost: boolean, reason = ''): void {
  if (node.storeLost === lost) return;
  node.storeLost = lost;
  if (lost) return node.log.warn({reason}, 'store lost');
  node.storeReturnedAt = node.clock();
  node.log.info('store regained');
}

function noteSource(node: EntryNode, source: string | undefined): void {
  const {following} = node;
  if (following.source === source) return;
  node.log.info({from: following.source, to: source}, 'source of changes');
  following.source = source;
}

/** Each call counts, so the pause doubles while the store stays away. */
function noteFailedCall(node: EntryNode, reason: string): void {
  const {following} = node;
  following.failing = true;
  if (confirmationAge(node) > LOST_MS) noteReach(node, true, reason);
  const most = isWatcher(node) ? MAX_RETRY_MS : MAX_FOLLOWER_RETRY_MS;
  following.retryAt = node.clock() + following.retryMs;
  following.retryMs = Math.min(most, following.retryMs * 2);
}

function noteCall(node: EntryNode): void {
  const {following} = node;
  // Entries may have lapsed in an outage of any length.
  if (following.failing) node.storeReturnedAt = node.clock();
  following.failing = false;
  following.retryMs = MIN_RETRY_MS;
  noteReach(node, false);
}

function noteConfirmed(node: EntryNode, at: number): void {
  node.confirmedAt = Math.max(node.confirmedAt ?? 0, at);
}

async function readStore(node: EntryNode): Promise<void> {
  const {following} = node;
  const sentAt = node.continuousClock();
  const all = await readPrefix(node.keyspace, STORE_KEY.all);
  if (all.isErr()) return noteFailedCall(node, all.error.message);
  noteCall(node);
  following.mustRead = false;
  takeAll(node.feed, all.value.items, all.value.revision);
  noteConfirmed(node, sentAt);
}

async function watchStore(node: EntryNode, revision: number): Promise<void> {
  const sentAt = node.continuousClock();
  const changes = await watchChanges(
    node.keyspace,
    STORE_KEY.all,
    revision,
    WATCH_MS,
  );
  if (changes.isErr()) return noteFailedCall(node, changes.error.message);
  noteCall(node);
  if (!changes.value) {
    node.log.warn({revision}, 'history gone');
    node.following.mustRead = true;
    return;
  }
  takeChanges(node.feed, changes.value.items, changes.value.revision);
  noteConfirmed(node, sentAt);
}

async function askStore(node: EntryNode): Promise<void> {
  const {feed, following} = node;
  if (node.clock() < following.retryAt) return wait(LOOK_MS);
  noteSource(node, undefined);
  if (feed.revision === undefined || following.mustRead) return readStore(node);
  await watchStore(node, feed.revision);
}

function toItem({key, revision, value, removed}: ChangedItem): StoredItem {
  return {key, revision, value: removed ? undefined : value};
}

function takeRelayed(node: EntryNode, changes: Changes, sentAt: number): void {
  const items = changes.items.map(toItem);
  if (changes.returnedAgoMs >= 0) {
    const returnedAt = node.clock() - changes.returnedAgoMs;
    const known = node.storeReturnedAt ?? -Infinity;
    node.storeReturnedAt = Math.max(known, returnedAt);
  }
  if (changes.whole) takeAll(node.feed, items, changes.revision);
  else takeChanges(node.feed, items, changes.revision);
  // The answer left the source no earlier than this, by this node's clock.
  const answeredAt = sentAt + changes.heldMs;
  const confirmedAt = answeredAt - changes.confirmedAgeMs;
  noteConfirmed(node, confirmedAt);
}

function passOver(
  node: EntryNode,
  source: string,
  skipMs: number,
  reason: string,
): void {
  const {skipped} = node.following;
  skipped.set(source, {until: node.clock() + skipMs, skipMs});
  node.note('source', {choice: 'pass over', source, reason});
}

async function askSource(
  node: EntryNode,
  source: string,
  address: string,
): Promise<void> {
  const {feed, peers} = node;
  const sentAt = node.continuousClock();
  const changes = await callPeer(
    peers.client!,
    address,
    'followChanges',
    {revision: feed.revision!, waitMs: HELD_MS},
    HELD_MS + ANSWER_MS,
  );
  if (changes.isErr()) {
    const last = node.following.skipped.get(source)?.skipMs ?? 0;
    const skipMs = Math.min(MAX_SKIP_MS, Math.max(MIN_SKIP_MS, last * 2));
    return passOver(node, source, skipMs, changes.error.message);
  }
  const {confirmedAgeMs} = changes.value;
  const isOld = confirmedAgeMs >= OLD_CONFIRMATION_MS;
  if (isOld)
    passOver(node, source, MIN_SKIP_MS, `confirmed ${confirmedAgeMs} ms ago`);
  else {
    node.following.skipped.delete(source);
    noteReach(node, false);
    noteSource(node, source);
  }
  takeRelayed(node, changes.value, sentAt);
}

function findSource(node: EntryNode) {
  const {feed, following, peers} = node;
  if (feed.revision === undefined || following.mustRead || !peers.client)
    return undefined;
  for (const name of sourcesOf(node)) {
    if ((following.skipped.get(name)?.until ?? 0) > node.clock()) continue;
    const address = node.members.get(name)?.address;
    if (address) return {name, address};
  }
  return undefined;
}

async function followStep(node: EntryNode): Promise<void> {
  const isDue = isWatcher(node) && node.clock() >= node.following.retryAt;
  const source = isDue ? undefined : findSource(node);
  if (source) await askSource(node, source.name, source.address);
  else await askStore(node);
}

/** Follows the store until the node stops; resolves after the first full read. */
export function followStore(node: EntryNode): Promise<void> {
  return new Promise(resolve => {
    const step = async () => {
      await followStep(node);
      if (node.feed.revision !== undefined) resolve();
    };
    const running = repeat(GATHER_MS, step, error =>
      node.log.error({error: String(error)}, 'following failed'),
    );
    // A pending watch ends when the client's connections are closed.
    registerResource(node.manager, 'follow', () => void running.end());
  });
}
