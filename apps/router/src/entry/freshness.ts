/**
 * Whether the configuration is known to be current. A confirmation counts from
 * the moment its call was sent. The uptime clock runs on while the machine is
 * suspended and the monotonic one does not, so the older of both ages holds.
 */
import {uptime} from 'node:os';
import type {EntryNode} from './node.js';

/** The uptime clock is read in whole seconds. */
const UPTIME_STEP_MS = 1_000;
/** Time for a request to reach its upstream before a key must be refused. */
const FORWARDING_MARGIN_MS = 500;
/** Share of the revocation time after which the node is no longer ready. */
const READY_SHARE = 0.55;

/** Age of the last confirmation, milliseconds. */
export function confirmationAge(node: EntryNode): number {
  if (!node.confirmed) return Infinity;
  const {monotonic, uptimeSeconds} = node.confirmed;
  const steady = node.clock() - monotonic;
  const through = (uptime() - uptimeSeconds) * 1_000;
  // Steps of the uptime clock must not make a confirmation look older.
  return through > steady + UPTIME_STEP_MS ? through : steady;
}

/** Whether keys may be accepted by the configuration that is known. */
export function acceptsKeys(node: EntryNode): boolean {
  const {failClosed, revokeMs} = node.settings.keys;
  if (!failClosed) return true;
  const margin = UPTIME_STEP_MS + FORWARDING_MARGIN_MS;
  return confirmationAge(node) < revokeMs - margin;
}

/** Whether the node should take new connections. */
export function isReady(node: EntryNode): boolean {
  if (node.stopping || !node.routes) return false;
  const {failClosed, revokeMs} = node.settings.keys;
  return !failClosed || confirmationAge(node) < revokeMs * READY_SHARE;
}
