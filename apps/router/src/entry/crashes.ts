/**
 * Upstreams that ended while they served requests: detects them, shares what is
 * known of them with the reports of load, and assesses requests by it.
 */
import type {CrashReport} from '@parsleyarch/peer/messages';
import {wait} from '@parsleyarch/lifecycle/process';
import {
  assessRequest,
  clearSuspects,
  createCrashEvidence,
  createSuspects,
  dropOldCrashes,
  isReleased,
  listCulprits,
  mergeCrash,
  Suspicion,
  type Assessment,
  type Crash,
  type CrashEvidence,
  type Suspect,
} from '@parsleyarch/policy/crash-evidence';
import {listRequestKeys, listSegmentKeys} from '@parsleyarch/policy/crash-keys';
import type {RegisteredUpstream} from '@parsleyarch/resource/routing';
import type {AnswerBody, Send} from './attempt.js';
import {announceCrashes} from './crash-announcements.js';
import {Finding, findEnd, LISTENER_CLOSE_MS} from './end-probes.js';
import type {Exchange} from './exchange.js';
import type {EntryNode, UpstreamState} from './node.js';

/** Time for which an upstream that ended is ranked last: until its entry has lapsed. */
const ENDED_BACKOFF_MS = 5_000;
/**
 * Time after this node has closed the connection of a send in which an upstream that
 * ends may have ended under it; upstreams need not stop at once.
 */
const ABANDONED_MS = 1_000;
/**
 * Longest time from the end of an upstream under such a send until a node notices it;
 * the entry of the upstream has lapsed by then.
 */
const MAX_NOTICE_MS = 5_000;
/** Time after such a send at which its upstream is probed for an end. */
const ABANDONED_PROBE_MS = 500;
/** Number of such sends that are remembered for one upstream. */
const MAX_ABANDONED_COUNT = 100;
/** Number of keys whose answers are remembered. */
const MAX_ANSWERED_COUNT = 2_000;

/** A culprit as the store holds it, so that it outlives the nodes. */
export interface CulpritRecord {
  readonly key: string;
  /** Trials that all nodes have made so far. */
  readonly trialCount: number;
  /** Revision of the record; 0 if the store has lost it. */
  readonly revision: number;
  /** When this node learned of the latest trial, monotonic milliseconds. */
  readonly changedAt: number;
}

/** A send that this node gave up before its answer was complete. */
interface AbandonedSend {
  readonly keys: readonly string[];
  readonly startedAt: number;
  readonly abandonedAt: number;
}

/** What a node knows of upstreams that ended. */
export interface Crashes {
  readonly evidence: CrashEvidence;
  /** When the latest send began that was answered completely, by key. */
  readonly answeredSends: Map<string, number>;
  /** Probes in progress, by incarnation of the upstream. */
  readonly probes: Map<string, Promise<Finding>>;
  /** Sends whose connections this node has closed, by incarnation of the upstream. */
  readonly abandoned: Map<string, AbandonedSend[]>;
  /** Incarnations of upstreams that will be probed after such a send. */
  readonly pendingProbes: Set<string>;
  /** Digest of the evidence of other nodes at the last exchange, by node. */
  readonly digests: Map<string, number>;
  /** What the store holds of culprits, by key. */
  readonly records: Map<string, CulpritRecord>;
  /** Culprits whose records this node is writing, by key. */
  readonly pendingWrites: Set<string>;
}

export function createCrashes(): Crashes {
  return {
    evidence: createCrashEvidence(),
    answeredSends: new Map(),
    probes: new Map(),
    abandoned: new Map(),
    pendingProbes: new Set(),
    digests: new Map(),
    records: new Map(),
    pendingWrites: new Set(),
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
  if (assessExchange(node, exchange).suspicion !== Suspicion.none)
    void announceCrashes(node, reportCrashesOf(node, exchange));
}

/** Keys of a request in the evidence on crashes, the most specific first. */
export function listKeys(exchange: Exchange): readonly string[] {
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

/** Records that an upstream has answered a send completely. */
export function recordAnsweredSend(
  node: EntryNode,
  exchange: Exchange,
  sentAt: number,
): void {
  const {answeredSends} = node.crashes;
  const keys = listKeys(exchange);
  for (const key of keys) {
    const latest = Math.max(sentAt, answeredSends.get(key) ?? -Infinity);
    // Re-insertion keeps the map in order of use, so the oldest are evicted first.
    answeredSends.delete(key);
    answeredSends.set(key, latest);
  }
  for (const key of answeredSends.keys()) {
    if (answeredSends.size <= MAX_ANSWERED_COUNT) break;
    answeredSends.delete(key);
  }
  clearSuspectsOf(node, keys, sentAt, exchange.caller.attemptId);
}

/** Clears suspects of the crashes before a send that was answered. */
export function clearSuspectsOf(
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

/**
 * Called when this node gives up a send, as its caller has left or it takes too long.
 * Its upstream may go on with it and end.
 */
export function recordAbandonedSend(
  node: EntryNode,
  exchange: Exchange,
  {registered, startedAt}: Send,
): void {
  const {abandoned, evidence} = node.crashes;
  const key = incarnationKey(registered);
  const abandonedAt = node.clock();
  const recent = (abandoned.get(key) ?? []).filter(
    send => abandonedAt - send.abandonedAt < MAX_NOTICE_MS,
  );
  recent.push({keys: listKeys(exchange), startedAt, abandonedAt});
  // Re-insertion keeps the map in order of use, so old ones are dropped first.
  abandoned.delete(key);
  abandoned.set(key, recent.slice(-MAX_ABANDONED_COUNT));
  for (const [other, sends] of abandoned) {
    if (abandonedAt - (sends.at(-1)?.abandonedAt ?? 0) < MAX_NOTICE_MS) break;
    abandoned.delete(other);
  }
  const crash = evidence.crashes.get(key);
  if (crash) addCrash(node, {...crash, suspects: new Map()});
  else probeAfterAbandonedSend(node, registered);
}

/**
 * Probes an upstream some time after a send was given up, unless this node connects to
 * it meanwhile: no answer breaks off if the upstream ends, and its end may be noticed
 * only with the next request.
 */
function probeAfterAbandonedSend(
  node: EntryNode,
  upstream: RegisteredUpstream,
): void {
  const {pendingProbes} = node.crashes;
  const key = incarnationKey(upstream);
  if (pendingProbes.has(key)) return;
  pendingProbes.add(key);
  const abandonedAt = node.clock();
  const probeUnlessConnected = () => {
    pendingProbes.delete(key);
    const connectedAt = findUpstream(node, key)?.connectedAt ?? Infinity;
    if (connectedAt <= abandonedAt) void recordPossibleEnd(node, upstream);
  };
  setTimeout(probeUnlessConnected, ABANDONED_PROBE_MS).unref();
}

/**
 * Called when an upstream refuses a connection or is due for a probe. It may have ended
 * under sends that nodes gave up, so that no answer broke off.
 */
export async function recordPossibleEnd(
  node: EntryNode,
  registered: RegisteredUpstream,
): Promise<void> {
  const at = node.clock();
  const upstream = incarnationKey(registered);
  if (node.crashes.evidence.crashes.has(upstream)) return;
  const finding = await probeOnce(node, registered);
  if (finding !== Finding.ended) return;
  addCrash(node, {upstream, at, suspects: new Map()});
}

/** The registered upstream of an incarnation; `undefined` if it is no longer listed. */
function findUpstream(
  node: EntryNode,
  incarnation: string,
): UpstreamState | undefined {
  const id = incarnation.slice(0, incarnation.lastIndexOf('@'));
  const state = node.upstreams.get(id);
  if (!state || incarnationKey(state.registered) !== incarnation)
    return undefined;
  return state;
}

/** Whether this node has connected to an incarnation of an upstream after a time. */
export function hasAcceptedSince(
  node: EntryNode,
  registered: RegisteredUpstream,
  since: number,
): boolean {
  const state = findUpstream(node, incarnationKey(registered));
  return state !== undefined && state.connectedAt > since + LISTENER_CLOSE_MS;
}

/**
 * Whether an upstream has ended together with an answer that nothing but the end of its
 * connection delimits, so that the answer may have been cut off.
 */
export async function mayBeCutOff(
  node: EntryNode,
  {closeDelimited, send: {registered}}: AnswerBody,
): Promise<boolean> {
  if (!closeDelimited) return false;
  const endedAt = node.clock();
  await wait(2 * LISTENER_CLOSE_MS);
  if (hasAcceptedSince(node, registered, endedAt)) return false;
  return (await probeOnce(node, registered)) === Finding.ended;
}

/**
 * Suspects of a crash among the sends that this node gave up. The crash may have been
 * noticed long after it, but not before the last connection to the upstream.
 */
function listAbandonedSuspects(
  node: EntryNode,
  {upstream, at}: Crash,
): Crash['suspects'] {
  const suspects = new Map<string, Suspect>();
  const sends = node.crashes.abandoned.get(upstream) ?? [];
  const aliveAt = findUpstream(node, upstream)?.connectedAt ?? -Infinity;
  for (const {keys, startedAt, abandonedAt} of sends) {
    if (startedAt >= at || at - abandonedAt > MAX_NOTICE_MS) continue;
    if (aliveAt - abandonedAt > ABANDONED_MS) continue;
    for (const [key, suspect] of createSuspects(keys, at - startedAt))
      suspects.set(key, suspect);
  }
  return suspects;
}

/** Ranks an upstream that ended last, as after a failed connection of this node. */
function rankLast(node: EntryNode, {upstream, at}: Crash): void {
  const state = findUpstream(node, upstream);
  if (!state || state.connectedAt > at) return;
  state.backoffUntil = Math.max(state.backoffUntil, at + ENDED_BACKOFF_MS);
}

/** Adds a crash, and clears the suspects that this node knows to be sound. */
function addCrash(node: EntryNode, crash: Crash): void {
  const {evidence, answeredSends} = node.crashes;
  const {upstream, at} = crash;
  // One that starts again with the id and incarnation that it had is not ranked last.
  if (!evidence.crashes.has(upstream)) rankLast(node, crash);
  mergeCrash(evidence, crash);
  const suspects = listAbandonedSuspects(node, crash);
  if (suspects.size > 0) mergeCrash(evidence, {upstream, at, suspects});
  for (const key of [...crash.suspects.keys(), ...suspects.keys()]) {
    const sentAt = answeredSends.get(key);
    if (sentAt !== undefined) clearSuspectsOf(node, [key], sentAt);
  }
}

/** Assesses a request by the crashes and culprits that this node knows of. */
export function assessExchange(
  node: EntryNode,
  exchange: Exchange,
): Assessment {
  const [culprit] = listCulpritsOf(node, exchange);
  if (culprit) return culprit;
  const {evidence} = node.crashes;
  const keys = evidence.crashes.size > 0 ? listKeys(exchange) : [];
  return assessRequest(evidence, keys);
}

/** The culprits that a request is or holds, by evidence or by the store. */
export function listCulpritsOf(
  {crashes: {evidence, records}}: EntryNode,
  exchange: Exchange,
): Assessment[] {
  if (evidence.crashes.size === 0 && records.size === 0) return [];
  const keys = listKeys(exchange);
  const culprits = listCulprits(evidence, keys);
  const known = new Set(culprits.map(({key}) => key));
  for (const key of keys) {
    const record = known.has(key) ? undefined : records.get(key);
    // The answer of a trial is known before its record has left the store.
    if (!record || isReleased(evidence, key)) continue;
    const lastEndAt = record.changedAt;
    culprits.push({
      suspicion: Suspicion.culprit,
      key,
      endCount: 0,
      crashCount: 0,
      lastEndAt,
      mayShareCause: false,
    });
  }
  return culprits;
}

function encodeCrash({upstream, at, suspects}: Crash, now: number) {
  return {
    upstream,
    ageMs: now - at,
    suspects: [...suspects].map(([key, suspect]) => ({key, ...suspect})),
  };
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
  const crashes = [...evidence.crashes.values()];
  return {crashDigest, crashes: crashes.map(crash => encodeCrash(crash, now))};
}

/** Reports the crashes that a request is a suspect of, or was until it was answered. */
export function reportCrashesOf(
  {crashes: {evidence}, clock}: EntryNode,
  exchange: Exchange,
): CrashReport {
  const now = clock();
  const keys = listKeys(exchange);
  const crashes = [...evidence.crashes.values()].filter(({suspects}) =>
    keys.some(key => suspects.has(key)),
  );
  return {
    crashDigest: evidence.digest,
    crashes: crashes.map(crash => encodeCrash(crash, now)),
  };
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
