/** The room that upstreams have for a request, by what this node knows of them. */
import {
  admit,
  Admission,
  hasMoreUrgent,
  predictWaitMs,
  queueMs,
} from '@parsleyarch/policy/room';
import type {UpstreamAnswer} from '@parsleyarch/platform/headers';
import type {Exchange} from './exchange.js';
import {findExclusion} from './exclusions.js';
import {placedAt, workAt} from './load.js';
import {expectHeaderMs} from './models.js';
import type {EntryNode, UpstreamState} from './node.js';
import {mayHaveRun} from './retries.js';
import {isColdLimitReached} from './upstream-records.js';
import {objectiveEndsAt, patienceEndsAt, priorityClassOf} from './urgency.js';

/** Weight of the newest answer in the service time of a plain service. */
const SERVICE_TIME_SMOOTHING_RATIO = 0.1;

/** Records the time that an upstream of a plain service took for a request. */
export function recordServiceTime(
  node: EntryNode,
  service: string,
  {load}: UpstreamAnswer,
  tookMs: number,
): void {
  const rounds = 1 + (load ? load.waiting / Math.max(1, load.slots) : 0);
  const runMs = tookMs / rounds;
  const known = node.serviceMs.get(service) ?? runMs;
  const smoothed = known + (runMs - known) * SERVICE_TIME_SMOOTHING_RATIO;
  node.serviceMs.set(service, smoothed);
}

function backlogMs(
  node: EntryNode,
  service: string,
  state: UpstreamState,
  placed: number,
  model?: string,
): number {
  if (model !== undefined)
    return expectHeaderMs(node.models, service, model, workAt(node, state));
  const serviceMs = node.serviceMs.get(service) ?? 0;
  return queueMs(placed, state.registered.slots, serviceMs);
}

/** Least wait at the upstreams that a request may use; 0 if a place is free. */
function findLeastWaitMs(
  node: EntryNode,
  exchange: Exchange,
  model?: string,
): number {
  const service = node.routes?.table.services.get(exchange.service);
  let leastMs = Infinity;
  for (const state of node.upstreams.values()) {
    if (findExclusion(node, exchange, state)) continue;
    if (node.clock() < state.backoffUntil) continue;
    if (isColdLimitReached(node, service, state)) continue;
    const placed = placedAt(node, state, service?.isEngine ?? false);
    const waitMs = predictWaitMs({
      placed,
      slots: state.registered.slots,
      backlogMs: backlogMs(node, exchange.service, state, placed, model),
    });
    if (waitMs === 0) return 0;
    leastMs = Math.min(leastMs, waitMs);
  }
  return leastMs === Infinity ? 0 : leastMs;
}

/** Whether a request is sent now, by the wait that is predicted for it. */
export function assessRoom(
  node: EntryNode,
  exchange: Exchange,
  model?: string,
): {admission: Admission; waitMs: number} {
  const waitMs = findLeastWaitMs(node, exchange, model);
  // What may have run has to get its answer.
  if (waitMs === 0 || mayHaveRun(exchange))
    return {admission: Admission.send, waitMs};
  const now = node.clock();
  const arrivals = node.waiting.arrivals.get(exchange.service) ?? new Map();
  const admission = admit({
    waitMs,
    untilObjectiveMs: objectiveEndsAt(exchange, now) - now,
    untilLeaveMs: patienceEndsAt(exchange, now) - now,
    competes: hasMoreUrgent(arrivals, priorityClassOf(node, exchange), now),
  });
  return {admission, waitMs};
}
