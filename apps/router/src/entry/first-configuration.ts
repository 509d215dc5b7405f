/** Requests that arrive before a node knows whether there is a configuration. */
import {wait} from '@parsleyarch/lifecycle/process';
import type {EntryNode} from './node.js';

/** Longest wait of a request; a refused caller would come back no earlier, milliseconds. */
const MAX_WAIT_MS = 300;
const POLL_MS = 10;

/** Whether the store's first answer is still to be expected. */
function isReadingFirst({feed, following, stopping}: EntryNode): boolean {
  return feed.revision === undefined && !following.storeFailing && !stopping;
}

/**
 * Waits while the first full read is in progress, so that a request is not refused
 * that can be served a moment later. Callers may retry only once.
 */
export async function awaitFirstConfiguration(node: EntryNode): Promise<void> {
  const until = node.clock() + MAX_WAIT_MS;
  while (isReadingFirst(node) && node.clock() < until) await wait(POLL_MS);
}
