/**
 * Answers that prove that an upstream survives a request. Upstreams that a request ends
 * do so when they begin its answer, so the proof is that one lives on after that.
 */
import {wait} from '@parsleyarch/lifecycle/process';
import {Suspicion} from '@parsleyarch/policy/crash-evidence';
import type {AnswerBody, Send} from './attempt.js';
import {announceCrashes} from './crash-announcements.js';
import {
  assessExchange,
  hasAcceptedSince,
  listKeys,
  recordAnsweredSend,
  reportCrashesOf,
} from './crashes.js';
import {releaseCulprits} from './culprit-records.js';
import type {Exchange} from './exchange.js';
import type {EntryNode} from './node.js';
import {canConnect} from './reachability.js';

/** Time after the first event of an answer from which another one is a proof. */
const SURVIVAL_MS = 50;
/** Time after the end of a connection in which an upstream's next one is awaited. */
const NEXT_CONNECTION_MS = 200;

function recordSurvival(
  node: EntryNode,
  exchange: Exchange,
  {startedAt}: Send,
): void {
  recordAnsweredSend(node, exchange, startedAt);
  if (exchange.trialKeys)
    void announceCrashes(node, reportCrashesOf(node, exchange));
  if (node.crashes.records.size > 0)
    void releaseCulprits(node, listKeys(exchange), startedAt);
}

/**
 * Records that an upstream survives a request if it accepts a connection after the end
 * of the answer. Only requests under suspicion are worth a connection for that.
 */
async function recordIfAlive(
  node: EntryNode,
  exchange: Exchange,
  send: Send,
): Promise<void> {
  const endedAt = node.clock();
  await wait(NEXT_CONNECTION_MS);
  const isSuspected =
    assessExchange(node, exchange).suspicion !== Suspicion.none;
  if (
    hasAcceptedSince(node, send.registered, endedAt) ||
    (isSuspected && (await canConnect(node.agent, send.registered.address)))
  )
    recordSurvival(node, exchange, send);
}

/**
 * Called when an answer is complete. One that ends with its connection may have been
 * cut off by a crash, unless the upstream lives on.
 */
export function recordCompleteAnswer(
  node: EntryNode,
  exchange: Exchange,
  {closeDelimited, send}: AnswerBody,
): void {
  if (closeDelimited) void recordIfAlive(node, exchange, send);
  else recordSurvival(node, exchange, send);
}

/** Returns a function that is called with the number of events of a stream so far. */
export function watchSurvival(
  node: EntryNode,
  exchange: Exchange,
  {send}: AnswerBody,
): (eventCount: number) => void {
  let firstEventAt: number | undefined;
  let knownCount = 0;
  let isProved = false;
  return eventCount => {
    if (isProved || eventCount === knownCount) return;
    knownCount = eventCount;
    firstEventAt ??= node.clock();
    if (node.clock() - firstEventAt < SURVIVAL_MS) return;
    isProved = true;
    recordSurvival(node, exchange, send);
  };
}
