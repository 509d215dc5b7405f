/**
 * Room at upstreams that say they end when they have to refuse too many requests in a
 * second. All nodes hold back after a refusal, and come back to less room.
 */
import type {UpstreamAnswer} from '@parsleyarch/platform/headers';
import {
  learnWaitingRoom,
  mayPlace,
  type Turn,
  type UpstreamRoom,
} from '@parsleyarch/policy/brittle-room';
import type {RegisteredUpstream} from '@parsleyarch/resource/routing';
import type {Send} from './attempt.js';
import {placedAt, placedHere} from './load.js';
import type {EntryNode, UpstreamState} from './node.js';
import {
  findStatement,
  keepStatement,
  StatementKind,
  statementOf,
} from './statements.js';

/** Time for which an upstream that has refused a request gets no others. */
const HOLD_MS = 1_000;
/** Time after a refusal in which the room is taken to be smaller. */
const MARGIN_MS = 4_000;
/** Time until the requests at an upstream are looked at again. */
const RECHECK_MS = 100;
/** Time for which other nodes may not know of a send. */
const REPORT_LAG_MS = 250;

/** Length of a turn, by the time of day, which is nearly the same on all nodes. */
const TURN_MS = 1_000;

const NO_ROOM_STATUS = 503;

/** Upstreams of a service have the same room, so the least known one counts. */
function findWaitingRoom(node: EntryNode, service: string): number | undefined {
  let least: number | undefined;
  for (const {registered} of node.upstreams.values()) {
    if (registered.service !== service) continue;
    const room = statementOf(node, StatementKind.full, registered);
    if (room !== undefined) least = Math.min(least ?? Infinity, room);
  }
  return least;
}

/** Time since an upstream refused a request; infinite if it has not. */
function timeSinceRefusal(
  node: EntryNode,
  registered: RegisteredUpstream,
): number {
  const refusal = findStatement(node, StatementKind.full, registered);
  return refusal ? node.continuousClock() - refusal.heardAt : Infinity;
}

function roomOf(node: EntryNode, registered: RegisteredUpstream): UpstreamRoom {
  const {service, slots} = registered;
  const isEngine = node.routes?.table.services.get(service)?.isEngine ?? false;
  return {
    isEngine,
    slots,
    waitingRoom: findWaitingRoom(node, service),
    refusedRecently: timeSinceRefusal(node, registered) < MARGIN_MS,
  };
}

function isBrittle(node: EntryNode, registered: RegisteredUpstream): boolean {
  return statementOf(node, StatementKind.brittle, registered) !== undefined;
}

function countBefore(name: string, names: Iterable<string>): number {
  let count = 0;
  for (const other of names) if (other < name) count += 1;
  return count;
}

function turnOf(node: EntryNode, {registered}: UpstreamState): Turn {
  const siblings: string[] = [];
  for (const {registered: other} of node.upstreams.values()) {
    if (other.service === registered.service) siblings.push(other.id);
  }
  return {
    node: countBefore(node.settings.node, node.members.keys()),
    nodeCount: Math.max(1, node.members.size),
    upstream: countBefore(registered.id, siblings),
    upstreamCount: siblings.length,
    number: Math.floor(Date.now() / TURN_MS),
  };
}

/**
 * Time until a brittle upstream may get another request, milliseconds; 0 if it may
 * now, or if it is not brittle.
 */
export function timeUntilRoom(node: EntryNode, state: UpstreamState): number {
  const {registered} = state;
  if (!isBrittle(node, registered)) return 0;
  const heldMs = HOLD_MS - timeSinceRefusal(node, registered);
  if (heldMs > 0) return heldMs;
  const room = roomOf(node, registered);
  const recentSince = node.clock() - REPORT_LAG_MS;
  const recentSends = state.sends.filter(at => at > recentSince).length;
  const placement = {
    placed: placedAt(node, state, room.isEngine),
    ownRecent: Math.min(placedHere(state, room.isEngine), recentSends),
    turn: turnOf(node, state),
  };
  return mayPlace(room, placement) ? 0 : RECHECK_MS;
}

/** Records that a brittle upstream had no room for a request. */
export function recordRefusal(
  node: EntryNode,
  {registered}: Send,
  {status, load}: UpstreamAnswer,
): void {
  if (status !== NO_ROOM_STATUS || !isBrittle(node, registered)) return;
  keepStatement(node, StatementKind.full, registered.id, {
    incarnation: registered.incarnation,
    value: learnWaitingRoom(roomOf(node, registered), load?.waiting),
    heardAt: node.continuousClock(),
  });
}
