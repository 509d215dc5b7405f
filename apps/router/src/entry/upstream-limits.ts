/**
 * Limits that upstreams name in their answers: the requests per second that they
 * accept from all nodes together. A limit belongs to one incarnation of an
 * upstream and holds until the upstream answers a later send without one. Nodes
 * tell each other of limits, since a node without a share gets no answers.
 */
import type {UpstreamLimit} from '@parsleyarch/peer/messages';
import type {UpstreamAnswer} from '@parsleyarch/platform/headers';
import {rankMember} from '@parsleyarch/policy/rendezvous';
import {
  consumeSend,
  createShareBucket,
  shareOfLimit,
  timeUntilSend,
  type ShareBucket,
} from '@parsleyarch/policy/shared-limit';
import type {RegisteredUpstream} from '@parsleyarch/resource/routing';
import type {Send} from './attempt.js';
import type {EntryNode, UpstreamState} from './node.js';

/** The last thing that one incarnation of an upstream said of its limit. */
export interface NamedLimit {
  readonly incarnation: RegisteredUpstream['incarnation'];
  /** Requests per second; absent once the upstream no longer names a limit. */
  readonly perSecond?: number;
  /** When this was said, on the continuous clock, milliseconds. */
  readonly heardAt: number;
  /** What this node may send. */
  readonly bucket: ShareBucket;
}

/** Status of an answer by another upstream that has taken over the address. */
const OTHER_UPSTREAM_STATUS = 421;
/** Number of upstreams whose limits are kept; the oldest are dropped. */
const MAX_LIMIT_COUNT = 2_000;
/**
 * Time by which a relayed limit must be later than a known one of the same value.
 * A relayed time is late by the time of the call, so that nodes would otherwise
 * renew each other's limits for ever.
 */
const MIN_RELAYED_ADVANCE_MS = 500;
/** Time for which other nodes are told that a limit has ended. */
const TELL_ENDED_MS = 10_000;

function findLimit(
  {limits}: EntryNode,
  {id, incarnation}: RegisteredUpstream,
): NamedLimit | undefined {
  const limit = limits.get(id);
  return limit?.incarnation === incarnation ? limit : undefined;
}

function keepLimit(
  node: EntryNode,
  id: string,
  {incarnation, perSecond, heardAt}: Omit<NamedLimit, 'bucket'>,
): void {
  const {limits} = node;
  const before = limits.get(id);
  const bucket = before?.bucket ?? createShareBucket(node.clock());
  // Re-insertion keeps the map in order of time, so the oldest are dropped first.
  limits.delete(id);
  limits.set(id, {incarnation, perSecond, heardAt, bucket});
  for (const oldest of limits.keys()) {
    if (limits.size <= MAX_LIMIT_COUNT) break;
    limits.delete(oldest);
  }
  if (before?.perSecond === perSecond) return;
  node.metrics.notices.inc({kind: 'limit'});
  node.logDecision('limit', {
    upstream: id,
    perSecond,
    before: before?.perSecond,
    members: node.members.size,
  });
}

/** Records the limit that an answer names, or that it names none. */
export function recordLimit(
  node: EntryNode,
  {registered, startedAt}: Send,
  {status, limitPerSecond, sealed}: UpstreamAnswer,
): void {
  if (status === OTHER_UPSTREAM_STATUS) return;
  const {id, incarnation} = registered;
  if (Number.isNaN(limitPerSecond)) {
    node.log.warn({upstream: id}, 'limit field cannot be parsed; ignored');
    return;
  }
  const heardAt = node.continuousClock();
  const known = findLimit(node, registered);
  if (limitPerSecond === undefined) {
    if (known?.perSecond === undefined || !sealed) return;
    // An answer to an earlier send may have been written before the limit.
    const sinceSentMs = node.clock() - startedAt;
    if (heardAt - sinceSentMs <= known.heardAt) return;
  }
  keepLimit(node, id, {incarnation, perSecond: limitPerSecond, heardAt});
}

/** What this node knows of the limits of registered upstreams, for other nodes. */
export function listLimits(node: EntryNode): UpstreamLimit[] {
  const listed: UpstreamLimit[] = [];
  const now = node.continuousClock();
  for (const [upstream, {incarnation, perSecond, heardAt}] of node.limits) {
    const registered = node.upstreams.get(upstream)?.registered;
    if (registered?.incarnation !== incarnation) continue;
    const ageMs = now - heardAt;
    const ended = perSecond === undefined;
    if (ended && ageMs > TELL_ENDED_MS) continue;
    listed.push({
      upstream,
      incarnation,
      ended,
      perSecond: perSecond ?? 0,
      ageMs,
    });
  }
  return listed;
}

/** Records what other nodes know of limits, where it is later. */
export function recordRelayedLimits(
  node: EntryNode,
  limits: readonly UpstreamLimit[],
): void {
  const now = node.continuousClock();
  for (const {upstream, incarnation, ended, ...limit} of limits) {
    const perSecond = ended ? undefined : limit.perSecond;
    const heardAt = now - limit.ageMs;
    const known = node.limits.get(upstream);
    if (known && known.incarnation > incarnation) continue;
    if (known?.incarnation === incarnation) {
      const isSame = known.perSecond === perSecond;
      const advanceMs = isSame ? MIN_RELAYED_ADVANCE_MS : 0;
      if (heardAt <= known.heardAt + advanceMs) continue;
    } else if (ended) continue;
    keepLimit(node, upstream, {incarnation, perSecond, heardAt});
  }
}

/**
 * Time until this node may send to an upstream under the limit that it names,
 * milliseconds: 0 if it may now, infinite if other nodes share the limit.
 */
export function timeUntilShare(
  node: EntryNode,
  {registered, digest}: UpstreamState,
): number {
  const limit = findLimit(node, registered);
  if (limit?.perSecond === undefined) return 0;
  const {members, settings} = node;
  // Other nodes do not rank a node that is not registered.
  const rank = members.has(settings.node)
    ? rankMember(digest, node, members.values())
    : Infinity;
  const share = shareOfLimit(limit.perSecond, rank, members.size);
  return timeUntilSend(limit.bucket, share, node.clock());
}

/** Counts a send to an upstream in this node's share of its limit. */
export function consumeShare(node: EntryNode, state: UpstreamState): void {
  const limit = findLimit(node, state.registered);
  if (limit?.perSecond !== undefined) consumeSend(limit.bucket);
}
