/**
 * How many requests all nodes together place at an upstream that ends when it has to
 * refuse too many for want of room. Meant for overload: nodes hold requests back before
 * the upstream refuses them, and learn its room from refusals. Pure functions only.
 */

/** Requests that may wait at an engine as long as none was refused. */
const INITIAL_ENGINE_ROOM = 6;

/** What nodes know of the room at an upstream. */
export interface UpstreamRoom {
  readonly isEngine: boolean;
  /** Requests that it runs at the same time. */
  readonly slots: number;
  /** Requests that may wait there; absent as long as none was refused. */
  readonly waitingRoom?: number;
  /** Whether it has refused one a short time ago. */
  readonly refusedRecently: boolean;
}

/** Requests of all nodes at an upstream, and those that this one has just sent. */
export interface Placement {
  /** At an engine those without a first token, elsewhere all. */
  readonly placed: number;
  /** Sends of this node that are part of `placed` and that others do not know of. */
  readonly ownRecent: number;
  readonly turn: Turn;
}

/** A node among all, and an upstream among those of its service. */
export interface Turn {
  readonly node: number;
  readonly nodeCount: number;
  readonly upstream: number;
  readonly upstreamCount: number;
  /** Grows by one with each turn; used while there is less room than nodes. */
  readonly number: number;
}

/**
 * Requests that may be placed. Those that an engine runs take no room of those that
 * wait for their first token; a plain service has the same room for both.
 */
function countRoom(upstream: UpstreamRoom): number {
  const waiting = assumeWaitingRoom(upstream);
  const room = upstream.isEngine ? waiting : upstream.slots + waiting;
  // Nodes may have sent at the same time; they come back to less room.
  const margin = upstream.refusedRecently ? 1 : 0;
  return Math.max(1, room - margin);
}

function assumeWaitingRoom({isEngine, waitingRoom}: UpstreamRoom): number {
  return waitingRoom ?? (isEngine ? INITIAL_ENGINE_ROOM : 0);
}

/**
 * Position of a node in the order in which nodes use the room of an upstream. The
 * order starts with another node for each upstream, so that each node has a place at
 * one of them; if there are too few places for that, nodes take turns.
 */
function positionOf(
  {node, nodeCount, upstream, upstreamCount, number}: Turn,
  left: number,
): number {
  const places = upstreamCount * left;
  const first = Math.floor((upstream * nodeCount) / upstreamCount);
  const shift = places < nodeCount ? first + number * left : first;
  return (((node - shift) % nodeCount) + nodeCount) % nodeCount;
}

/**
 * Whether a node may place one more request. The room that was left when nodes last
 * told each other of their requests is divided among them.
 */
export function mayPlace(
  room: UpstreamRoom,
  {placed, ownRecent, turn}: Placement,
): boolean {
  const left = countRoom(room) - (placed - ownRecent);
  if (left <= 0) return false;
  if (left >= turn.nodeCount)
    return ownRecent < Math.floor(left / turn.nodeCount);
  return ownRecent < 1 && positionOf(turn, left) < left;
}

/** The waiting room after a refusal, from the requests that it says were waiting. */
export function learnWaitingRoom(
  upstream: UpstreamRoom,
  waitingAtRefusal: number | undefined,
): number {
  const assumed = assumeWaitingRoom(upstream);
  return Math.min(assumed, waitingAtRefusal ?? assumed - 1);
}
