/**
 * Whether the configuration is known to be current. A confirmation counts from
 * the moment its call was sent. The uptime clock runs on while the machine is
 * suspended and the monotonic one does not, so the older of both ages holds.
 */
import type {EntryNode} from './node.js';

/** Steps of the uptime clock; some systems tell it in whole seconds. */
const COARSE_STEP_MS = 1_000;
const FINE_STEP_MS = 50;
/** Time for a request to reach its upstream before a key must be refused. */
const FORWARDING_MARGIN_MS = 300;
/** Share of the revocation time after which the node is no longer ready. */
const READY_SHARE = 0.6;

function stepOf(seconds: number): number {
  return Number.isInteger(seconds) ? COARSE_STEP_MS : FINE_STEP_MS;
}

/** Age of the last confirmation, milliseconds. */
export function confirmationAge(node: EntryNode): number {
  if (!node.confirmed) return Infinity;
  const {monotonic, uptimeSeconds} = node.confirmed;
  const now = node.readClocks();
  const steady = now.monotonic - monotonic;
  const through = (now.uptimeSeconds - uptimeSeconds) * 1_000;
  const step = Math.max(stepOf(uptimeSeconds), stepOf(now.uptimeSeconds));
  // A step of the uptime clock alone does not make a confirmation older.
  return through > steady + step ? through : steady;
}

/** Whether keys may be accepted by the configuration that is known. */
export function acceptsKeys(node: EntryNode): boolean {
  const {failClosed, revokeMs} = node.settings.keys;
  if (!failClosed) return true;
  const step = node.confirmed ? stepOf(node.confirmed.uptimeSeconds) : 0;
  const margin = step + FORWARDING_MARGIN_MS;
  return confirmationAge(node) < revokeMs - margin;
}

/** Whether the node should take new connections. */
export function isReady(node: EntryNode): boolean {
  if (node.stopping || !node.routes) return false;
  const {failClosed, revokeMs} = node.settings.keys;
  return !failClosed || confirmationAge(node) < revokeMs * READY_SHARE;
}
