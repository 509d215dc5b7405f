/** What the node learns of models, and the choice of the next one. */
import {
  escalate,
  type ScoredAnswer,
  type ModelOption,
} from '@parsleyarch/policy/model-choice';
import {prefillWork} from '@parsleyarch/policy/work';
import type {Exchange} from './exchange.js';
import type {EntryNode} from './node.js';
import {findLeastWork, relativeCostOf} from './selection.js';

/** Cost of the largest model as a share of an answer's value. */
const LARGEST_COST = 0.16;
/** Time to a header that does not depend on work, milliseconds. */
const BASE_MS = 80;
/** Time that a unit of work is expected to take at first, milliseconds. */
const FIRST_PACE_MS = 50;
/** Confidence that each larger model is expected to have above the one before. */
const FIRST_GAIN_NEXT = 15;
const FIRST_GAIN_LARGEST = 72;
/** Weights of the newest observation. */
const TIME_WEIGHT = 0.15;
const GAIN_WEIGHT = 0.05;
/** Confidences outside are cut off and say nothing of a difference. */
const MIN_CONFIDENCE = 3;
const MAX_CONFIDENCE = 97;

/** What is known of models. */
export interface ModelKnowledge {
  /** Time to a header for a unit of work, by service and model, milliseconds. */
  readonly paces: Map<string, number>;
  /** Difference of confidence by the two models. */
  readonly gains: Map<string, number>;
}

/** Knows nothing. */
export function createModelKnowledge(): ModelKnowledge {
  return {paces: new Map(), gains: new Map()};
}

function blend(known: number | undefined, value: number, weight: number) {
  return known === undefined ? value : known + (value - known) * weight;
}

/** Notes how long a model took to its header behind some work, its own included. */
export function noteModelTime(
  node: EntryNode,
  {service}: Exchange,
  model: string,
  work: number,
  tookMs: number,
): void {
  const {paces} = node.models;
  const key = `${service}/${model}`;
  const pace = Math.max(0, tookMs - BASE_MS) / Math.max(1, work);
  paces.set(key, blend(paces.get(key), pace, TIME_WEIGHT));
}

/** Notes the confidences of two models for one request. */
export function noteGain(
  node: EntryNode,
  smaller: {model: string; confidence: number},
  larger: {model: string; confidence: number},
): void {
  if (smaller.confidence < MIN_CONFIDENCE) return;
  if (larger.confidence > MAX_CONFIDENCE) return;
  const {gains} = node.models;
  const key = `${smaller.model}/${larger.model}`;
  const gain = larger.confidence - smaller.confidence;
  // A gain that is cut off at the top is a lower bound, so only few count.
  const known = gains.get(key);
  if (known === undefined || gain < known)
    gains.set(key, blend(known, gain, GAIN_WEIGHT));
}

function optionOf(
  node: EntryNode,
  exchange: Exchange,
  asked: string,
  name: string,
): ModelOption {
  const {route, service} = exchange;
  const costs = node.routes?.table.services.get(service)?.modelCosts;
  const largest = route.models.at(-1) ?? name;
  const top = costs?.get(largest) ?? 1;
  const presentWork = findLeastWork(node, exchange);
  const table = node.routes?.table.services.get(service);
  const relativeCost = relativeCostOf(table, exchange, name);
  const ownWork = prefillWork(exchange.caller.promptTokens, relativeCost);
  const pace = node.models.paces.get(`${service}/${name}`) ?? FIRST_PACE_MS;
  const firstGain = name === largest ? FIRST_GAIN_LARGEST : FIRST_GAIN_NEXT;
  return {
    name,
    cost: (LARGEST_COST * (costs?.get(name) ?? top)) / top,
    expectedMs: BASE_MS + pace * (presentWork + ownWork),
    presentWork,
    confidenceGain: node.models.gains.get(`${asked}/${name}`) ?? firstGain,
  };
}

/** The larger model to ask in place of an answer; `undefined`: none. */
export function chooseLarger(
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
    .map(name => optionOf(node, exchange, model, name));
  return escalate(answer, options)?.name;
}
