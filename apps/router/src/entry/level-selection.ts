/** Chooses an upstream by load that other nodes have reported some time ago. */
import type {CostPenalties} from '@parsleyarch/policy/upstream-choice';
import {
  chooseByLevel,
  IDLE_MS,
  type LevelChoice,
  type QueuedCandidate,
} from '@parsleyarch/policy/stale-load';
import {prefillWork} from '@parsleyarch/policy/work';
import {
  computePenalties,
  createCandidate,
  type Comparison,
} from './candidates.js';
import type {Exchange} from './exchange.js';
import {placedHere, queuedWorkAt, timeFactorOf} from './load.js';
import type {EntryNode, UpstreamState} from './node.js';
import {expectWork, nextDraw} from './placing.js';

/** A candidate and the upstream that it describes. */
interface StatedCandidate extends QueuedCandidate {
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

function createStatedCandidate(
  node: EntryNode,
  exchange: Exchange,
  state: UpstreamState,
  comparison: Comparison,
  mostSlots: number,
): StatedCandidate {
  const candidate = createCandidate(node, exchange, state, comparison);
  const capacity = relativeSlots(state, mostSlots, comparison);
  return {
    ...candidate,
    state,
    presentWork: candidate.presentWork / capacity,
    queuedWork: queuedWorkAt(node, state) / capacity,
    uncachedWork: prefillWork(
      exchange.caller.promptTokens,
      comparison.relativeTokenTime,
    ),
    speed: capacity / timeFactorOf(node, state),
    isExpectedCached: comparison.cachedChances.has(state),
    idleSinceMs: readIdleTime(node, state, comparison),
  };
}

/** A choice with what the log says of it. */
export interface LevelSelection extends LevelChoice<StatedCandidate> {
  readonly penalties: CostPenalties;
}

/** Returns `undefined` if none of the upstreams can accept the request. */
export function selectByLevel(
  node: EntryNode,
  exchange: Exchange,
  model: string,
  upstreams: readonly UpstreamState[],
  comparison: Comparison,
): LevelSelection | undefined {
  const mostSlots = Math.max(...upstreams.map(s => s.registered.slots));
  const candidates = upstreams.map(state =>
    createStatedCandidate(node, exchange, state, comparison, mostSlots),
  );
  const penalties = computePenalties(exchange, comparison.service, candidates);
  const {service} = exchange;
  const choice = chooseByLevel(
    candidates,
    penalties,
    expectWork(node, service, comparison.keys.at(-2) ?? ''),
    nextDraw(node, service, model),
  );
  return choice && {...choice, penalties};
}
