/**
 * Limits that upstreams name in their answers: the requests per second that they
 * accept from all nodes together. A limit belongs to one incarnation of an
 * upstream and holds until the upstream answers a later send without one.
 */
import type {UpstreamAnswer} from '@parsleyarch/platform/headers';
import type {RegisteredUpstream} from '@parsleyarch/resource/routing';
import type {Send} from './attempt.js';
import type {EntryNode} from './node.js';

/** The last thing that one incarnation of an upstream said of its limit. */
export interface NamedLimit {
  readonly incarnation: RegisteredUpstream['incarnation'];
  /** Requests per second; absent once the upstream no longer names a limit. */
  readonly perSecond?: number;
  /** When this was said, on the continuous clock, milliseconds. */
  readonly heardAt: number;
}

/** Status of an answer by another upstream that has taken over the address. */
const OTHER_UPSTREAM_STATUS = 421;

function findLimit(
  {limits}: EntryNode,
  {id, incarnation}: RegisteredUpstream,
): NamedLimit | undefined {
  const limit = limits.get(id);
  return limit?.incarnation === incarnation ? limit : undefined;
}

function keepLimit(node: EntryNode, id: string, limit: NamedLimit): void {
  const before = node.limits.get(id);
  node.limits.set(id, limit);
  if (before?.perSecond === limit.perSecond) return;
  node.metrics.notices.inc({kind: 'limit'});
  node.logDecision('limit', {
    upstream: id,
    perSecond: limit.perSecond,
    before: before?.perSecond,
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
  if (limitPerSecond !== undefined)
    return keepLimit(node, id, {
      incarnation,
      perSecond: limitPerSecond,
      heardAt,
    });
  const known = findLimit(node, registered);
  if (known?.perSecond === undefined || !sealed) return;
  // An answer to an earlier send may have been written before the limit.
  const sinceSentMs = node.clock() - startedAt;
  if (heardAt - sinceSentMs <= known.heardAt) return;
  keepLimit(node, id, {incarnation, heardAt});
}
