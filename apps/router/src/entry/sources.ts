/** Calls to other nodes for the store's changes, and what these confirm. */
import {failure, type Failure} from '@parsleyarch/errors/failure';
import {callPeer} from '@parsleyarch/peer/client';
import type {
  ChangedItem,
  Changes,
  Confirmation,
} from '@parsleyarch/peer/messages';
import {
  chooseRoundSources,
  roundIntervalMs,
} from '@parsleyarch/policy/following';
import type {StoredItem} from '@parsleyarch/store/keyspace';
import {err, type Result} from 'neverthrow';
import {applyChanges, replaceItems, staleConfirmationMs} from './feed.js';
import {
  isConfirmationStale,
  isWatcher,
  listCandidateSources,
  recordConfirmation,
  recordPeerAnswer,
  updateSource,
  updateStoreLost,
} from './following.js';
import {confirmationAge} from './freshness.js';
import type {EntryNode} from './node.js';
import {updateEra} from './restoration.js';

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
/** Time-out of a question that is answered without a wait, milliseconds. */
const QUESTION_TIMEOUT_MS = 300;

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

/** Whether an answer comes from a node that is current itself. */
function isCurrentAnswer(node: EntryNode, {confirmedAgeMs, era}: Changes) {
  const isFresh = confirmedAgeMs < staleConfirmationMs(node);
  return isFresh && era >= node.keyspace.era;
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

/** Stops following a node that did not answer another call. */
export function leaveSource(
  node: EntryNode,
  name: string,
  reason: string,
): void {
  const {call} = node.following;
  if (call?.source === name) call.abandon(reason);
}

function sourceWaitMs({members}: EntryNode): number {
  const waitMs = members.size * SOURCE_WAIT_PER_NODE_MS;
  return Math.min(MAX_SOURCE_WAIT_MS, Math.max(MIN_SOURCE_WAIT_MS, waitMs));
}

/**
 * Stops following a source once the confirmation is stale. Confirmations that
 * other nodes relay meanwhile extend the time.
 */
function abandonWhenStale(node: EntryNode): () => void {
  const check = () => {
    if (isConfirmationStale(node))
      return node.following.call?.abandon(
        'no answer before the confirmation is stale',
      );
    const untilStaleMs = staleConfirmationMs(node) - confirmationAge(node);
    timer = setTimeout(check, untilStaleMs);
  };
  let timer = setTimeout(check, MIN_SOURCE_CALL_MS);
  return () => clearTimeout(timer);
}

/** A node that changes can be asked from. */
export interface Source {
  readonly name: string;
  /** host:port of its peer listener. */
  readonly address: string;
}

async function callSource(
  node: EntryNode,
  address: string,
  waitMs: number,
  timeoutMs: number,
): Promise<Result<Changes, Failure>> {
  const {feed, peers} = node;
  const changes = await callPeer(
    peers.client!,
    address,
    'followChanges',
    {era: feed.era, revision: feed.revision!, waitMs},
    timeoutMs,
  );
  if (changes.isOk()) recordPeerAnswer(node);
  return changes;
}

/** Calls a source; ends early if the node stops following it. */
async function awaitSource(
  node: EntryNode,
  {name: source, address}: Source,
): Promise<Result<Changes, Failure>> {
  const {following} = node;
  const waitMs = sourceWaitMs(node);
  const abandoned = new Promise<Result<Changes, Failure>>(resolve => {
    const abandon = (reason: string) =>
      resolve(err(failure('internal', reason)));
    following.call = {source, abandon};
  });
  const called = callSource(node, address, waitMs, waitMs + SOURCE_MARGIN_MS);
  const stopTimer = abandonWhenStale(node);
  const changes = await Promise.race([called, abandoned]);
  stopTimer();
  following.call = undefined;
  return changes;
}

/** Waits for changes at a source. */
export async function pollSource(
  node: EntryNode,
  source: Source,
): Promise<void> {
  const {name} = source;
  const sentAt = node.continuousClock();
  const changes = await awaitSource(node, source);
  if (changes.isErr()) {
    const lastSkipMs = node.following.skipped.get(name)?.skipMs ?? 0;
    const skipMs = Math.min(MAX_SKIP_MS, Math.max(MIN_SKIP_MS, lastSkipMs * 2));
    return skipSource(node, name, skipMs, changes.error.message);
  }
  const {confirmedAgeMs} = changes.value;
  if (isCurrentAnswer(node, changes.value)) recordCurrentSource(node, name);
  else
    skipSource(node, name, MIN_SKIP_MS, `confirmed ${confirmedAgeMs} ms ago`);
  applyRelayedChanges(node, changes.value, sentAt);
}

function recordCurrentSource(node: EntryNode, source: string): void {
  const {following} = node;
  following.skipped.delete(source);
  if (following.storeFailing && !isWatcher(node))
    following.storeFailing = false;
  updateStoreLost(node, false);
  updateSource(node, source);
}

/** Forgets skips that ended some time ago, and with them the length of the next. */
function forgetOldSkips({following, clock}: EntryNode): void {
  for (const [name, {until, skipMs}] of following.skipped) {
    if (clock() > until + skipMs) following.skipped.delete(name);
  }
}

/** Whether changes can be asked from other nodes at all. */
export function canFollow({feed, following, peers}: EntryNode): boolean {
  if (feed.revision === undefined || following.mustReadAll) return false;
  return peers.client !== undefined;
}

/** The source to follow now; `undefined` if there is none or all are skipped. */
export function findSource(node: EntryNode): Source | undefined {
  const {following} = node;
  forgetOldSkips(node);
  if (!canFollow(node)) return undefined;
  for (const name of listCandidateSources(node)) {
    if ((following.skipped.get(name)?.until ?? 0) > node.clock()) continue;
    const address = node.members.get(name)?.address;
    if (address) return {name, address};
  }
  return undefined;
}

/** Asks a node whether it is current, and for the changes that are missing here. */
async function askSource(
  node: EntryNode,
  name: string,
  isCandidate: boolean,
): Promise<string> {
  const address = node.members.get(name)?.address;
  if (!address) return 'no address';
  const sentAt = node.continuousClock();
  const changes = await callSource(node, address, 0, QUESTION_TIMEOUT_MS);
  if (changes.isErr()) return changes.error.message;
  if (isCandidate && isCurrentAnswer(node, changes.value))
    recordCurrentSource(node, name);
  applyRelayedChanges(node, changes.value, sentAt);
  return `confirmed ${Math.round(changes.value.confirmedAgeMs)} ms ago`;
}

/** Asks several nodes at the same time; skips do not count once all ways have failed. */
export async function askSources(node: EntryNode): Promise<void> {
  const {following, members, settings} = node;
  following.nextRoundAt = node.clock() + roundIntervalMs(members.size);
  const candidates = listCandidateSources(node);
  const others = [...members.keys()].filter(name => name !== settings.node);
  const asked = chooseRoundSources(
    candidates,
    others,
    following.roundCount,
    node.random(),
  );
  following.roundCount += 1;
  const answers = await Promise.all(
    asked.map(name => askSource(node, name, candidates.includes(name))),
  );
  node.logDecision('source', {
    choice: 'ask several',
    asked,
    answers,
    confirmationAgeMs: Math.round(confirmationAge(node)),
  });
}
