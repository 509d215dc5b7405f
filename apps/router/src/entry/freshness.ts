/**
 * Whether the configuration is known to be current. A confirmation counts from
 * the moment its call was sent, on a clock that counts suspensions.
 */
import type {EntryNode} from './node.js';

/** Time for a request to reach its upstream before a key must be refused. */
const FORWARDING_MARGIN_MS = 300;
/** Share of the revocation time after which the node is no longer ready. */
const READY_SHARE = 0.6;

/** Age of the last confirmation, milliseconds. */
export function confirmationAge(node: EntryNode): number {
  if (node.confirmedAt === undefined) return Infinity;
  return node.continuousClock() - node.confirmedAt;
}

/** Whether keys may be accepted by the configuration that is known. */
export function acceptsKeys(node: EntryNode): boolean {
  const {failClosed, revokeMs} = node.settings.keys;
  if (!failClosed) return true;
  return confirmationAge(node) < revokeMs - FORWARDING_MARGIN_MS;
}

/** Whether the node should take new connections. */
export function isReady(node: EntryNode): boolean {
  if (node.stopping || !node.routes) return false;
  const {failClosed, revokeMs} = node.settings.keys;
  return !failClosed || confirmationAge(node) < revokeMs * READY_SHARE;
}
