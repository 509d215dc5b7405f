/** Chooses an upstream by load that other nodes have reported some time ago. */
import {
  chooseByLevel,
  IDLE_MS,
  type LevelChoice,
  type QueuedUpstream,
  type RequestWork,
} from '@parsleyarch/policy/stale-load';
import {prefillWork} from '@parsleyarch/policy/work';
import {
  computePenalties,
  countUncachedTokens,
  isInOwnDomain,
  type Comparison,
} from './candidates.js';
import type {Exchange} from './exchange.js';
import {estimateWork, placedHere, timeFactorOf} from './load.js';
import type {EntryNode, UpstreamState} from './node.js';
import {expectWork, nextDraw} from './placing.js';
import {countCommonTokens} from './prompt-cache.js';
import {isColdLimitReached} from './upstream-records.js';

/** An upstream and what is known of its queue. */
interface StatedUpstream extends QueuedUpstream {
  readonly state: UpstreamState;
}

/** Time since an engine told this node that no request waits there. */
function readIdleTime(
  node: EntryNode,
  state: UpstreamState,
  {service}: Comparison,
): number | undefined {
  const {load} = state;
  if (!service?.isEngine || !load || load.waiting > 0) return undefined;
  const ageMs = node.clock() - load.at;
  return ageMs < IDLE_MS && placedHere(state, true) === 0 ? ageMs : undefined;
}

/** Capacity of an upstream relative to the largest one of its service. */
function relativeSlots(
  {registered}: UpstreamState,
  mostSlots: number,
  {service}: Comparison,
): number {
  // An engine reads prompts one after the other, however many requests it runs.
  if (service?.isEngine || registered.slots <= 0) return 1;
  return registered.slots / mostSlots;
}

function describeQueue(
  node: EntryNode,
  state: UpstreamState,
  comparison: Comparison,
  mostSlots: number,
): StatedUpstream {
  const {queued, all} = estimateWork(node, state);
  const capacity = relativeSlots(state, mostSlots, comparison);
  const speed = capacity / timeFactorOf(node, state);
  return {
    state,
    sameDomain: isInOwnDomain(node, state),
    presentWork: all / speed,
    queuedWork: queued / speed,
    speed,
    coldFull: isColdLimitReached(node, comparison.service, state),
    isExpectedCached: comparison.cachedChances.has(state),
    idleSinceMs: readIdleTime(node, state, comparison),
  };
}

/** Returns `undefined` if none of the upstreams can accept the request. */
export function selectByLevel(
  node: EntryNode,
  exchange: Exchange,
  model: string,
  states: readonly UpstreamState[],
  comparison: Comparison,
): LevelChoice<StatedUpstream> | undefined {
  const {service} = exchange;
  const mostSlots = Math.max(...states.map(s => s.registered.slots));
  const upstreams = states.map(state =>
    describeQueue(node, state, comparison, mostSlots),
  );
  const {relativeTokenTime} = comparison;
  const {promptTokens} = exchange.caller;
  const {keys} = comparison;
  const common = countCommonTokens(node, exchange, keys, states.length);
  const readAnywhere = Math.max(0, promptTokens - common);
  const describeWork = ({state}: StatedUpstream): RequestWork => {
    const uncached = countUncachedTokens(node, exchange, state, comparison);
    const readTokens = Math.min(uncached, readAnywhere);
    return {
      addedWork: prefillWork(readTokens, relativeTokenTime),
      uncachedWork: prefillWork(readAnywhere, relativeTokenTime),
      failures: state.failures.length,
    };
  };
  return chooseByLevel(
    upstreams,
    describeWork,
    computePenalties(exchange, comparison.service, upstreams),
    expectWork(node, service, keys.at(-2) ?? ''),
    nextDraw(node, service, model),
  );
}
