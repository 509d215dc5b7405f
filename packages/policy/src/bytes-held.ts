/**
 * The account of the bytes that a node holds for callers and upstreams, and who gives
 * up memory when it is full. Answers the load of many bodies that make no progress and
 * of answers that are not read. Pure functions only.
 */

/** What bytes are held for. */
export const HoldingKind = {
  /** Body of a request while it is received. */
  incoming: 'incoming',
  /** Body of a request that is being served. */
  accepted: 'accepted',
  /** Answer of an upstream while it is received. */
  answer: 'answer',
  /** Bytes for a caller that has not taken them. */
  unread: 'unread',
} as const;
export type HoldingKind = (typeof HoldingKind)[keyof typeof HoldingKind];

/** Bytes held for one request or answer. */
export interface Holding {
  kind: HoldingKind;
  bytes: number;
  /** When it began; if unread, when the caller last took bytes. Milliseconds. */
  since: number;
  /** Frees the bytes by ending what they are held for. */
  readonly giveUp: () => void;
}

/** All bytes that a node holds. */
export interface BytesHeld {
  readonly maxBytes: number;
  bytes: number;
  readonly holdings: Set<Holding>;
}

/** Whether bytes may be added, and which holdings give up theirs for it. */
export interface Room {
  readonly fits: boolean;
  readonly givenUp: readonly Holding[];
}

/**
 * Share of the account that each kind may fill. Answers may fill more than bodies, as
 * they cannot be refused once an upstream has made them.
 */
const SHARES: Readonly<Record<HoldingKind, number>> = {
  incoming: 0.6,
  accepted: 0.6,
  answer: 0.85,
  unread: 0.85,
};
/** Size of a body that may fill the rest, so that ordinary requests are still accepted. */
const SMALL_BODY_BYTES = 64 << 10;
/** Age from which a holding may be given up, milliseconds; others never may. */
const GIVEN_UP_AFTER_MS: Readonly<Partial<Record<HoldingKind, number>>> = {
  incoming: 0,
  unread: 1_000,
};
/** Kinds whose bytes are counted even if they do not fit, as they are held already. */
const COUNTED_ALWAYS: ReadonlySet<HoldingKind> = new Set([
  HoldingKind.accepted,
  HoldingKind.unread,
]);

/** Creates an empty account. */
export function createBytesHeld(maxBytes: number): BytesHeld {
  return {maxBytes, bytes: 0, holdings: new Set()};
}

/** Adds a holding without bytes. */
export function addHolding(
  held: BytesHeld,
  kind: HoldingKind,
  now: number,
  giveUp: () => void,
): Holding {
  const holding = {kind, bytes: 0, since: now, giveUp};
  held.holdings.add(holding);
  return holding;
}

/** Removes a holding; does nothing if it is removed. */
export function removeHolding(held: BytesHeld, holding: Holding): void {
  if (held.holdings.delete(holding)) held.bytes -= holding.bytes;
}

/** Fill of the account, from 0 to 1. */
export function pressureOf({bytes, maxBytes}: BytesHeld): number {
  return Math.min(1, bytes / maxBytes);
}

/** Memory multiplied by the time for which it is occupied. */
function costOf({bytes, since}: Holding, now: number): number {
  return bytes * (now - since + 1);
}

/** Bytes that may be held in all, so that a holding of some bytes fits. */
function findMaxBytes(
  {maxBytes}: BytesHeld,
  {kind}: Holding,
  bytes: number,
): number {
  const isSmall = kind === HoldingKind.incoming && bytes <= SMALL_BODY_BYTES;
  return isSmall ? maxBytes : maxBytes * SHARES[kind];
}

/** Holdings that may be given up, the slowest and largest first. */
function rankHoldings({holdings}: BytesHeld, now: number): Holding[] {
  return [...holdings]
    .filter(({kind, bytes, since}) => {
      const afterMs = GIVEN_UP_AFTER_MS[kind];
      return bytes > 0 && afterMs !== undefined && now - since >= afterMs;
    })
    .sort((a, b) => costOf(b, now) - costOf(a, now));
}

/**
 * Changes the bytes of a holding. If they exceed the account, others give up theirs,
 * the slowest and largest first; if the holding itself is the next of these, or no
 * other is left, it does not fit.
 */
export function resizeHolding(
  held: BytesHeld,
  holding: Holding,
  bytes: number,
  now: number,
): Room {
  const added = bytes - holding.bytes;
  const maxBytes = findMaxBytes(held, holding, bytes);
  const givenUp: Holding[] = [];
  if (added > 0 && held.bytes + added > maxBytes) {
    for (const other of rankHoldings(held, now)) {
      if (other === holding || held.bytes + added <= maxBytes) break;
      removeHolding(held, other);
      givenUp.push(other);
    }
  }
  const fits = added <= 0 || held.bytes + added <= maxBytes;
  if (!held.holdings.has(holding)) return {fits: false, givenUp};
  if (fits || COUNTED_ALWAYS.has(holding.kind)) {
    held.bytes += added;
    holding.bytes = bytes;
  }
  return {fits, givenUp};
}
