/** Model statistics of the node, and the choice of a larger model. */
import {
  expectHeaderTime,
  recordHeaderTime,
} from '@parsleyarch/policy/header-time';
import {
  escalate,
  type ScoredAnswer,
  type ModelOption,
} from '@parsleyarch/policy/model-choice';
import {prefillWork} from '@parsleyarch/policy/work';
import type {Exchange} from './exchange.js';
import type {EntryNode} from './node.js';
import {findWorkAhead} from './exclusions.js';
import {relativeTimeOf} from './candidates.js';

/** Cost of the largest model, relative to the value of a good answer. */
const LARGEST_MODEL_COST_RATIO = 0.16;
/**
 * Expected confidence gain over the model asked before, until the first
 * observation: for the models between, and for the largest model.
 */
const INITIAL_GAIN_PERCENT = 15;
const INITIAL_GAIN_LARGEST_PERCENT = 72;
/** Weight of the newest observation in the moving average of gains. */
const GAIN_SMOOTHING_RATIO = 0.05;
/** Confidences outside this range are saturated, so their difference is unknown. */
const MIN_CONFIDENCE_PERCENT = 3;
const MAX_CONFIDENCE_PERCENT = 97;

/** Estimates that the choice of a model relies on. */
export interface ModelStatistics {
  /** Time to the response header per unit of work, by service and model. */
  readonly msPerWorkUnit: Map<string, number>;
  /**
   * Confidence gain of the second model over the first, by pair of models; an
   * estimate that only decreases.
   */
  readonly confidenceGains: Map<string, number>;
}

export function createModelStatistics(): ModelStatistics {
  return {msPerWorkUnit: new Map(), confidenceGains: new Map()};
}

function smooth(known: number | undefined, value: number, weight: number) {
  return known === undefined ? value : known + (value - known) * weight;
}

/**
 * Records the time from a send to the response header. `work` is the work that
 * was queued at the upstream, including that of the request.
 */
export function recordModelTime(
  node: EntryNode,
  {service}: Exchange,
  model: string,
  work: number,
  tookMs: number,
): void {
  const {msPerWorkUnit} = node.models;
  const key = `${service}/${model}`;
  const known = msPerWorkUnit.get(key);
  msPerWorkUnit.set(key, recordHeaderTime(known, work, tookMs));
}

/** Expected time from a send to the response header, behind this work and with it. */
export function expectHeaderMs(
  {msPerWorkUnit}: ModelStatistics,
  service: string,
  model: string,
  work: number,
): number {
  return expectHeaderTime(msPerWorkUnit.get(`${service}/${model}`), work);
}

/** Records the confidences of two models for the same request. */
export function recordConfidenceGain(
  node: EntryNode,
  smaller: {model: string; confidence: number},
  larger: {model: string; confidence: number},
): void {
  // A gain is only a lower bound, and left out, if the smaller model's confidence
  // is saturated at the bottom or the larger model's at the top.
  if (smaller.confidence < MIN_CONFIDENCE_PERCENT) return;
  if (larger.confidence > MAX_CONFIDENCE_PERCENT) return;
  const {confidenceGains} = node.models;
  const key = `${smaller.model}/${larger.model}`;
  const gain = larger.confidence - smaller.confidence;
  // Only gains below the present estimate are recorded, so the estimate only
  // decreases.
  const known = confidenceGains.get(key);
  if (known === undefined || gain < known)
    confidenceGains.set(key, smooth(known, gain, GAIN_SMOOTHING_RATIO));
}

function estimateOption(
  node: EntryNode,
  exchange: Exchange,
  previousModel: string,
  name: string,
): ModelOption {
  const {route, service} = exchange;
  const costs = node.routes?.table.services.get(service)?.modelCosts;
  const largest = route.models.at(-1) ?? name;
  const largestCost = costs?.get(largest) ?? 1;
  const presentWork = findWorkAhead(node, exchange);
  const pooledService = node.routes?.table.services.get(service);
  const relativeTokenTime = relativeTimeOf(pooledService, exchange, name);
  const requestWork = prefillWork(
    exchange.caller.promptTokens,
    relativeTokenTime,
  );
  const work = presentWork + requestWork;
  const initialGain =
    name === largest ? INITIAL_GAIN_LARGEST_PERCENT : INITIAL_GAIN_PERCENT;
  return {
    name,
    cost:
      (LARGEST_MODEL_COST_RATIO * (costs?.get(name) ?? largestCost)) /
      largestCost,
    expectedMs: expectHeaderMs(node.models, service, name, work),
    presentWork,
    confidenceGain:
      node.models.confidenceGains.get(`${previousModel}/${name}`) ??
      initialGain,
  };
}

/** The larger model to ask instead of using the answer; `undefined` to use it. */
export function chooseLargerModel(
  node: EntryNode,
  exchange: Exchange,
  model: string,
  answer: ScoredAnswer,
): string | undefined {
  const {models} = exchange.route;
  const position = models.indexOf(model);
  if (position < 0) return undefined;
  const options = models
    .slice(position + 1)
    .map(name => estimateOption(node, exchange, model, name));
  return escalate(answer, options)?.name;
}
