/**
 * When a node under pressure reports itself not ready, so that the balancer gives it no
 * new connections for a moment. Answers single nodes that carry more than they can while
 * the others of their failure domain have room; a domain that is busy as a whole keeps
 * all of its nodes. Nodes announce that they want to withdraw, and those that rank first
 * among the announced do. Pure functions only.
 */
import {rankMember, type RendezvousMember} from './rendezvous.js';

/** Time for which a node is not ready; two probes of the balancer must fail, ms. */
export const WITHDRAWAL_MS = 4_000;
/** Time after a withdrawal in which the node stays ready, ms. */
const REST_MS = 36_000;
/**
 * Time after which a node has heard of each node that withdrew before it knew of the
 * announcement: twice that of three exchanges of load, ms.
 */
const ANNOUNCEMENT_MS = 2_500;
/** Largest share of a domain's nodes that may be withdrawn at the same time. */
const MAX_WITHDRAWN_RATIO = 0.1;
/** Share of a domain's nodes under pressure from which none withdraws. */
const MAX_PRESSED_RATIO = 0.5;

/** Withdrawals of one node; monotonic milliseconds. */
export interface Withdrawal {
  /** Since when it has wanted to withdraw; absent if it does not. */
  announcedAt?: number;
  /** When it last withdrew. */
  withdrawnAt: number;
}

/** Nodes of a failure domain, as far as one of them knows. */
export interface Domain {
  /** Registered nodes, this one included. */
  readonly nodeCount: number;
  /** Nodes under pressure, this one included. */
  readonly pressedCount: number;
  /** Other nodes that want to withdraw. */
  readonly announced: readonly RendezvousMember[];
  /** Other nodes that are withdrawn. */
  readonly withdrawnCount: number;
}

export function createWithdrawal(): Withdrawal {
  return {withdrawnAt: -Infinity};
}

/** Whether the node is withdrawn. */
export function isWithdrawn({withdrawnAt}: Withdrawal, now: number): boolean {
  return now - withdrawnAt < WITHDRAWAL_MS;
}

/** Whether the domain serves as before without this node. */
function mayWithdraw(
  self: RendezvousMember,
  {nodeCount, pressedCount, announced, withdrawnCount}: Domain,
): boolean {
  if (pressedCount >= nodeCount * MAX_PRESSED_RATIO) return false;
  const rank = rankMember(0, self, announced);
  const maxCount = Math.floor(nodeCount * MAX_WITHDRAWN_RATIO);
  return withdrawnCount + rank < maxCount;
}

/**
 * Updates the withdrawal; returns whether one begins. The domain is absent while nodes do
 * not hear of each other.
 */
export function updateWithdrawal(
  withdrawal: Withdrawal,
  now: number,
  isPressed: boolean,
  self: RendezvousMember,
  domain: Domain | undefined,
): boolean {
  const rests = now - withdrawal.withdrawnAt < WITHDRAWAL_MS + REST_MS;
  if (!isPressed || rests || !domain) {
    withdrawal.announcedAt = undefined;
    return false;
  }
  withdrawal.announcedAt ??= now;
  if (now - withdrawal.announcedAt < ANNOUNCEMENT_MS) return false;
  if (!mayWithdraw(self, domain)) return false;
  withdrawal.withdrawnAt = now;
  withdrawal.announcedAt = undefined;
  return true;
}
