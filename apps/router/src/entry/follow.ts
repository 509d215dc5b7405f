/**
 * Keeps a node informed of the store's changes, by calls to the store and by calls to
 * nodes that watch it. Both ways have a task of their own, so that neither waits for
 * the other while it fails.
 */
import {registerResource} from '@parsleyarch/lifecycle/manager';
import {repeat, wait} from '@parsleyarch/lifecycle/process';
import {watchPauseMs} from '@parsleyarch/policy/following';
import {isConfirmationStale, isWatcher} from './following.js';
import type {EntryNode} from './node.js';
import {askSources, canFollow, findSource, pollSource} from './sources.js';
import {isStoreDue, pollStore} from './store-calls.js';

/** Pause between calls to a source. */
const SOURCE_PAUSE_MS = 50;
/** Pause while there is nothing to call. */
const POLL_MS = 100;

/** Whether this node has to call the store itself. */
function needsStore(node: EntryNode): boolean {
  if (isConfirmationStale(node)) return true;
  const {call, storeFailing} = node.following;
  // Spares nodes that follow a sound source the search through all members.
  if (call && !storeFailing) return false;
  return isWatcher(node) || findSource(node) === undefined;
}

async function followStoreOnce(node: EntryNode): Promise<void> {
  if (!needsStore(node) || !isStoreDue(node)) return wait(POLL_MS);
  await pollStore(node);
}

async function followSourceOnce(node: EntryNode): Promise<void> {
  if (!canFollow(node)) return wait(POLL_MS);
  const needsSources = !isWatcher(node) || node.following.storeFailing;
  if (isConfirmationStale(node) && needsSources) {
    if (node.clock() < node.following.nextRoundAt) return wait(POLL_MS);
    return askSources(node);
  }
  const source = findSource(node);
  if (!source) return wait(POLL_MS);
  await pollSource(node, source);
}

function callPauseMs({following, settings}: EntryNode): number {
  return watchPauseMs(settings.configuration.applyMs, following.hadChanges);
}

/** Follows the store until the node stops; resolves after the first full read. */
export function followStore(node: EntryNode): Promise<void> {
  return new Promise(resolve => {
    const onError = (error: unknown) =>
      node.log.error(
        {error: String(error)},
        'following the changes of the store failed',
      );
    const fromStore = async () => {
      await followStoreOnce(node);
      if (node.feed.revision !== undefined) resolve();
    };
    const tasks = [
      repeat(() => callPauseMs(node), fromStore, onError),
      repeat(SOURCE_PAUSE_MS, () => followSourceOnce(node), onError),
    ];
    // A pending watch ends when the client's connections are closed.
    registerResource(node.manager, 'follow', () => {
      for (const task of tasks) void task.end();
    });
  });
}
