/**
 * What upstreams say of themselves in their answers: that they are shutting
 * down, or that they want no requests for some time. A notice belongs to one
 * incarnation of an upstream and outlives its entry in the store, which may
 * expire and return.
 */
import type {LeavingUpstream} from '@parsleyarch/peer/messages';
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

function keepNotice(
  {notices}: EntryNode,
  id: string,
  notice: UpstreamNotice,
): void {
  notices.delete(id);
  notices.set(id, notice);
  for (const oldest of notices.keys()) {
    if (notices.size <= MAX_NOTICE_COUNT) break;
    notices.delete(oldest);
  }
}

/** Registered upstreams that are leaving, for other nodes. */
export function listLeaving(node: EntryNode): LeavingUpstream[] {
  const leaving: LeavingUpstream[] = [];
  for (const [upstream, {incarnation}] of node.notices) {
    const registered = node.upstreams.get(upstream)?.registered;
    if (registered?.incarnation === incarnation && isLeaving(node, registered))
      leaving.push({upstream, incarnation});
  }
  return leaving;
}

/** Records upstreams that other nodes know to be leaving. */
export function recordLeaving(
  node: EntryNode,
  leaving: readonly LeavingUpstream[],
): void {
  for (const {upstream: id, incarnation} of leaving) {
    const known = node.notices.get(id);
    if (known?.incarnation === incarnation && known.leaving) continue;
    // A relayed notice may be of an incarnation that has ended.
    if (known && known.incarnation > incarnation) continue;
    const pausedUntil = -Infinity;
    keepNotice(node, id, {incarnation, leaving: true, pausedUntil});
    node.log.info({upstream: id}, 'upstream is leaving, as another node says');
  }
}

/** Records what an answer says of the upstream that sent it. */
export function recordNotice(
  node: EntryNode,
  upstream: RegisteredUpstream,
  answer: UpstreamAnswer,
): void {
  const pauseMs = readPauseMs(node, upstream, answer);
  if (!answer.leaving && pauseMs === 0) return;
  const known = findNotice(node, upstream);
  keepNotice(node, upstream.id, {
    incarnation: upstream.incarnation,
    leaving: answer.leaving || (known?.leaving ?? false),
    pausedUntil: Math.max(
      known?.pausedUntil ?? -Infinity,
      node.clock() + pauseMs,
    ),
  });
  const {id} = upstream;
  if (answer.leaving && !known?.leaving) {
    node.metrics.notices.inc({kind: 'leaving'});
    node.log.info({upstream: id}, 'upstream is leaving, as its answer says');
  }
  if (pauseMs === 0) return;
  node.metrics.notices.inc({kind: 'pause'});
  node.logDecision('pause', {upstream: id, pauseMs: Math.round(pauseMs)});
}
