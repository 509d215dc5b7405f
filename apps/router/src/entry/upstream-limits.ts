/** This node's share of the limits that upstreams name for all nodes together. */
import {rankMember} from '@parsleyarch/policy/rendezvous';
import {
  consumeSend,
  shareOfLimit,
  timeUntilSend,
} from '@parsleyarch/policy/shared-limit';
import type {EntryNode, UpstreamState} from './node.js';
import {StatementKind, statementOf} from './statements.js';

/**
 * Time until this node may send to an upstream under the limit that it names,
 * milliseconds: 0 if it may now, infinite if other nodes share the limit.
 */
export function timeUntilShare(
  node: EntryNode,
  {registered, digest, limitBucket}: UpstreamState,
): number {
  const limit = statementOf(node, StatementKind.limit, registered);
  if (limit === undefined) return 0;
  const {members, settings} = node;
  // Other nodes do not rank a node that is not registered.
  const rank = members.has(settings.node)
    ? rankMember(digest, node, members.values())
    : Infinity;
  const share = shareOfLimit(limit, rank, members.size);
  return timeUntilSend(limitBucket, share, node.clock());
}

/** Counts a send to an upstream in this node's share of its limit. */
export function consumeShare(
  node: EntryNode,
  {registered, limitBucket}: UpstreamState,
): void {
  const limit = statementOf(node, StatementKind.limit, registered);
  if (limit !== undefined) consumeSend(limitBucket);
}
