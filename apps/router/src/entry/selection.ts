/** Chooses the upstream for the next send of a request. */
import {
  chooseCandidate,
  type CostPenalties,
  type UpstreamCandidate,
} from '@parsleyarch/policy/upstream-choice';
import {sampleCandidates} from '@parsleyarch/policy/candidate-sample';
import {hasGroups} from '@parsleyarch/policy/load-sharing';
import {expectCached} from '@parsleyarch/policy/prompt-affinity';
import {Suspicion} from '@parsleyarch/policy/crash-evidence';
import {isSharedKey} from '@parsleyarch/policy/crash-keys';
import {hashName, listFirstMembers} from '@parsleyarch/policy/rendezvous';
import {prefillWork, relativeTime} from '@parsleyarch/policy/work';
import type {PooledService} from '@parsleyarch/resource/routing';
import {assessExchange} from './crashes.js';
import type {Exchange} from './exchange.js';
import {countUsableUpstreams, findExclusion} from './exclusions.js';
import {workAt} from './load.js';
import type {EntryNode, UpstreamState} from './node.js';
import {
  countCachedTokens,
  countSharedTokens,
  promptSegmentKeys,
} from './prompt-cache.js';
import {dropExpired, isColdLimitReached} from './upstream-records.js';

/** Time for which a failure adds to the cost of an upstream. */
const FAILURE_WINDOW_MS = 4_000;
const ENGINE_PENALTIES: CostPenalties = {otherDomain: 1, failure: 8, jitter: 1};
const SERVICE_PENALTIES: CostPenalties = {
  otherDomain: 0.5,
  failure: 3,
  jitter: 0.3,
};

/** Number of usable upstreams above which some are compared, and not all. */
const MIN_SAMPLED_COUNT = 8;

/** Work at the least loaded upstream that halves the cross-domain penalty. */
const DOMAIN_PENALTY_HALVING_WORK = 4;

const BYTES_PER_KB = 1_024;
/** Penalty for each kilobyte sent to another domain, in units of work. */
const CROSS_DOMAIN_WORK_PER_KB = 0.15;

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

/** Whether an upstream has neither failed nor been unreachable recently. */
function isSound(node: EntryNode, state: UpstreamState): boolean {
  const now = node.clock();
  dropExpired(state.failures, now - FAILURE_WINDOW_MS);
  return now >= state.backoffUntil && state.failures.length === 0;
}

/** The upstreams to compare first. */
function sampleUsable(
  node: EntryNode,
  usable: readonly UpstreamState[],
  {cachedChances}: Comparison,
): UpstreamState[] {
  const sound = usable.filter(state => isSound(node, state));
  return sampleCandidates(
    sound,
    state => isInOwnDomain(node, state),
    sound.filter(state => cachedChances.has(state)),
    node.random,
  );
}

/**
 * Limits a request that may end its upstream to one upstream, the same one on all
 * nodes, so that requests like it do not end several before they are refused. The last
 * upstream that is up is left to other requests.
 */
function isolateSuspect(
  node: EntryNode,
  exchange: Exchange,
  usable: readonly UpstreamState[],
): readonly UpstreamState[] {
  const {suspicion, key} = assessExchange(node, exchange);
  if (suspicion === Suspicion.none) return usable;
  const sound = usable.filter(state => isSound(node, state));
  const {usable: upCount, registered} = countUsableUpstreams(node, exchange);
  if (!isSharedKey(key) && registered > 1 && upCount < 2) return [];
  const isolated = listFirstMembers(hashName(key), sound, 1);
  return isolated.length > 0 ? isolated : usable;
}

/** Returns `undefined` if no upstream may or can accept the request. */
export function selectUpstream(
  node: EntryNode,
  exchange: Exchange,
  model = '',
): Selection | undefined {
  const usable = isolateSuspect(
    node,
    exchange,
    [...node.upstreams.values()].filter(
      state => !findExclusion(node, exchange, state),
    ),
  );
  const comparison = createComparison(node, exchange, model, usable);
  // Only the load that groups exchange is old enough to mislead.
  if (hasGroups(node.members.size) && usable.length > MIN_SAMPLED_COUNT) {
    const sample = sampleUsable(node, usable, comparison);
    const selection =
      sample.length > 0
        ? chooseAmong(node, exchange, model, sample, comparison)
        : undefined;
    if (selection) return selection;
  }
  return chooseAmong(node, exchange, model, usable, comparison);
}
