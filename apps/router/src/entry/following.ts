/**
 * What a node knows of its own ways to the store's changes. Only a few nodes watch
 * the store; the others follow these, and call the store only if none is usable.
 */
import {listSources, listWatchers} from '@parsleyarch/policy/watchers';
import {staleConfirmationMs} from './feed.js';
import {confirmationAge} from './freshness.js';
import type {EntryNode} from './node.js';

/** Pause after the first failed call to the store; doubles with each further one. */
export const MIN_STORE_PAUSE_MS = 200;

/** A call to a source, which may not be the one that was current last. */
export interface SourceCall {
  readonly source: string;
  /** Ends the call early. */
  readonly abandon: (reason: string) => void;
}

/** Where a node gets changes from. */
export interface Following {
  /** Node that is followed; absent if the store is watched directly. */
  source?: string;
  /** Whether a full read is due, at the start or as the history is gone. */
  mustReadAll: boolean;
  /** Whether the last call to the store failed. */
  storeFailing: boolean;
  /** When it failed, and the pause before the next one, milliseconds. */
  storeFailedAt: number;
  storePauseMs: number;
  /** Whether the last watch of the store was ended by changes. */
  hadChanges: boolean;
  /** When another node last answered this one, monotonic milliseconds. */
  peerAnsweredAt: number;
  /** Rounds of questions to other nodes so far, and when the next one is due. */
  roundCount: number;
  nextRoundAt: number;
  /** The call to a source that is in progress. */
  call?: SourceCall;
  /** Skipped sources, with the end and the length of the skip. */
  readonly skipped: Map<string, {until: number; skipMs: number}>;
}

export function createFollowing(): Following {
  return {
    mustReadAll: true,
    storeFailing: false,
    storeFailedAt: -Infinity,
    storePauseMs: 0,
    hadChanges: false,
    peerAnsweredAt: -Infinity,
    roundCount: 0,
    nextRoundAt: 0,
    skipped: new Map(),
  };
}

function listAssignedSources({settings, members}: EntryNode): string[] {
  const {node: name, failureDomain} = settings;
  return listSources(members.values(), {name, failureDomain});
}

export function isWatcher(node: EntryNode): boolean {
  return listAssignedSources(node).length === 0;
}

/** While its calls to the store fail, a watcher follows the other watchers. */
export function listCandidateSources(node: EntryNode): string[] {
  const sources = listAssignedSources(node);
  if (sources.length > 0 || !node.following.storeFailing) return sources;
  const names = listWatchers(node.members.values()).map(({name}) => name);
  return names.filter(name => name !== node.settings.node);
}

export function isConfirmationStale(node: EntryNode): boolean {
  return confirmationAge(node) >= staleConfirmationMs(node);
}

export function updateSource(
  node: EntryNode,
  source: string | undefined,
): void {
  const {following} = node;
  if (following.source === source) return;
  node.log.info({from: following.source, to: source}, 'source of changes');
  following.source = source;
}

export function updateStoreLost(
  node: EntryNode,
  lost: boolean,
  reason = '',
): void {
  if (node.storeLost === lost) return;
  node.storeLost = lost;
  if (lost) return node.log.warn({reason}, 'store lost');
  node.storeReturnedAt = node.clock();
  node.log.info('store regained');
}

/** Records that the configuration was current at a time of the continuous clock. */
export function recordConfirmation(node: EntryNode, at: number): void {
  node.confirmedAt = Math.max(node.confirmedAt ?? 0, at);
}

/** Records that another node has answered a call of this one. */
export function recordPeerAnswer({following, clock}: EntryNode): void {
  following.peerAnsweredAt = clock();
}
