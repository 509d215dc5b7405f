/**
 * Calls to the store for its changes: a full read first, then watches in revision
 * order, and another full read when the store no longer holds the history.
 */
import {wait} from '@parsleyarch/lifecycle/process';
import {STORE_KEY} from '@parsleyarch/platform/names';
import {maxStorePauseMs} from '@parsleyarch/policy/following';
import {readPrefix, watchChanges} from '@parsleyarch/store/keyspace';
import {applyChanges, replaceItems} from './feed.js';
import {
  isConfirmationStale,
  isWatcher,
  MIN_STORE_PAUSE_MS,
  recordConfirmation,
  updateSource,
  updateStoreLost,
} from './following.js';
import {confirmationAge} from './freshness.js';
import type {EntryNode} from './node.js';
import {updateEra} from './restoration.js';

/**
 * Maximum wait of a watch, relative to the time in which a configuration must be
 * in force; confirmations reach about twice this age.
 */
const WATCH_TIMEOUT_RATIO = 0.25;
/** The same for a node that must know at once whether it is current. */
const STALE_WATCH_TIMEOUT_MS = 10;
/** Pause while the store may not be called yet. */
const POLL_MS = 100;

function currentPauseMs(node: EntryNode): number {
  const {following, members, settings} = node;
  const maxMs = maxStorePauseMs({
    isWatcher: isWatcher(node),
    sincePeerMs: node.clock() - following.peerAnsweredAt,
    nodeCount: members.size,
    applyMs: settings.configuration.applyMs,
  });
  return Math.min(maxMs, following.storePauseMs);
}

/** Whether the pause after the last failed call has elapsed. */
export function isStoreDue(node: EntryNode): boolean {
  const {storeFailing, storeFailedAt} = node.following;
  return !storeFailing || node.clock() >= storeFailedAt + currentPauseMs(node);
}

function recordFailedCall(node: EntryNode, reason: string): void {
  const {following} = node;
  following.storePauseMs = following.storeFailing
    ? following.storePauseMs * 2
    : MIN_STORE_PAUSE_MS;
  following.storeFailing = true;
  following.storeFailedAt = node.clock();
  if (confirmationAge(node) > node.settings.configuration.applyMs)
    updateStoreLost(node, true, reason);
  node.logDecision('store call', {
    outcome: 'failed',
    reason,
    pauseMs: Math.round(currentPauseMs(node)),
    confirmationAgeMs: Math.round(confirmationAge(node)),
  });
}

function recordSuccessfulCall(node: EntryNode): void {
  const {following} = node;
  // Entries may have expired in an outage of any length.
  if (following.storeFailing) node.storeReturnedAt = node.clock();
  following.storeFailing = false;
  updateStoreLost(node, false);
  updateSource(node, undefined);
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
  const waitMs = isConfirmationStale(node)
    ? STALE_WATCH_TIMEOUT_MS
    : node.settings.configuration.applyMs * WATCH_TIMEOUT_RATIO;
  const changes = await watchChanges(
    node.keyspace,
    STORE_KEY.all,
    revision,
    waitMs,
  );
  node.following.hadChanges = false;
  if (changes.isErr()) return recordFailedCall(node, changes.error.message);
  recordSuccessfulCall(node);
  if (!changes.value || changes.value.era !== node.feed.era) {
    node.log.warn({revision, era: node.feed.era}, 'history gone');
    node.following.mustReadAll = true;
    return;
  }
  node.following.hadChanges = changes.value.items.length > 0;
  applyChanges(node.feed, changes.value);
  recordConfirmation(node, sentAt);
}

/** Reads or watches the store once, as the state of the feed requires. */
export async function pollStore(node: EntryNode): Promise<void> {
  const {feed, following} = node;
  if (!isStoreDue(node)) return wait(POLL_MS);
  const isNewEra = node.keyspace.era > feed.era;
  if (feed.revision === undefined || following.mustReadAll || isNewEra)
    return readStore(node);
  await watchStore(node, feed.revision);
}
