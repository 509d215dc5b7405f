/** Chooses the upstream for the next send of a request. */
import type {PromptSegment} from '@parsleyarch/platform/headers';
import {
  chooseCandidate,
  limitColdSends,
  type CostPenalties,
  type UpstreamCandidate,
} from '@parsleyarch/policy/upstream-choice';
import {sampleCandidates} from '@parsleyarch/policy/candidate-sample';
import {hasGroups} from '@parsleyarch/policy/load-sharing';
import {expectCached} from '@parsleyarch/policy/prompt-affinity';
import {hashName, rankMember} from '@parsleyarch/policy/rendezvous';
import {prefillWork, relativeTime} from '@parsleyarch/policy/work';
import type {PooledService} from '@parsleyarch/resource/routing';
import type {Exchange} from './exchange.js';
import {workAt} from './load.js';
import type {EntryNode, UpstreamState} from './node.js';
import {isLeaving, pausedUntil} from './notices.js';
import {allowsVersion} from './versions.js';

/** Time for which a failure adds to the cost of an upstream. */
const FAILURE_WINDOW_MS = 4_000;
/** Bounds of the exponential backoff after failed connections. */
const MIN_CONNECT_BACKOFF_MS = 500;
const MAX_CONNECT_BACKOFF_MS = 2_000;
/** Time for which an upstream is assumed to cache a prompt segment. */
const PROMPT_CACHE_TTL_MS = 10_000;
/**
 * Fraction of the cold limit that is used. The rest is left for nodes that this
 * one does not know yet.
 */
const COLD_LIMIT_RATIO = 0.8;
/**
 * The limit is per second; the additional time allows for sends that arrive
 * closer together than they left.
 */
const COLD_WINDOW_MS = 1_100;

const ENGINE_PENALTIES: CostPenalties = {otherDomain: 1, failure: 8, jitter: 1};
const SERVICE_PENALTIES: CostPenalties = {
  otherDomain: 0.5,
  failure: 3,
  jitter: 0.3,
};

/**
 * Time until an upstream that wants no requests now may be used again,
 * milliseconds; `undefined` if another reason excludes all upstreams.
 */
export function findPauseMs(
  node: EntryNode,
  exchange: Exchange,
): number | undefined {
  let earliest = Infinity;
  for (const state of node.upstreams.values()) {
    if (findExclusion(node, exchange, state) !== PAUSED) continue;
    earliest = Math.min(earliest, pausedUntil(node, state.registered));
  }
  return earliest === Infinity ? undefined : earliest - node.clock();
}

/** Number of usable upstreams above which some are compared, and not all. */
const MIN_SAMPLED_COUNT = 8;

/** Work at the least loaded upstream that halves the cross-domain penalty. */
const DOMAIN_PENALTY_HALVING_WORK = 4;

const BYTES_PER_KB = 1_024;
/** Penalty for each kilobyte sent to another domain, in units of work. */
const CROSS_DOMAIN_WORK_PER_KB = 0.15;

function dropExpired(times: number[], oldest: number): void {
  while (times.length > 0 && times[0] < oldest) times.shift();
}

function isColdLimitReached(
  node: EntryNode,
  service: PooledService | undefined,
  state: UpstreamState,
): boolean {
  const now = node.clock();
  if (!service || service.coldPerSecond === 0 || now >= state.coldUntil)
    return false;
  const {over, slack} = node.settings.cold;
  const limitPerSecond =
    (service.coldPerSecond * over + slack) * COLD_LIMIT_RATIO;
  const rank = rankMember(state.digest, node, node.members.values());
  const sendLimit = limitColdSends(limitPerSecond, node.peakMemberCount, rank);
  let recent = 0;
  for (const at of state.sends) {
    if (at > now - COLD_WINDOW_MS) recent += 1;
  }
  return recent >= sendLimit;
}

/**
 * Cache keys of prompt segments. Each includes the model and all preceding
 * segments, as an upstream caches a segment only together with these.
 */
function promptSegmentKeys(
  model: string,
  segments: readonly PromptSegment[],
): string[] {
  const keys: string[] = [];
  let key = model;
  for (const {id} of segments) keys.push((key = `${key}/${id}`));
  return keys;
}

/** Tokens of a prompt that an upstream caches, by the sends of this node. */
function countCachedTokens(
  node: EntryNode,
  state: UpstreamState,
  exchange: Exchange,
  keys: readonly string[],
): number {
  const {promptSegments: segments} = exchange.caller;
  const oldest = node.clock() - PROMPT_CACHE_TTL_MS;
  let cached = 0;
  for (const [index, key] of keys.entries()) {
    if ((state.promptSegmentSentAt.get(key) ?? -Infinity) < oldest) break;
    cached += segments[index].tokens;
  }
  return cached;
}

/** The part of a prompt that other requests share: all segments but the last. */
function countSharedTokens({caller}: Exchange): number {
  let shared = 0;
  for (const {tokens} of caller.promptSegments.slice(0, -1)) shared += tokens;
  return shared;
}

const PAUSED = 'paused';

/** Returns why a request cannot use an upstream, or `undefined` if it can. */
function findExclusion(
  node: EntryNode,
  exchange: Exchange,
  state: UpstreamState,
): string | undefined {
  const {registered} = state;
  if (registered.service !== exchange.service) return 'other service';
  if (registered.draining || isLeaving(node, registered)) return 'draining';
  if (pausedUntil(node, registered) > node.clock()) return PAUSED;
  if (node.evacuated.has(registered.failureDomain)) return 'domain out';
  if (exchange.triedUpstreams.has(registered.id)) return 'tried';
  if (!allowsVersion(node, exchange, registered.version)) return 'version';
  return undefined;
}

/** The chosen upstream, with work in the unit of policy/work.ts. */
export interface Selection {
  readonly upstream: UpstreamState;
  /** Work that the request adds. */
  readonly addedWork: number;
  /** Work that all nodes together had placed there before. */
  readonly presentWork: number;
}

/** Time that a model takes for a prompt token, relative to the route's largest one. */
export function relativeTimeOf(
  service: PooledService | undefined,
  {route}: Exchange,
  model: string,
): number {
  const largest = service?.modelCosts.get(route.models.at(-1) ?? model);
  const cost = service?.modelCosts.get(model);
  return largest === undefined || cost === undefined
    ? 1
    : relativeTime(cost / largest);
}

/** Whether a usable upstream is left to which the request was not sent. */
export function hasUntriedUpstream(
  node: EntryNode,
  exchange: Exchange,
): boolean {
  for (const state of node.upstreams.values()) {
    if (!findExclusion(node, exchange, state)) return true;
  }
  return false;
}

/** Work at the least loaded upstream that the request may use, tried or not. */
export function findLeastWork(node: EntryNode, exchange: Exchange): number {
  let leastWork = Infinity;
  for (const state of node.upstreams.values()) {
    const exclusion = findExclusion(node, exchange, state);
    if (exclusion && exclusion !== 'tried') continue;
    leastWork = Math.min(leastWork, workAt(node, state));
  }
  return leastWork === Infinity ? 0 : leastWork;
}

/** What the candidates of one request have in common. */
interface Comparison {
  readonly service?: PooledService;
  /** Cache keys of the prompt segments. */
  readonly keys: readonly string[];
  readonly sharedTokens: number;
  /** Upstreams at which the shared part is expected, with its probability. */
  readonly cachedChances: ReadonlyMap<UpstreamState, number>;
  readonly relativeTokenTime: number;
}

function createComparison(
  node: EntryNode,
  exchange: Exchange,
  model: string,
  usable: readonly UpstreamState[],
): Comparison {
  const service = node.routes?.table.services.get(exchange.service);
  const keys = promptSegmentKeys(model, exchange.caller.promptSegments);
  const sharedTokens = countSharedTokens(exchange);
  return {
    service,
    keys,
    sharedTokens,
    cachedChances:
      sharedTokens > 0
        ? expectCached(hashName(keys.at(-2) ?? ''), usable)
        : new Map(),
    relativeTokenTime: relativeTimeOf(service, exchange, model),
  };
}

function createCandidate(
  node: EntryNode,
  exchange: Exchange,
  state: UpstreamState,
  comparison: Comparison,
): UpstreamCandidate {
  const {service, keys, sharedTokens, cachedChances, relativeTokenTime} =
    comparison;
  const now = node.clock();
  dropExpired(state.failures, now - FAILURE_WINDOW_MS);
  const cachedTokens = Math.max(
    countCachedTokens(node, state, exchange, keys),
    sharedTokens * (cachedChances.get(state) ?? 0),
  );
  const uncachedTokens = exchange.caller.promptTokens - cachedTokens;
  return {
    id: state.registered.id,
    sameDomain: isInOwnDomain(node, state),
    presentWork: workAt(node, state),
    addedWork: prefillWork(Math.max(0, uncachedTokens), relativeTokenTime),
    failures: state.failures.length,
    down: now < state.backoffUntil,
    coldFull: isColdLimitReached(node, service, state),
  };
}

function isInOwnDomain({settings}: EntryNode, {registered}: UpstreamState) {
  return registered.failureDomain === settings.failureDomain;
}

function computePenalties(
  exchange: Exchange,
  service: PooledService | undefined,
  candidates: readonly UpstreamCandidate[],
): CostPenalties {
  const penalties = service?.isEngine ? ENGINE_PENALTIES : SERVICE_PENALTIES;
  const transferWork =
    (exchange.body.length / BYTES_PER_KB) * CROSS_DOMAIN_WORK_PER_KB;
  const leastWork = Math.min(...candidates.map(({presentWork}) => presentWork));
  const otherDomain =
    (penalties.otherDomain + transferWork) /
    (1 + leastWork / DOMAIN_PENALTY_HALVING_WORK);
  return {...penalties, otherDomain};
}

function chooseAmong(
  node: EntryNode,
  exchange: Exchange,
  model: string,
  compared: readonly UpstreamState[],
  comparison: Comparison,
): Selection | undefined {
  const candidates = compared.map(state =>
    createCandidate(node, exchange, state, comparison),
  );
  const penalties = computePenalties(exchange, comparison.service, candidates);
  const choice = chooseCandidate(candidates, penalties, node.random);
  const chosen = candidates.find(({id}) => id === choice?.id);
  node.logDecision('select', {
    requestId: exchange.caller.attemptId,
    candidates: candidates.length,
    choice: choice?.id,
    cost: choice && Math.round(choice.cost * 10) / 10,
    present: chosen && Math.round(chosen.presentWork * 10) / 10,
    coldFull: candidates.filter(({coldFull}) => coldFull).length,
    model,
  });
  const upstream = choice && node.upstreams.get(choice.id);
  if (!upstream || !chosen) return undefined;
  return {
    upstream,
    addedWork: chosen.addedWork,
    presentWork: chosen.presentWork,
  };
}

/** The upstreams to compare first, without those that failed recently. */
function sampleUsable(
  node: EntryNode,
  usable: readonly UpstreamState[],
  {cachedChances}: Comparison,
): UpstreamState[] {
  const now = node.clock();
  const sound = (state: UpstreamState) =>
    now >= state.backoffUntil && state.failures.length === 0;
  return sampleCandidates(
    usable.filter(sound),
    state => isInOwnDomain(node, state),
    [...cachedChances.keys()].filter(sound),
    node.random,
  );
}

/** Returns `undefined` if no upstream may or can accept the request. */
export function selectUpstream(
  node: EntryNode,
  exchange: Exchange,
  model = '',
): Selection | undefined {
  const usable = [...node.upstreams.values()].filter(
    state => !findExclusion(node, exchange, state),
  );
  const comparison = createComparison(node, exchange, model, usable);
  // Only the load that groups exchange is old enough to mislead.
  if (hasGroups(node.members.size) && usable.length > MIN_SAMPLED_COUNT) {
    const sample = sampleUsable(node, usable, comparison);
    const selection = chooseAmong(node, exchange, model, sample, comparison);
    if (selection) return selection;
  }
  return chooseAmong(node, exchange, model, usable, comparison);
}

/** Time for which sends are remembered for the cold limit. */
const SEND_HISTORY_MS = 10_000;
const MAX_CACHED_SEGMENT_COUNT = 2_000;

/** Records a send for the cold limit, the load and the prompt cache. */
export function recordSend(
  node: EntryNode,
  state: UpstreamState,
  exchange: Exchange,
  model = '',
): void {
  const now = node.clock();
  dropExpired(state.sends, now - SEND_HISTORY_MS);
  state.sends.push(now);
  state.sentSinceReport += 1;
  for (const key of promptSegmentKeys(model, exchange.caller.promptSegments)) {
    // Re-insertion keeps the map in order of use, so the oldest are evicted first.
    state.promptSegmentSentAt.delete(key);
    state.promptSegmentSentAt.set(key, now);
  }
  for (const key of state.promptSegmentSentAt.keys()) {
    if (state.promptSegmentSentAt.size <= MAX_CACHED_SEGMENT_COUNT) break;
    state.promptSegmentSentAt.delete(key);
  }
}

/**
 * Starts a backoff after a failed connection to an upstream. An answer resets the
 * length of the next one.
 */
export function recordReachability(
  node: EntryNode,
  state: UpstreamState,
  outcome: 'unsent' | 'refused' | 'lost' | 'answer',
): void {
  if (outcome === 'answer' || outcome === 'refused') state.backoffMs = 0;
  if (outcome !== 'unsent') return;
  state.backoffMs = Math.min(
    MAX_CONNECT_BACKOFF_MS,
    Math.max(MIN_CONNECT_BACKOFF_MS, state.backoffMs * 2),
  );
  state.backoffUntil = node.clock() + state.backoffMs;
}

export function recordFailure(node: EntryNode, state: UpstreamState): void {
  state.failures.push(node.clock());
}
