/**
 * Upstreams that ended while they served requests: detects them, shares what is
 * known of them with the reports of load, and assesses requests by it.
 */
import type {CrashReport} from '@parsleyarch/peer/messages';
import {
  assessRequest,
  clearSuspects,
  createCrashEvidence,
  createSuspects,
  dropOldCrashes,
  mergeCrash,
  Suspicion,
  type Assessment,
  type Crash,
  type CrashEvidence,
} from '@parsleyarch/policy/crash-evidence';
import {listRequestKeys, listSegmentKeys} from '@parsleyarch/policy/crash-keys';
import {hashName, listFirstMembers} from '@parsleyarch/policy/rendezvous';
import type {RegisteredUpstream} from '@parsleyarch/resource/routing';
import type {AnswerBody, Send} from './attempt.js';
import {Finding, findEnd} from './end-probes.js';
import type {Exchange} from './exchange.js';
import type {EntryNode} from './node.js';

/** Time after which a culprit is tried again if the last trial had no result. */
const TRIAL_INTERVAL_MS = 5_000;
/** Number of upstreams that may end under one request before it is given up. */
const MAX_CRASHES_OF_REQUEST = 2;
/** Number of keys whose answers are remembered. */
const MAX_ANSWERED_COUNT = 2_000;

/** What a node knows of upstreams that ended. */
export interface Crashes {
  readonly evidence: CrashEvidence;
  /** When the latest send began that was answered completely, by key. */
  readonly answeredSends: Map<string, number>;
  /** Probes in progress, by incarnation of the upstream. */
  readonly probes: Map<string, Promise<Finding>>;
  /** Digest of the evidence of other nodes at the last exchange, by node. */
  readonly digests: Map<string, number>;
  /** When this node last tried a culprit again, by key. */
  readonly trials: Map<string, number>;
}

export function createCrashes(): Crashes {
  return {
    evidence: createCrashEvidence(),
    answeredSends: new Map(),
    probes: new Map(),
    digests: new Map(),
    trials: new Map(),
  };
}

/** Name of one incarnation of an upstream. */
function incarnationKey({id, incarnation}: RegisteredUpstream): string {
  return `${id}@${incarnation}`;
}

/** Probes an upstream; requests that break off at the same time share a probe. */
function probeOnce(
  node: EntryNode,
  upstream: RegisteredUpstream,
): Promise<Finding> {
  const key = incarnationKey(upstream);
  const running = node.crashes.probes.get(key);
  if (running) return running;
  const started = findEnd(node, upstream).finally(() =>
    node.crashes.probes.delete(key),
  );
  node.crashes.probes.set(key, started);
  return started;
}

/**
 * Called when an upstream closes the connection of a request before the end of its
 * answer. A closed connection alone is no crash: it may be reset, or the answer
 * be truncated, while the upstream goes on serving others.
 */
export async function recordBrokenAnswer(
  node: EntryNode,
  exchange: Exchange,
  {registered: upstream, startedAt}: Send,
): Promise<void> {
  const at = node.clock();
  const finding = await probeOnce(node, upstream);
  const {caller, service, route, customer, body} = exchange;
  if (finding !== Finding.ended)
    return node.logDecision('upstream not ended', {
      requestId: caller.attemptId,
      upstream: upstream.id,
      incarnation: upstream.incarnation,
      service,
      finding,
    });
  exchange.crashes += 1;
  const runMs = at - startedAt;
  addCrash(node, {
    upstream: incarnationKey(upstream),
    at,
    suspects: createSuspects(listKeys(exchange), runMs),
  });
  node.metrics.crashes.inc({service});
  node.logDecision('upstream ended', {
    requestId: caller.attemptId,
    upstream: upstream.id,
    incarnation: upstream.incarnation,
    version: upstream.version,
    service,
    route: route.name,
    customer: customer?.name,
    bodyBytes: body.length,
    key: listKeys(exchange)[0],
    runMs: Math.round(runMs),
    ends: assessExchange(node, exchange).endCount,
    promptSegments: caller.promptSegments.map(({id}) => id),
  });
}

/** Keys of a request in the evidence on crashes, the most specific first. */
function listKeys(exchange: Exchange): readonly string[] {
  exchange.crashKeys ??= createKeys(exchange);
  return exchange.crashKeys;
}

function createKeys({target, body, caller, customer}: Exchange): string[] {
  const traits = {
    target,
    body,
    callerKey: caller.key,
    customer: customer?.name,
    // The last segment belongs to the request itself.
    segments: caller.promptSegments.slice(0, -1).map(({id}) => id),
  };
  return [...listRequestKeys(traits), ...listSegmentKeys(traits)];
}

/**
 * Called when an upstream has completed a successful answer. One that ends with its
 * connection may have been cut off by a crash.
 */
export function recordSurvival(
  node: EntryNode,
  exchange: Exchange,
  {closeDelimited, send: {startedAt}}: AnswerBody,
): void {
  if (closeDelimited) return;
  const {answeredSends} = node.crashes;
  const keys = listKeys(exchange);
  for (const key of keys) {
    const latest = Math.max(startedAt, answeredSends.get(key) ?? -Infinity);
    // Re-insertion keeps the map in order of use, so the oldest are evicted first.
    answeredSends.delete(key);
    answeredSends.set(key, latest);
  }
  for (const key of answeredSends.keys()) {
    if (answeredSends.size <= MAX_ANSWERED_COUNT) break;
    answeredSends.delete(key);
  }
  clear(node, keys, startedAt, exchange.caller.attemptId);
}

/** Clears suspects of the crashes before a send that was answered. */
function clear(
  node: EntryNode,
  keys: readonly string[],
  sentAt: number,
  requestId?: string,
): void {
  const {evidence} = node.crashes;
  if (evidence.crashes.size === 0) return;
  const cleared = clearSuspects(evidence, keys, sentAt);
  if (cleared.length === 0) return;
  const sentAgoMs = Math.round(node.clock() - sentAt);
  node.logDecision('suspect cleared', {requestId, keys: cleared, sentAgoMs});
}

/** Adds a crash, and clears the suspects that this node knows to be sound. */
function addCrash(node: EntryNode, crash: Crash): void {
  const {evidence, answeredSends} = node.crashes;
  mergeCrash(evidence, crash);
  for (const key of crash.suspects.keys()) {
    const sentAt = answeredSends.get(key);
    if (sentAt !== undefined) clear(node, [key], sentAt);
  }
}

/** Assesses a request by the crashes that this node knows of. */
export function assessExchange(
  {crashes: {evidence}}: EntryNode,
  exchange: Exchange,
): Assessment {
  const keys = evidence.crashes.size > 0 ? listKeys(exchange) : [];
  return assessRequest(evidence, keys);
}

/** Whether this node may try a culprit again; one node does so for each. */
function mayTry(node: EntryNode, {key, refusedUntil}: Assessment): boolean {
  const now = node.clock();
  if (now < refusedUntil) return false;
  const [first] = listFirstMembers(hashName(key), node.members.values(), 1);
  if (first?.name !== node.settings.node) return false;
  const {trials} = node.crashes;
  if (now - (trials.get(key) ?? -Infinity) < TRIAL_INTERVAL_MS) return false;
  trials.set(key, now);
  return true;
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
  const assessment = assessExchange(node, exchange);
  if (assessment.suspicion !== Suspicion.culprit) return undefined;
  const isTrial = mayTry(node, assessment);
  const {key, endCount, refusedUntil} = assessment;
  node.logDecision('culprit', {
    requestId: exchange.caller.attemptId,
    choice: isTrial ? 'try' : 'refuse',
    key,
    ends: endCount,
    refusedForMs: Math.round(refusedUntil - node.clock()),
  });
  if (isTrial) return undefined;
  return 'requests like it end upstreams';
}

/** Time until a request that is refused as a culprit may be tried, milliseconds. */
export function findRefusalMs(
  node: EntryNode,
  exchange: Exchange,
): number | undefined {
  const {suspicion, refusedUntil} = assessExchange(node, exchange);
  if (suspicion !== Suspicion.culprit) return undefined;
  return Math.max(TRIAL_INTERVAL_MS, refusedUntil - node.clock());
}

/** Reports what this node knows of crashes, unless the receiver knows the same. */
export function reportCrashes(
  {crashes: {evidence}, clock}: EntryNode,
  knownDigest?: number,
): CrashReport {
  const now = clock();
  dropOldCrashes(evidence, now);
  const crashDigest = evidence.digest;
  if (crashDigest === knownDigest) return {crashDigest, crashes: []};
  const crashes = [...evidence.crashes.values()].map(
    ({upstream, at, suspects}) => ({
      upstream,
      ageMs: now - at,
      suspects: [...suspects].map(([key, suspect]) => ({key, ...suspect})),
    }),
  );
  return {crashDigest, crashes};
}

/** Adds what another node knows of crashes. */
export function mergeCrashes(node: EntryNode, {crashes}: CrashReport): void {
  for (const {upstream, ageMs, suspects} of crashes) {
    addCrash(node, {
      upstream,
      at: node.clock() - ageMs,
      suspects: new Map(suspects.map(({key, ...suspect}) => [key, suspect])),
    });
  }
}
