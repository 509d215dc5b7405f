/** Chooses the upstream of the next send from what the node knows. */
import type {PromptPart} from '@parsleyarch/platform/headers';
import {
  chooseCandidate,
  limitColdSends,
  type CostPenalties,
  type UpstreamCandidate,
} from '@parsleyarch/policy/upstream-choice';
import {rankMember} from '@parsleyarch/policy/rendezvous';
import {prefillWork} from '@parsleyarch/policy/work';
import type {PooledService} from '@parsleyarch/resource/routing';
import type {Exchange} from './exchange.js';
import {workAt} from './load.js';
import type {EntryNode, UpstreamState} from './node.js';
import {allowsVersion} from './versions.js';

/** Time for which a failure of an upstream counts, milliseconds. */
const FAILURE_MEMORY_MS = 4_000;
/** Time for which an upstream is passed over when no connection came about. */
const MIN_DOWN_MS = 500;
const MAX_DOWN_MS = 2_000;
/** Time for which a sent prompt part is taken to be cached, milliseconds. */
const PART_MEMORY_MS = 10_000;
/** Share of the cold limit that is used, as nodes may be unknown. */
const COLD_SHARE = 0.8;
/** A second, and an allowance for sends that arrive closer together. */
const COLD_WINDOW_MS = 1_100;

const ENGINE_WEIGHTS: CostPenalties = {otherDomain: 1, failure: 8, jitter: 1};
const SERVICE_WEIGHTS: CostPenalties = {
  otherDomain: 0.5,
  failure: 3,
  jitter: 0.3,
};

/** Work at every upstream that halves what distance counts for. */
const BUSY_WORK = 4;

const BYTES_PER_KB = 1_024;
/** What a kilobyte that leaves the domain counts for, as work. */
const WORK_PER_KB = 0.15;

function dropOlder(times: number[], oldest: number): void {
  while (times.length > 0 && times[0] < oldest) times.shift();
}

function isColdFull(
  node: EntryNode,
  service: PooledService | undefined,
  state: UpstreamState,
): boolean {
  const now = node.clock();
  if (!service || service.coldPerSecond === 0 || now >= state.coldUntil)
    return false;
  const {over, slack} = node.settings.cold;
  const bound = (service.coldPerSecond * over + slack) * COLD_SHARE;
  const rank = rankMember(state.digest, node, node.members.values());
  const allowed = limitColdSends(bound, node.peakMemberCount, rank);
  let recent = 0;
  for (const at of state.sends) {
    if (at > now - COLD_WINDOW_MS) recent += 1;
  }
  return recent >= allowed;
}

/** A part is cached only after the parts before it, for the same model. */
function partKeys(model: string, parts: readonly PromptPart[]): string[] {
  const keys: string[] = [];
  let key = model;
  for (const {id} of parts) keys.push((key = `${key}/${id}`));
  return keys;
}

function unreadTokens(
  node: EntryNode,
  state: UpstreamState,
  exchange: Exchange,
  keys: readonly string[],
): number {
  const {parts, promptTokens} = exchange.caller;
  const oldest = node.clock() - PART_MEMORY_MS;
  let cached = 0;
  for (const [index, key] of keys.entries()) {
    if ((state.promptParts.get(key) ?? -Infinity) < oldest) break;
    cached += parts[index].tokens;
  }
  return Math.max(0, promptTokens - cached);
}

/** Why an upstream cannot be used for a request; absent: it can be. */
function findObstacle(
  node: EntryNode,
  exchange: Exchange,
  state: UpstreamState,
): string | undefined {
  const {registered} = state;
  if (registered.service !== exchange.service) return 'other service';
  if (registered.draining) return 'draining';
  if (node.evacuated.has(registered.failureDomain)) return 'domain out';
  if (exchange.tried.has(registered.id)) return 'tried';
  if (!allowsVersion(node, exchange, registered.version)) return 'version';
  return undefined;
}

/** An upstream with the work that the request makes there. */
export interface Selection {
  readonly upstream: UpstreamState;
  readonly work: number;
  /** Work that was there before it, all nodes together. */
  readonly present: number;
}

/** Cost of a model as a share of the largest one's. */
export function relativeCostOf(
  service: PooledService | undefined,
  {route}: Exchange,
  model: string,
): number {
  const largest = service?.modelCosts.get(route.models.at(-1) ?? model);
  const cost = service?.modelCosts.get(model);
  return largest === undefined || cost === undefined ? 1 : cost / largest;
}

/** Whether an upstream is left to which the request was not sent yet. */
export function hasOther(node: EntryNode, exchange: Exchange): boolean {
  for (const state of node.upstreams.values()) {
    if (!findObstacle(node, exchange, state)) return true;
  }
  return false;
}

/** Work at the least loaded upstream that the request may use. */
export function leastWork(node: EntryNode, exchange: Exchange): number {
  let least = Infinity;
  for (const state of node.upstreams.values()) {
    const obstacle = findObstacle(node, exchange, state);
    if (obstacle && obstacle !== 'tried') continue;
    least = Math.min(least, workAt(node, state));
  }
  return least === Infinity ? 0 : least;
}

/** Chooses an upstream; `undefined` when none may or can take the request. */
export function selectUpstream(
  node: EntryNode,
  exchange: Exchange,
  model = '',
): Selection | undefined {
  const service = node.routes?.table.services.get(exchange.service);
  const keys = partKeys(model, exchange.caller.parts);
  const now = node.clock();
  const relativeCost = relativeCostOf(service, exchange, model);
  const candidates: UpstreamCandidate[] = [];
  for (const state of node.upstreams.values()) {
    if (findObstacle(node, exchange, state)) continue;
    dropOlder(state.failures, now - FAILURE_MEMORY_MS);
    const unread = unreadTokens(node, state, exchange, keys);
    candidates.push({
      id: state.registered.id,
      sameDomain:
        state.registered.failureDomain === node.settings.failureDomain,
      presentWork: workAt(node, state),
      addedWork: prefillWork(unread, relativeCost),
      failures: state.failures.length,
      down: now < state.backoffUntil,
      coldFull: isColdFull(node, service, state),
    });
  }
  const base = service?.isEngine ? ENGINE_WEIGHTS : SERVICE_WEIGHTS;
  const sendingWork = (exchange.body.length / BYTES_PER_KB) * WORK_PER_KB;
  const least = Math.min(...candidates.map(({presentWork}) => presentWork));
  const otherDomain =
    (base.otherDomain + sendingWork) / (1 + least / BUSY_WORK);
  const weights = {...base, otherDomain};
  const choice = chooseCandidate(candidates, weights, node.random);
  const chosen = candidates.find(({id}) => id === choice?.id);
  node.logDecision('select', {
    requestId: exchange.caller.attemptId,
    candidates: candidates.length,
    choice: choice?.id,
    cost: choice && Math.round(choice.cost * 10) / 10,
    present: chosen && Math.round(chosen.presentWork * 10) / 10,
    coldFull: candidates.filter(({coldFull}) => coldFull).length,
    model,
  });
  const upstream = choice && node.upstreams.get(choice.id);
  if (!upstream || !chosen) return undefined;
  return {upstream, work: chosen.addedWork, present: chosen.presentWork};
}

/** Time over which sends are kept for the cold limit, milliseconds. */
const SENDS_MEMORY_MS = 10_000;
const MAX_PARTS = 2_000;

/** Notes a send for the cold limit, the load and the prompt cache. */
export function noteSend(
  node: EntryNode,
  state: UpstreamState,
  exchange: Exchange,
  model = '',
): void {
  const now = node.clock();
  dropOlder(state.sends, now - SENDS_MEMORY_MS);
  state.sends.push(now);
  state.sentSinceReport += 1;
  for (const key of partKeys(model, exchange.caller.parts)) {
    // Insertion order is order of use, so that the oldest go first.
    state.promptParts.delete(key);
    state.promptParts.set(key, now);
  }
  for (const key of state.promptParts.keys()) {
    if (state.promptParts.size <= MAX_PARTS) break;
    state.promptParts.delete(key);
  }
}

/** Notes whether an upstream could be connected to. */
export function noteReach(
  node: EntryNode,
  state: UpstreamState,
  outcome: 'unsent' | 'refused' | 'lost' | 'answer',
): void {
  if (outcome === 'answer' || outcome === 'refused') state.backoffMs = 0;
  if (outcome !== 'unsent') return;
  state.backoffMs = Math.min(
    MAX_DOWN_MS,
    Math.max(MIN_DOWN_MS, state.backoffMs * 2),
  );
  state.backoffUntil = node.clock() + state.backoffMs;
}

/** Notes that an upstream failed a request. */
export function noteFailure(node: EntryNode, state: UpstreamState): void {
  state.failures.push(node.clock());
}
