/**
 * Follows prefixes of the store: a full read first, then watches in revision
 * order, and a full read again when the history is gone.
 */
import {repeat, wait} from '@parsleyarch/lifecycle/process';
import {own} from '@parsleyarch/lifecycle/manager';
import {
  readAll,
  watchChanges,
  type StoredItem,
} from '@parsleyarch/store/keyspace';
import type {EntryNode} from './node.js';

/** Shortest and longest pause after a failed call, milliseconds. */
const MIN_RETRY_MS = 200;
const MAX_RETRY_MS = 1_000;

/** What is done with the changes of a prefix. */
export interface Follower {
  readonly name: string;
  readonly prefix: string;
  /** Longest wait of one watch, milliseconds. */
  readonly waitMs: number;
  /** Pause between watches, so that changes in a row share one call. */
  readonly gatherMs: number;
  /** Takes all items of the prefix in place of what was known. */
  reset(items: readonly StoredItem[]): void;
  /** Takes one change. */
  change(item: StoredItem): void;
  /** Is told that all changes up to a moment of the continuous clock are known. */
  confirmed?(sentAt: number): void;
}

interface Following {
  readonly follower: Follower;
  /** Revision up to which changes are known; absent: read all first. */
  revision?: number;
  reachable: boolean;
  /** Pause after the next failed call, milliseconds. */
  retryMs: number;
}

function noteReach(
  node: EntryNode,
  following: Following,
  reached: boolean,
  reason = '',
): void {
  if (reached) following.retryMs = MIN_RETRY_MS;
  if (following.reachable === reached) return;
  following.reachable = reached;
  const {name} = following.follower;
  if (reached) {
    node.storeLost.delete(name);
    node.storeReturnedAt = node.clock();
    node.log.info({source: name}, 'store regained');
  } else {
    node.storeLost.add(name);
    node.log.warn({source: name, reason}, 'store lost');
  }
}

/** Each call counts, so the pause doubles while the store stays away. */
function pauseAfterFailure(following: Following): Promise<void> {
  const pauseMs = following.retryMs;
  following.retryMs = Math.min(MAX_RETRY_MS, pauseMs * 2);
  return wait(pauseMs);
}

async function readPrefix(node: EntryNode, following: Following) {
  const {follower} = following;
  const sentAt = node.continuousClock();
  const all = await readAll(node.keyspace, follower.prefix);
  noteReach(node, following, all.isOk(), all.isErr() ? all.error.message : '');
  if (all.isErr()) return pauseAfterFailure(following);
  following.revision = all.value.revision;
  follower.reset(all.value.items);
  follower.confirmed?.(sentAt);
}

async function watchPrefix(
  node: EntryNode,
  following: Following,
  revision: number,
) {
  const {follower} = following;
  const sentAt = node.continuousClock();
  const changes = await watchChanges(
    node.keyspace,
    follower.prefix,
    revision,
    follower.waitMs,
  );
  noteReach(
    node,
    following,
    changes.isOk(),
    changes.isErr() ? changes.error.message : '',
  );
  if (changes.isErr()) return pauseAfterFailure(following);
  if (!changes.value) {
    node.log.warn({source: follower.name, revision}, 'history gone');
    following.revision = undefined;
    return;
  }
  for (const item of changes.value.items) {
    if (item.revision > revision) follower.change(item);
  }
  following.revision = Math.max(revision, changes.value.revision);
  follower.confirmed?.(sentAt);
}

/** Follows a prefix until the node stops; resolves after the first full read. */
export function follow(node: EntryNode, follower: Follower): Promise<void> {
  const following: Following = {
    follower,
    reachable: true,
    retryMs: MIN_RETRY_MS,
  };
  return new Promise(resolve => {
    const step = async () => {
      if (following.revision === undefined) {
        await readPrefix(node, following);
        if (following.revision !== undefined) resolve();
      } else await watchPrefix(node, following, following.revision);
    };
    const running = repeat(follower.gatherMs, step, error =>
      node.log.error({source: follower.name, error: String(error)}, 'failed'),
    );
    // A pending watch ends when the client's connections are closed.
    own(node.manager, `follow-${follower.name}`, () => void running.end());
  });
}
