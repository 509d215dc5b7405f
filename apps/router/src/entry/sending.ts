/** Starts sends, waits for them, and learns from how they end. */
import {startAttempt, type Attempt, type Outcome} from './attempt.js';
import {isRepeatable, isStream, priorityOf, type Exchange} from './exchange.js';
import {noteModelTime} from './models.js';
import type {EntryNode} from './node.js';
import {
  hasOther,
  noteFailure,
  noteReach,
  noteSend,
  type Selection,
} from './selection.js';
import {noteOutcome} from './version-tallies.js';

/** Shares of the objective after which a silent upstream is given up. */
const SILENT_SHARE = 0.6;
/** An engine may be silent because it reads long prompts. */
const SILENT_ENGINE_SHARE = 1.6;
/** Multiple of the objective after which any plain upstream is given up. */
const SLOW_SHARE = 1.5;
/** Priorities that are told apart at an upstream, for each size of model. */
const PRIORITIES = 4;

/**
 * Small models go before large ones: their answers decide what else is asked,
 * and short work first shortens the wait of all.
 */
function urgencyOf(exchange: Exchange, model?: string): number {
  const rank = Math.max(0, priorityOf(exchange));
  const {models} = exchange.route;
  const isFirst = model === undefined || model === models[0];
  const base = isFirst ? 0 : PRIORITIES;
  return base + Math.min(PRIORITIES - 1, rank);
}

/** Starts a send and notes it. */
export function start(
  node: EntryNode,
  exchange: Exchange,
  selection: Selection,
  model: string | undefined,
  lastEventId?: string,
): Attempt {
  const {upstream} = selection;
  const {id} = upstream.registered;
  exchange.sends += 1;
  exchange.runs += 1;
  exchange.tried.add(id);
  noteSend(node, upstream, exchange, model);
  const attempt = startAttempt(node, exchange, selection, {
    upstream: id,
    customer: exchange.customer?.name,
    deadlineMs: Math.floor(exchange.endsAt - node.clock()),
    model,
    urgency: urgencyOf(exchange, model),
    lastEventId,
  });
  exchange.cancel = attempt.cancel;
  return attempt;
}

/** Waits for the header of an answer as long as that is of use. */
export async function settle(
  node: EntryNode,
  exchange: Exchange,
  attempt: Attempt,
): Promise<Outcome> {
  const {objectiveMs, maxAttempts} = exchange.route;
  const movable = isRepeatable(exchange) && exchange.runs < maxAttempts;
  const timers: NodeJS.Timeout[] = [];
  if (movable) {
    const giveUpIfSilent = () => {
      const silent = attempt.upstream.lastAnswerAt < attempt.startedAt;
      if (silent && hasOther(node, exchange))
        attempt.cancel('upstream is silent', true);
    };
    const share = isStream(exchange) ? SILENT_ENGINE_SHARE : SILENT_SHARE;
    timers.push(setTimeout(giveUpIfSilent, objectiveMs * share));
    const giveUp = () => {
      if (hasOther(node, exchange)) attempt.cancel('no answer in time', true);
    };
    if (!isStream(exchange))
      timers.push(setTimeout(giveUp, objectiveMs * SLOW_SHARE));
  }
  const outcome = await attempt.outcome;
  for (const timer of timers) clearTimeout(timer);
  return outcome;
}

/** Records what an outcome says of the upstream. */
export function learn(
  node: EntryNode,
  exchange: Exchange,
  attempt: Attempt,
  outcome: Outcome,
  model = '',
): void {
  const {upstream} = attempt;
  const tookMs = node.clock() - attempt.startedAt;
  node.metrics.attempts.inc({service: exchange.service, outcome: outcome.kind});
  if (outcome.kind === 'answer' || outcome.kind === 'refused') {
    upstream.lastAnswerAt = node.clock();
    const {load} = outcome.answer;
    if (outcome.kind === 'answer' && model)
      noteModelTime(node, exchange, model, attempt.behindWork, tookMs);
    if (load) {
      upstream.load = {...load, at: node.clock()};
      upstream.sentSinceReport = 0;
    }
  }
  const failed =
    outcome.kind !== 'answer' || (outcome.answer?.status ?? 0) >= 500;
  if (failed && !exchange.ended) noteFailure(node, upstream);
  noteReach(node, upstream, outcome.kind);
  noteOutcome(node, exchange, upstream, {outcome, tookMs, model});
  node.logDecision('attempt', {
    requestId: exchange.caller.attemptId,
    upstream: upstream.registered.id,
    version: upstream.registered.version,
    outcome: outcome.kind,
    status: 'answer' in outcome ? outcome.answer.status : undefined,
    confidence: 'answer' in outcome ? outcome.answer.confidence : undefined,
    reason: 'reason' in outcome ? outcome.reason : undefined,
    tookMs: Math.round(tookMs),
    model,
    load: 'answer' in outcome ? outcome.answer.load : undefined,
    promptTokens: exchange.caller.promptTokens,
  });
}
