/**
 * The store's items as this node knows them, in revision order. A node that
 * watches the store serves its feed to nodes that do not.
 */
import type {
  ChangedItem,
  Changes,
  ChangesAfter,
} from '@parsleyarch/peer/messages';
import type {StoredItem} from '@parsleyarch/store/keyspace';
import {confirmationAge} from './freshness.js';
import type {EntryNode} from './node.js';

/** Changes that are kept for followers; older ones need all items. */
const MAX_RECENT = 500;
/** Longest time for which a follower is kept waiting, milliseconds. */
const MAX_HELD_MS = 2_000;
/** Age of a confirmation from which followers look for another source. */
export const OLD_CONFIRMATION_MS = 1_300;
/** Largest age that is told, milliseconds. */
const MAX_AGE_MS = 1e9;

/** What is done with the items of a prefix. */
export interface Subscriber {
  readonly prefix: string;
  /** Takes all items of the prefix in place of what was known. */
  reset(items: readonly StoredItem[]): void;
  /** Takes one change. */
  change(item: StoredItem): void;
}

/** What a node knows of the store. */
export interface Feed {
  /** Revision up to which changes are known; absent: nothing was read yet. */
  revision?: number;
  readonly items: Map<string, StoredItem>;
  /** Latest changes, oldest first. */
  readonly recent: StoredItem[];
  /** Revision after which `recent` holds every change. */
  recentFrom: number;
  /** Followers that wait for a change. */
  readonly waiting: Set<() => void>;
  readonly subscribers: Subscriber[];
}

/** Knows nothing. */
export function createFeed(): Feed {
  return {
    items: new Map(),
    recent: [],
    recentFrom: 0,
    waiting: new Set(),
    subscribers: [],
  };
}

function wakeFollowers({waiting}: Feed): void {
  for (const wake of [...waiting]) wake();
}

/** Takes all items as of a revision in place of what was known. */
export function takeAll(
  feed: Feed,
  items: readonly StoredItem[],
  revision: number,
): void {
  if (revision < (feed.revision ?? 0)) return;
  feed.items.clear();
  for (const item of items) feed.items.set(item.key, item);
  feed.recent.length = 0;
  feed.recentFrom = revision;
  feed.revision = revision;
  for (const {prefix, reset} of feed.subscribers)
    reset(items.filter(({key}) => key.startsWith(prefix)));
  wakeFollowers(feed);
}

function takeChange(feed: Feed, item: StoredItem): void {
  // A read of several pages may have found a newer state already.
  if ((feed.items.get(item.key)?.revision ?? 0) >= item.revision) return;
  if (item.value) feed.items.set(item.key, item);
  else feed.items.delete(item.key);
  for (const {prefix, change} of feed.subscribers) {
    if (item.key.startsWith(prefix)) change(item);
  }
}

/** Takes changes, in order, up to a revision. */
export function takeChanges(
  feed: Feed,
  items: readonly StoredItem[],
  revision: number,
): void {
  const known = feed.revision ?? 0;
  for (const item of items) {
    if (item.revision <= known) continue;
    feed.recent.push(item);
    takeChange(feed, item);
  }
  for (const dropped of feed.recent.splice(0, feed.recent.length - MAX_RECENT))
    feed.recentFrom = dropped.revision;
  feed.revision = Math.max(known, revision);
  if (items.length > 0) wakeFollowers(feed);
}

function waitForChange(feed: Feed, waitMs: number): Promise<void> {
  return new Promise(resolve => {
    const done = () => {
      clearTimeout(timer);
      feed.waiting.delete(done);
      resolve();
    };
    const timer = setTimeout(done, Math.min(waitMs, MAX_HELD_MS));
    feed.waiting.add(done);
  });
}

function toMessage({key, revision, value}: StoredItem): ChangedItem {
  const removed = value === undefined;
  return {key, revision, value: value ?? Buffer.alloc(0), removed};
}

/** Answers a follower once there is a change, or its wait is over. */
export async function serveFollower(
  node: EntryNode,
  {revision, waitMs}: ChangesAfter,
): Promise<Changes> {
  const {feed} = node;
  const arrivedAt = node.clock();
  if (feed.revision === undefined)
    throw new Error('nothing was read from the store yet');
  // A follower learns of an old confirmation as soon as it is one.
  const roomMs = OLD_CONFIRMATION_MS - confirmationAge(node);
  if (feed.revision <= revision && roomMs > 0)
    await waitForChange(feed, Math.min(waitMs, roomMs));
  const whole = revision < feed.recentFrom;
  const items = whole
    ? [...feed.items.values()]
    : feed.recent.filter(item => item.revision > revision);
  const now = node.clock();
  return {
    revision: feed.revision,
    whole,
    items: items.map(toMessage),
    confirmedAgeMs: Math.min(MAX_AGE_MS, confirmationAge(node)),
    heldMs: now - arrivedAt,
    returnedAgoMs:
      node.storeReturnedAt === undefined ? -1 : now - node.storeReturnedAt,
  };
}
