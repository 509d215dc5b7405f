/**
 * How evenly nodes load upstreams by load that is a little old, and what callers wait,
 * under the router's choice and under simple ones.
 */
import {sampleCandidates} from '@parsleyarch/policy/candidate-sample';
import {
  createSpreadPositions,
  nextPosition,
  type SpreadPositions,
} from '@parsleyarch/policy/spread-positions';
import {
  chooseByLevel,
  IDLE_MS,
  type QueuedUpstream,
} from '@parsleyarch/policy/stale-load';
import {
  chooseCandidate,
  type UpstreamCandidate,
} from '@parsleyarch/policy/upstream-choice';
import type {MeasurementResult} from './figures.js';
import {
  playLoad,
  PROMPT_MEMORY_MS,
  type Rule,
  type Scenario,
  type View,
} from './stale-load-model.js';

const PENALTIES = {otherDomain: 0.3, failure: 8, jitter: 0.3};
/** Probability that the prompt is cached, by the rank of the upstream. */
const CACHED_CHANCES = [0.8, 0.3];
const DRAW_PERIOD_MS = 500;
/** Age above which the router does not use the load of others. */
const MAX_LOAD_AGE_MS = 1_200;

interface ModelCandidate extends QueuedUpstream, UpstreamCandidate {
  readonly index: number;
}

function domainOf({scenario}: View, index: number): number {
  return index % scenario.domainCount;
}

function createCandidate(view: View, index: number): ModelCandidate {
  const {scenario, others, own, paces, size, homes} = view;
  const rank = homes.indexOf(index);
  const saved = scenario.cachedRatio * (CACHED_CHANCES[rank] ?? 0);
  const presentWork = (others[index] + own[index]) * paces[index];
  const idleMs = view.idleSinceMs(index) ?? Infinity;
  const isIdle = scenario.slots === 1 && own[index] === 0 && idleMs < IDLE_MS;
  return {
    index,
    id: String(index),
    sameDomain: domainOf(view, index) === domainOf(view, view.node),
    presentWork,
    queuedWork: presentWork,
    addedWork: size * (1 - saved),
    failures: 0,
    down: false,
    coldFull: false,
    speed: 1 / paces[index],
    isExpectedCached: rank >= 0,
    idleSinceMs: isIdle ? idleMs : undefined,
  };
}

function listCandidates(view: View): ModelCandidate[] {
  return view.others.map((_, index) => createCandidate(view, index));
}

/** The router's choice: water-filling over what all nodes are expected to send. */
function createLevelRule(): Rule {
  const positions = new Map<number, SpreadPositions>();
  return view => {
    if (view.ageMs > MAX_LOAD_AGE_MS) return chooseFromSample(view);
    const {scenario, node, now, workPerMs, samePrompt} = view;
    const {nodeCount, domainCount, ageMs} = scenario;
    const own = positions.get(node) ?? createSpreadPositions();
    positions.set(node, own);
    const horizonMs = view.ageMs + ageMs;
    const work = workPerMs * horizonMs;
    const period = Math.floor(now / DRAW_PERIOD_MS);
    const choice = chooseByLevel(
      listCandidates(view),
      ({addedWork, failures}) => ({
        addedWork,
        failures,
        uncachedWork: view.size,
      }),
      PENALTIES,
      {
        ownDomainWork: work / domainCount,
        otherDomainWork: work - work / domainCount,
        samePromptCount:
          (samePrompt / PROMPT_MEMORY_MS) * nodeCount * horizonMs,
      },
      {
        position: nextPosition(own, '', period, node / nodeCount),
        random: view.random(),
      },
    );
    return choice?.upstream.index ?? 0;
  };
}

function chooseCheapest(view: View, candidates: ModelCandidate[]): number {
  return Number(chooseCandidate(candidates, PENALTIES, view.random)?.id ?? 0);
}

const chooseFromSample: Rule = view => {
  const candidates = listCandidates(view);
  const sample = sampleCandidates(
    candidates,
    ({sameDomain}) => sameDomain,
    candidates.filter(({isExpectedCached}) => isExpectedCached),
    view.random,
  );
  return chooseCheapest(view, sample);
};

const chooseRandom: Rule = ({random, others}) =>
  Math.floor(random() * others.length);

const chooseOfTwo: Rule = view => {
  const candidates = listCandidates(view);
  const drawn = [chooseRandom(view), chooseRandom(view)];
  return chooseCheapest(
    view,
    drawn.map(index => candidates[index]),
  );
};

const chooseLeast: Rule = view => chooseCheapest(view, listCandidates(view));

/** Rules by name; each play gets a new one. */
export const RULES: Readonly<Record<string, () => Rule>> = {
  level: createLevelRule,
  sample: () => chooseFromSample,
  random: () => chooseRandom,
  two: () => chooseOfTwo,
  least: () => chooseLeast,
};

/** Engines that read prompts one after the other, one for each node. */
export function engines(nodeCount: number, ageMs: number): Scenario {
  return {
    nodeCount,
    upstreamCount: nodeCount,
    slots: 1,
    workMs: 40,
    sizes: [0.3, 0.3, 0.3, 0.3, 0.6, 0.6, 0.6, 1, 1, 4.5],
    cachedRatio: 0.65,
    hotRatio: 0,
    utilization: 0.5,
    ageMs,
    slowFactor: 1,
    domainCount: 4,
    domainSwing: 0,
    cutOffRatio: 0,
  };
}

/** A plain service with few places before many nodes. */
export function plainService(nodeCount: number, ageMs: number): Scenario {
  return {
    ...engines(nodeCount, ageMs),
    upstreamCount: 5,
    slots: 6,
    workMs: 60,
    sizes: [1],
    cachedRatio: 0,
    utilization: 0.4,
  };
}

const NODE_COUNTS = [8, 58, 130, 360];
const AGES_MS = [0, 100, 400, 800];
/** Age at which upstreams of changing pace are played as well, and the change. */
const SLOW_AGE_MS = 400;
const SLOW_FACTOR = 2.5;

function* listScenarios(): Generator<[string, Scenario]> {
  for (const [name, create] of Object.entries({engines, plainService})) {
    for (const nodeCount of NODE_COUNTS) {
      for (const ageMs of AGES_MS)
        yield [
          `${name}, ${nodeCount} nodes, ${ageMs} ms`,
          create(nodeCount, ageMs),
        ];
      yield [
        `${name}, ${nodeCount} nodes, ${SLOW_AGE_MS} ms, changing pace`,
        {...create(nodeCount, SLOW_AGE_MS), slowFactor: SLOW_FACTOR},
      ];
    }
  }
}

/** Plays all rules at the sizes and ages of the design note. */
export async function measureStaleLoad(
  seed: number,
  logProgress: (text: string) => void,
): Promise<MeasurementResult> {
  const figures: Record<string, unknown> = {};
  for (const [name, scenario] of listScenarios()) {
    for (const [rule, createRule] of Object.entries(RULES)) {
      const result = playLoad(scenario, createRule(), seed);
      figures[`${name}, ${rule}`] = result;
      logProgress(`${name}, ${rule}: ${JSON.stringify(result)}`);
    }
  }
  return {violations: 0, ...figures};
}
