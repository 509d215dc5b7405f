/**
 * The store's items as this node knows them, updated in revision order. A node
 * that watches the store serves its feed to nodes that do not.
 */
import type {
  ChangedItem,
  Changes,
  ChangesAfter,
  Confirmation,
} from '@parsleyarch/peer/messages';
import type {StoredEvents, StoredItem} from '@parsleyarch/store/keyspace';
import {confirmationAge} from './freshness.js';
import type {EntryNode} from './node.js';

/** Keys whose last changes are kept; a follower that is further behind gets all items. */
const MAX_RECENT_CHANGE_COUNT = 500;
/** Maximum time for which a follower's call is held open. */
const MAX_FOLLOWER_WAIT_MS = 2_000;
/**
 * Age of a confirmation from which followers switch to another source, relative
 * to the time in which a configuration must be in force. The rest is left for
 * the switch.
 */
const STALE_AGE_RATIO = 0.65;
/** Upper bound of a reported age, which is infinite without a confirmation. */
const MAX_REPORTED_AGE_MS = 1e9;

/** Applies the items of one key prefix. */
export interface Subscriber {
  readonly prefix: string;
  /** Replaces the known state by all items of the prefix. */
  reset(items: readonly StoredItem[]): void;
  /** Applies one change. */
  change(item: StoredItem): void;
}

/** The store's items and latest changes, as far as a node knows them. */
export interface Feed {
  /** Era of the store that the revisions belong to. */
  era: number;
  /** Revision up to which changes are known; absent before the first read. */
  revision?: number;
  readonly items: Map<string, StoredItem>;
  /**
   * The last change of each key, oldest first. Superseded ones are dropped, as a value
   * may be as large as a message between nodes.
   */
  readonly recentChanges: Map<string, StoredItem>;
  /** Revision after which `recentChanges` holds the last change of every key. */
  recentSince: number;
  /** Callbacks that end the waits of followers. */
  readonly waitingFollowers: Set<() => void>;
  readonly subscribers: Subscriber[];
  /** Called when a subscriber cannot apply an item. */
  readonly onError: (key: string, error: unknown) => void;
}

export function createFeed(
  onError: (key: string, error: unknown) => void,
): Feed {
  return {
    onError,
    era: 0,
    items: new Map(),
    recentChanges: new Map(),
    recentSince: 0,
    waitingFollowers: new Set(),
    subscribers: [],
  };
}

function wakeFollowers({waitingFollowers}: Feed): void {
  for (const wake of [...waitingFollowers]) wake();
}

/** A subscriber that throws must keep no item from the others. */
function notify(feed: Feed, key: string, apply: () => void): void {
  try {
    apply();
  } catch (thrown) {
    feed.onError(key, thrown);
  }
}

/** Replaces all items by those of a full read, unless it is older. */
export function replaceItems(
  feed: Feed,
  {items, revision, era}: StoredEvents,
): void {
  if (era < feed.era) return;
  if (era === feed.era && revision < (feed.revision ?? 0)) return;
  feed.era = era;
  feed.items.clear();
  for (const item of items) feed.items.set(item.key, item);
  feed.recentChanges.clear();
  feed.recentSince = revision;
  feed.revision = revision;
  for (const {prefix, reset} of feed.subscribers) {
    const matching = items.filter(({key}) => key.startsWith(prefix));
    notify(feed, prefix, () => reset(matching));
  }
  wakeFollowers(feed);
}

function applyChange(feed: Feed, item: StoredItem): void {
  // A full read of several pages may already have returned a newer state.
  if ((feed.items.get(item.key)?.revision ?? 0) >= item.revision) return;
  if (item.value) feed.items.set(item.key, item);
  else feed.items.delete(item.key);
  for (const {prefix, change} of feed.subscribers) {
    if (item.key.startsWith(prefix)) notify(feed, item.key, () => change(item));
  }
}

function keepRecentChange(feed: Feed, item: StoredItem): void {
  const {recentChanges} = feed;
  // Re-insertion keeps the map in revision order.
  recentChanges.delete(item.key);
  recentChanges.set(item.key, item);
  for (const [key, {revision}] of recentChanges) {
    if (recentChanges.size <= MAX_RECENT_CHANGE_COUNT) break;
    recentChanges.delete(key);
    feed.recentSince = revision;
  }
}

/** Applies changes of the known era, in revision order, up to a revision. */
export function applyChanges(
  feed: Feed,
  {items, revision, era}: StoredEvents,
): void {
  if (era !== feed.era) return;
  const known = feed.revision ?? 0;
  for (const item of items) {
    if (item.revision <= known) continue;
    keepRecentChange(feed, item);
    applyChange(feed, item);
  }
  feed.revision = Math.max(known, revision);
  if (items.length > 0) wakeFollowers(feed);
}

function waitForChange(feed: Feed, waitMs: number): Promise<void> {
  return new Promise(resolve => {
    const done = () => {
      clearTimeout(timer);
      feed.waitingFollowers.delete(done);
      resolve();
    };
    const timer = setTimeout(done, Math.min(waitMs, MAX_FOLLOWER_WAIT_MS));
    feed.waitingFollowers.add(done);
  });
}

/** Age of a confirmation from which followers switch to another source. */
export function staleConfirmationMs({settings}: EntryNode): number {
  return settings.configuration.applyMs * STALE_AGE_RATIO;
}

/** How current this node's knowledge of the store is. */
export function reportConfirmation(node: EntryNode): Confirmation {
  return {
    era: node.feed.era,
    revision: node.feed.revision ?? 0,
    confirmedAgeMs: Math.min(MAX_REPORTED_AGE_MS, confirmationAge(node)),
  };
}

function toMessage({key, revision, value}: StoredItem): ChangedItem {
  const removed = value === undefined;
  return {key, revision, value: value ?? Buffer.alloc(0), removed};
}

/** Responds to a follower once there is a change or its wait has elapsed. */
export async function serveFollower(
  node: EntryNode,
  {era, revision, waitMs}: ChangesAfter,
): Promise<Changes> {
  const {feed} = node;
  const arrivedAt = node.clock();
  if (feed.revision === undefined)
    throw new Error('nothing was read from the store yet');
  if (era > feed.era)
    throw new Error('nothing was read in the new era of the store yet');
  // Responds as soon as the confirmation is stale, so that the follower can
  // switch to another source in time.
  const untilStaleMs = staleConfirmationMs(node) - confirmationAge(node);
  const isCurrent = () => era === feed.era && feed.revision! <= revision;
  if (isCurrent() && untilStaleMs > 0)
    await waitForChange(feed, Math.min(waitMs, untilStaleMs));
  const whole = era < feed.era || revision < feed.recentSince;
  const items = whole
    ? [...feed.items.values()]
    : [...feed.recentChanges.values()].filter(item => item.revision > revision);
  const now = node.clock();
  return {
    ...reportConfirmation(node),
    whole,
    items: items.map(toMessage),
    heldMs: now - arrivedAt,
    returnedAgoMs:
      node.storeReturnedAt === undefined ? -1 : now - node.storeReturnedAt,
  };
}
