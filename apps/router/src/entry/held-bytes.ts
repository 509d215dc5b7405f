/** The node's account of the bytes that it holds for callers and upstreams. */
import {
  addHolding,
  pressureOf,
  removeHolding,
  resizeHolding,
  type Holding,
  type HoldingKind,
} from '@parsleyarch/policy/bytes-held';
import {LimitKind, recordLimit} from './limit-uses.js';
import type {EntryNode} from './node.js';

/** What the account needs of a node. */
export type AccountNode = Pick<
  EntryNode,
  'clock' | 'held' | 'limitUses' | 'logDecision' | 'metrics'
>;

/** Bytes that the node holds. */
export function heldBytes({held}: Pick<EntryNode, 'held'>): number {
  return held.bytes;
}

/** Fill of the account, from 0 to 1. */
export function heldPressure({held}: Pick<EntryNode, 'held'>): number {
  return pressureOf(held);
}

/** Begins to count bytes; `giveUp` must end what they are held for. */
export function openHolding(
  node: AccountNode,
  kind: HoldingKind,
  giveUp: () => void,
): Holding {
  return addHolding(node.held, kind, node.clock(), giveUp);
}

/** Changes the bytes of a holding; returns whether they fit. */
export function setHeld(
  node: AccountNode,
  holding: Holding,
  bytes: number,
): boolean {
  const now = node.clock();
  const {fits, givenUp} = resizeHolding(node.held, holding, bytes, now);
  for (const {kind, bytes: freed, since, giveUp} of givenUp) {
    const heldMs = Math.round(now - since);
    recordLimit(node, LimitKind.heldBytes, {kind, bytes: freed, heldMs});
    giveUp();
  }
  return fits;
}

/** Ends a holding; its bytes are no longer counted. */
export function closeHolding(node: AccountNode, holding: Holding): void {
  removeHolding(node.held, holding);
}
