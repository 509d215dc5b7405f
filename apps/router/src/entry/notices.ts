/**
 * What upstreams say of themselves in their answers: that they are shutting
 * down, or that they want no requests for some time. A notice belongs to one
 * incarnation of an upstream and outlives its entry in the store, which may
 * expire and return.
 */
import type {UpstreamAnswer} from '@parsleyarch/platform/headers';
import type {RegisteredUpstream} from '@parsleyarch/resource/routing';
import type {EntryNode} from './node.js';

/** Upper bound of the time for which an upstream may ask, milliseconds. */
const MAX_PAUSE_MS = 60_000;
/** Number of upstreams whose notices are kept; the oldest are dropped. */
const MAX_NOTICE_COUNT = 2_000;

/** What one incarnation of an upstream said of itself. */
export interface UpstreamNotice {
  readonly incarnation: RegisteredUpstream['incarnation'];
  readonly leaving: boolean;
  /** Until when it wants no requests, monotonic milliseconds. */
  readonly pausedUntil: number;
}

function findNotice(
  {notices}: EntryNode,
  {id, incarnation}: RegisteredUpstream,
): UpstreamNotice | undefined {
  const notice = notices.get(id);
  return notice?.incarnation === incarnation ? notice : undefined;
}

/** Whether an upstream has said that it is shutting down. */
export function isLeaving(
  node: EntryNode,
  upstream: RegisteredUpstream,
): boolean {
  return findNotice(node, upstream)?.leaving ?? false;
}

/** Until when an upstream wants no requests, monotonic milliseconds. */
export function pausedUntil(
  node: EntryNode,
  upstream: RegisteredUpstream,
): number {
  return findNotice(node, upstream)?.pausedUntil ?? -Infinity;
}

function readPauseMs(
  node: EntryNode,
  {id}: RegisteredUpstream,
  {retryAfterMs}: UpstreamAnswer,
): number {
  if (retryAfterMs === undefined) return 0;
  if (!Number.isNaN(retryAfterMs)) return Math.min(MAX_PAUSE_MS, retryAfterMs);
  node.log.warn({upstream: id}, 'retry-after field cannot be parsed; ignored');
  return 0;
}

/** Records what an answer says of the upstream that sent it. */
export function recordNotice(
  node: EntryNode,
  upstream: RegisteredUpstream,
  answer: UpstreamAnswer,
): void {
  const pauseMs = readPauseMs(node, upstream, answer);
  if (!answer.leaving && pauseMs === 0) return;
  const {id, incarnation} = upstream;
  const known = findNotice(node, upstream);
  const notice = {
    incarnation,
    leaving: answer.leaving || (known?.leaving ?? false),
    pausedUntil: Math.max(
      known?.pausedUntil ?? -Infinity,
      node.clock() + pauseMs,
    ),
  };
  node.notices.delete(id);
  node.notices.set(id, notice);
  for (const oldest of node.notices.keys()) {
    if (node.notices.size <= MAX_NOTICE_COUNT) break;
    node.notices.delete(oldest);
  }
  if (answer.leaving && !known?.leaving) {
    node.metrics.notices.inc({kind: 'leaving'});
    node.log.info({upstream: id}, 'upstream is leaving, as its answer says');
  }
  if (pauseMs === 0) return;
  node.metrics.notices.inc({kind: 'pause'});
  node.logDecision('pause', {upstream: id, pauseMs: Math.round(pauseMs)});
}
