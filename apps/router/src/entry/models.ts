/** What the node learns of models, and the choice of the next one. */
import {
  escalate,
  type JudgedAnswer,
  type ModelOption,
} from '@parsleyarch/policy/model-choice';
import type {Exchange} from './exchange.js';
import type {EntryNode} from './node.js';
import {leastWork} from './selection.js';

/** Cost of the largest model as a share of an answer's value. */
const LARGEST_COST = 0.16;
/** Share of the objective that a model is expected to take at first. */
const FIRST_EXPECTED_SHARE = 0.2;
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
  /** Time to a header by route and model, milliseconds. */
  readonly times: Map<string, number>;
  /** Difference of confidence by the two models. */
  readonly gains: Map<string, number>;
}

/** Knows nothing. */
export function createModelKnowledge(): ModelKnowledge {
  return {times: new Map(), gains: new Map()};
}

function blend(known: number | undefined, value: number, weight: number) {
  return known === undefined ? value : known + (value - known) * weight;
}

/** Notes how long a model took to its header. */
export function noteModelTime(
  node: EntryNode,
  exchange: Exchange,
  model: string,
  tookMs: number,
): void {
  const {times} = node.models;
  const key = `${exchange.route.name}/${model}`;
  times.set(key, blend(times.get(key), tookMs, TIME_WEIGHT));
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
  const presentWork = leastWork(node, exchange);
  const firstGain = name === largest ? FIRST_GAIN_LARGEST : FIRST_GAIN_NEXT;
  return {
    name,
    cost: (LARGEST_COST * (costs?.get(name) ?? top)) / top,
    expectedMs:
      node.models.times.get(`${route.name}/${name}`) ??
      route.objectiveMs * FIRST_EXPECTED_SHARE,
    presentWork,
    confidenceGain: node.models.gains.get(`${asked}/${name}`) ?? firstGain,
  };
}

/** The larger model to ask in place of an answer; `undefined`: none. */
export function chooseLarger(
  node: EntryNode,
  exchange: Exchange,
  model: string,
  answer: JudgedAnswer,
): string | undefined {
  const {models} = exchange.route;
  const position = models.indexOf(model);
  if (position < 0) return undefined;
  const options = models
    .slice(position + 1)
    .map(name => optionOf(node, exchange, model, name));
  return escalate(answer, options)?.name;
}
