/**
 * Requests that are refused because requests like them end upstreams, and the trials
 * that show whether they still do. A node claims a trial in the store, so that all
 * nodes together make no more than one at a time.
 */
import {valueTrial, type Assessment} from '@parsleyarch/policy/crash-evidence';
import {isSharedKey} from '@parsleyarch/policy/crash-keys';
import {Doubt, nextTrialAt} from '@parsleyarch/policy/crash-trials';
import {countRuns} from '@parsleyarch/policy/runs';
import {wait} from '@parsleyarch/lifecycle/process';
import {listCulpritsOf, listKeys} from './crashes.js';
import {writeRecords} from './culprit-records.js';
import {capacityWaitMs, type Exchange} from './exchange.js';
import {countUsableUpstreams} from './exclusions.js';
import type {EntryNode} from './node.js';

/** Number of upstreams that may end under one request before it is given up. */
const MAX_CRASHES_OF_REQUEST = 2;
/** Time for which requests may wait for the result of a trial that has begun. */
const TRIAL_RESULT_MS = 1_000;
const TRIAL_POLL_MS = 10;
/** Bounds of the time after which refused callers should retry. */
const MIN_RETRY_AFTER_MS = 1_000;
const MAX_RETRY_AFTER_MS = 600_000;

function doubtOf(
  {crashes: {answeredSends}}: EntryNode,
  {key, mayShareCause}: Assessment,
): Doubt {
  if (mayShareCause) return Doubt.commonCause;
  return answeredSends.has(key) ? Doubt.answeredBefore : Doubt.none;
}

function trialAt(
  node: EntryNode,
  exchange: Exchange,
  culprit: Assessment,
): number {
  const {key, lastEndAt, crashCount} = culprit;
  const record = node.crashes.records.get(key);
  return nextTrialAt({
    trialCount: record?.trialCount ?? 0,
    changedAt: Math.max(lastEndAt, record?.changedAt ?? -Infinity),
    doubt: doubtOf(node, culprit),
    crashCount: isSharedKey(key) ? crashCount : 0,
    value: valueTrial(node.crashes.evidence, listKeys(exchange), key),
  });
}

/** Whether a trial may be made without risk to the last upstream that is left. */
function isTrialDue(
  node: EntryNode,
  exchange: Exchange,
  culprits: readonly Assessment[],
): boolean {
  const now = node.clock();
  if (culprits.some(culprit => trialAt(node, exchange, culprit) > now))
    return false;
  const {usable, registered} = countUsableUpstreams(node, exchange);
  return usable > 1 || (usable === 1 && registered === 1);
}

/** Whether a trial of a culprit has begun whose result is not known yet. */
function isBeingTried(node: EntryNode, {key}: Assessment): boolean {
  const {records, pendingWrites} = node.crashes;
  if (pendingWrites.has(key)) return true;
  const record = records.get(key);
  if (!record || record.trialCount === 0) return false;
  return node.clock() - record.changedAt < TRIAL_RESULT_MS;
}

/**
 * Claims the next trial for a request that is a culprit, if it is time for one. While
 * another request is tried, waits a moment for the result.
 */
export async function claimTrial(
  node: EntryNode,
  exchange: Exchange,
): Promise<void> {
  if (exchange.trialKeys) return;
  const waitUntil = node.clock() + capacityWaitMs(exchange);
  let isTaken = false;
  while (!exchange.ended && countRuns(exchange.runs) === 0) {
    const culprits = listCulpritsOf(node, exchange);
    if (culprits.length === 0) return;
    const keys = culprits.map(({key}) => key);
    if (!isTaken && isTrialDue(node, exchange, culprits)) {
      const claimed = await writeRecords(node, keys, 1);
      if (claimed) exchange.trialKeys = keys;
      if (claimed || claimed === undefined) return;
      isTaken = true;
    }
    const isTried = culprits.some(culprit => isBeingTried(node, culprit));
    if (!isTaken && !isTried) return;
    if (node.clock() >= waitUntil) return;
    await wait(TRIAL_POLL_MS);
  }
}

/**
 * Returns why a request may not be sent to an upstream because of crashes, or
 * `undefined` if it may.
 */
export function findCrashDenial(
  node: EntryNode,
  exchange: Exchange,
): string | undefined {
  if (exchange.crashes >= MAX_CRASHES_OF_REQUEST)
    return 'upstreams ended under it';
  const culprits = listCulpritsOf(node, exchange);
  if (culprits.length === 0) return undefined;
  const isTrial =
    countRuns(exchange.runs) === 0 &&
    culprits.every(({key}) => exchange.trialKeys?.includes(key));
  const [{key, endCount, lastEndAt}] = culprits;
  node.logDecision('culprit', {
    requestId: exchange.caller.attemptId,
    choice: isTrial ? 'try' : 'refuse',
    key,
    ends: endCount,
    trials: node.crashes.records.get(key)?.trialCount ?? 0,
    lastEndAgoMs: Math.round(node.clock() - lastEndAt),
  });
  return isTrial ? undefined : 'requests like it end upstreams';
}

/** Time until a request that is refused as a culprit may be tried, milliseconds. */
export function findRefusalMs(
  node: EntryNode,
  exchange: Exchange,
): number | undefined {
  const culprits = listCulpritsOf(node, exchange);
  if (culprits.length === 0) return undefined;
  const dueAt = Math.max(
    ...culprits.map(culprit => trialAt(node, exchange, culprit)),
  );
  const untilDueMs = Math.max(MIN_RETRY_AFTER_MS, dueAt - node.clock());
  return Math.min(MAX_RETRY_AFTER_MS, untilDueMs);
}
