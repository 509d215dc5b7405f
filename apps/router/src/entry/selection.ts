/** Chooses the upstream for the next send of a request. */
import {chooseCandidate} from '@parsleyarch/policy/upstream-choice';
import {sampleCandidates} from '@parsleyarch/policy/candidate-sample';
import {hasGroups} from '@parsleyarch/policy/load-sharing';
import {Suspicion} from '@parsleyarch/policy/crash-evidence';
import {isSharedKey} from '@parsleyarch/policy/crash-keys';
import {hashName, listFirstMembers} from '@parsleyarch/policy/rendezvous';
import {
  computePenalties,
  createCandidate,
  createComparison,
  isInOwnDomain,
  isSound,
  type Comparison,
} from './candidates.js';
import {assessExchange} from './crashes.js';
import type {Exchange} from './exchange.js';
import {countUsableUpstreams, findExclusion} from './exclusions.js';
import {selectByLevel} from './level-selection.js';
import {choosesByLevel} from './load.js';
import type {EntryNode, UpstreamState} from './node.js';
import {newsAgeMs} from './placing.js';

/** Number of usable upstreams above which some are compared, and not all. */
const MIN_SAMPLED_COUNT = 8;

/** The chosen upstream, with work in the unit of policy/work.ts. */
export interface Selection {
  readonly upstream: UpstreamState;
  /** Work that the request adds. */
  readonly addedWork: number;
  /** Work that it is expected to find there. */
  readonly presentWork: number;
}

/** Rounds work to the precision of the log. */
function roundWork(work: number): number {
  return Math.round(work * 10) / 10;
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
    cost: choice && roundWork(choice.cost),
    present: chosen && roundWork(chosen.presentWork),
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

/** Chooses one of the upstreams by the level to which all nodes together fill them. */
function chooseByLevel(
  node: EntryNode,
  exchange: Exchange,
  model: string,
  upstreams: readonly UpstreamState[],
  comparison: Comparison,
): Selection | undefined {
  if (upstreams.length === 0) return undefined;
  const choice = selectByLevel(node, exchange, model, upstreams, comparison);
  if (!choice) return undefined;
  const {cost, level, reason, workAhead} = choice;
  const {state: upstream, presentWork} = choice.upstream;
  const {addedWork} = choice.work;
  node.logDecision('select', {
    requestId: exchange.caller.attemptId,
    candidates: upstreams.length,
    choice: upstream.registered.id,
    cost: roundWork(cost),
    present: roundWork(presentWork),
    reason,
    ahead: roundWork(workAhead),
    level: roundWork(level),
    reuse:
      comparison.sharedTokens > 0
        ? roundWork(comparison.reuseChance)
        : undefined,
    newsAgeMs: Math.round(newsAgeMs(node)),
    model,
  });
  return {upstream, addedWork, presentWork: workAhead};
}

/** Chooses among a few random upstreams; meant for nodes without sums of the load. */
function chooseFromSample(
  node: EntryNode,
  exchange: Exchange,
  model: string,
  upstreams: readonly UpstreamState[],
  comparison: Comparison,
): Selection | undefined {
  const sample = sampleCandidates(
    upstreams,
    state => isInOwnDomain(node, state),
    upstreams.filter(state => comparison.cachedChances.has(state)),
    node.random,
  );
  if (sample.length === 0) return undefined;
  return chooseAmong(node, exchange, model, sample, comparison);
}

/** Chooses in a deployment in which load is old enough to mislead. */
function chooseByOldLoad(
  node: EntryNode,
  exchange: Exchange,
  model: string,
  usable: readonly UpstreamState[],
  comparison: Comparison,
): Selection | undefined {
  const sound = usable.filter(state => isSound(node, state));
  if (choosesByLevel(node))
    return chooseByLevel(node, exchange, model, sound, comparison);
  if (usable.length <= MIN_SAMPLED_COUNT) return undefined;
  return chooseFromSample(node, exchange, model, sound, comparison);
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
  const selection = hasGroups(node.members.size)
    ? chooseByOldLoad(node, exchange, model, usable, comparison)
    : undefined;
  return selection ?? chooseAmong(node, exchange, model, usable, comparison);
}
