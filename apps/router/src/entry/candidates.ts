/** What a request would cost at each upstream that it may use. */
import type {
  CostPenalties,
  UpstreamCandidate,
} from '@parsleyarch/policy/upstream-choice';
import {expectCached} from '@parsleyarch/policy/prompt-affinity';
import {hashName} from '@parsleyarch/policy/rendezvous';
import {prefillWork, relativeTime} from '@parsleyarch/policy/work';
import type {PooledService} from '@parsleyarch/resource/routing';
import type {Exchange} from './exchange.js';
import {choosesByLevel, timeFactorOf, workAt} from './load.js';
import type {EntryNode, UpstreamState} from './node.js';
import {expectPromptReuse} from './placing.js';
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

/** Work at the least loaded upstream that halves the cross-domain penalty. */
const DOMAIN_PENALTY_HALVING_WORK = 4;

const BYTES_PER_KB = 1_024;
/** Penalty for each kilobyte sent to another domain, in units of work. */
const CROSS_DOMAIN_WORK_PER_KB = 0.15;

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
export interface Comparison {
  readonly service?: PooledService;
  /** Cache keys of the prompt segments. */
  readonly keys: readonly string[];
  readonly sharedTokens: number;
  /** Upstreams at which the shared part is expected, with its probability. */
  readonly cachedChances: ReadonlyMap<UpstreamState, number>;
  /** Probability that the shared part was sent anywhere a short time before. */
  readonly reuseChance: number;
  readonly relativeTokenTime: number;
}

export function createComparison(
  node: EntryNode,
  exchange: Exchange,
  model: string,
  usable: readonly UpstreamState[],
): Comparison {
  const service = node.routes?.table.services.get(exchange.service);
  const keys = promptSegmentKeys(model, exchange.caller.promptSegments);
  const sharedKey = keys.at(-2) ?? '';
  const sharedTokens = countSharedTokens(exchange);
  return {
    service,
    keys,
    sharedTokens,
    cachedChances:
      sharedTokens > 0 ? expectCached(hashName(sharedKey), usable) : new Map(),
    reuseChance: choosesByLevel(node)
      ? expectPromptReuse(node, `${exchange.service}/${model}`, sharedKey)
      : 1,
    relativeTokenTime: relativeTimeOf(service, exchange, model),
  };
}

/** Tokens of a prompt that an upstream is expected to read. */
export function countUncachedTokens(
  node: EntryNode,
  exchange: Exchange,
  state: UpstreamState,
  {keys, sharedTokens, cachedChances, reuseChance}: Comparison,
): number {
  const chance = (cachedChances.get(state) ?? 0) * reuseChance;
  const cachedTokens = Math.max(
    countCachedTokens(node, state, exchange, keys),
    sharedTokens * chance,
  );
  return Math.max(0, exchange.caller.promptTokens - cachedTokens);
}

export function createCandidate(
  node: EntryNode,
  exchange: Exchange,
  state: UpstreamState,
  comparison: Comparison,
): UpstreamCandidate {
  const {service, relativeTokenTime} = comparison;
  const now = node.clock();
  dropExpired(state.failures, now - FAILURE_WINDOW_MS);
  const uncachedTokens = countUncachedTokens(node, exchange, state, comparison);
  return {
    id: state.registered.id,
    sameDomain: isInOwnDomain(node, state),
    presentWork: workAt(node, state),
    addedWork: prefillWork(uncachedTokens, relativeTokenTime),
    timeFactor: timeFactorOf(node, state),
    failures: state.failures.length,
    down: now < state.backoffUntil,
    coldFull: isColdLimitReached(node, service, state),
  };
}

export function isInOwnDomain(
  {settings}: EntryNode,
  {registered}: UpstreamState,
): boolean {
  return registered.failureDomain === settings.failureDomain;
}

/** Whether an upstream has neither failed nor been unreachable recently. */
export function isSound(node: EntryNode, state: UpstreamState): boolean {
  const now = node.clock();
  dropExpired(state.failures, now - FAILURE_WINDOW_MS);
  return now >= state.backoffUntil && state.failures.length === 0;
}

export function computePenalties(
  exchange: Exchange,
  service: PooledService | undefined,
  candidates: readonly Pick<UpstreamCandidate, 'presentWork'>[],
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
