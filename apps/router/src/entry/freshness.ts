/**
 * Whether the configuration is confirmed to be current. The age of a
 * confirmation counts from the moment its call was sent, on a clock that
 * includes time in which the machine is suspended.
 */
import {isWithdrawn} from '@parsleyarch/policy/withdrawal';
import type {EntryNode} from './node.js';

/** Time for a request to reach its upstream before its key may be revoked. */
const FORWARDING_MARGIN_MS = 300;
/** Age at which readiness ends, relative to the revocation time. */
const READY_AGE_RATIO = 0.6;

/** Age of the last confirmation, milliseconds. */
export function confirmationAge(node: EntryNode): number {
  if (node.confirmedAt === undefined) return Infinity;
  return node.continuousClock() - node.confirmedAt;
}

/** Whether the known configuration is recent enough to accept keys by it. */
export function acceptsKeys(node: EntryNode): boolean {
  const {failClosed, revokeMs} = node.settings.keys;
  if (!failClosed) return true;
  return confirmationAge(node) < revokeMs - FORWARDING_MARGIN_MS;
}

/**
 * Whether a request may be refused for good by the known configuration: a change that
 * allows it must be in force by then, and callers do not retry such a refusal.
 */
export function mayRefuseForGood(node: EntryNode): boolean {
  return confirmationAge(node) < node.settings.configuration.applyMs;
}

/** Whether the node should take new connections. */
export function isReady(node: EntryNode): boolean {
  if (node.stopping || !node.routes) return false;
  if (isWithdrawn(node.pressure.withdrawal, node.clock())) return false;
  const {failClosed, revokeMs} = node.settings.keys;
  return !failClosed || confirmationAge(node) < revokeMs * READY_AGE_RATIO;
}
