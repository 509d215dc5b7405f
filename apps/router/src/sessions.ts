/** Signed session tokens, and pins of sessions whose ids callers choose. */
import {callPeer} from '@parsleyarch/peer/client';
import type {PinAsk, PinEntry} from '@parsleyarch/peer/messages';
import {rankCandidates} from '@parsleyarch/protocol/rendezvous';
import {createHmac, randomUUID, timingSafeEqual} from 'node:crypto';
import * as z from 'zod';
import {listLiveNodeNames, findPeerAddress, type RouterNode} from './node.js';

const PIN_TIMEOUT_MS = 250;
/** Upper bound on the pins that a node holds; the oldest are evicted first. */
const MAX_PIN_COUNT = 100_000;
/** Pins that are copied in one call. */
const PIN_BATCH_COUNT = 500;

const TokenBody = z.object({
  id: z.string(),
  customer: z.string(),
  pins: z.record(z.string(), z.string()),
});

/** A session as named by a request. */
export interface Session {
  readonly id: string;
  readonly customer: string;
  /** Version by model, as read from the token; empty without a token. */
  readonly pins: Readonly<Record<string, string>>;
  /** Whether the caller chose the id, so that nodes store the pins. */
  readonly hasCallerId: boolean;
}

function sign(node: RouterNode, body: string): Buffer {
  const mac = createHmac('sha256', node.settings.sessionKey);
  return mac.update(body).digest();
}

/** Creates a signed token that any node can verify. */
export function signToken(node: RouterNode, session: Session): string {
  const {id, customer, pins} = session;
  const text = JSON.stringify({id, customer, pins});
  const body = Buffer.from(text).toString('base64url');
  return `${body}.${sign(node, body).toString('base64url')}`;
}

/** Verifies a token; undefined if signature or customer does not match. */
export function verifyToken(
  node: RouterNode,
  token: string,
  customer: string,
): Session | undefined {
  const [body, signature] = token.split('.');
  if (!body || !signature) return undefined;
  const received = Buffer.from(signature, 'base64url');
  const expected = sign(node, body);
  if (received.length !== expected.length) return undefined;
  if (!timingSafeEqual(received, expected)) return undefined;
  const text = Buffer.from(body, 'base64url').toString('utf8');
  const parsed = TokenBody.safeParse(JSON.parse(text));
  if (!parsed.success || parsed.data.customer !== customer) return undefined;
  return {...parsed.data, hasCallerId: false};
}

/** Creates a session for a request that names none. */
export function createSession(customer: string): Session {
  return {id: randomUUID(), customer, pins: {}, hasCallerId: false};
}

/** Creates a session with an id that the caller chose. */
export function createCallerSession(customer: string, id: string): Session {
  return {id, customer, pins: {}, hasCallerId: true};
}

function pinKey(session: string, model: string): string {
  return `${session}\u0000${model}`;
}

function storePin(node: RouterNode, pin: PinEntry): void {
  const key = pinKey(pin.session, pin.model);
  node.pins.delete(key);
  node.pins.set(key, pin.version);
  if (node.pins.size <= MAX_PIN_COUNT) return;
  for (const oldest of node.pins.keys()) {
    node.pins.delete(oldest);
    break;
  }
}

/** Stores copies of a peer's pins; they replace pins that are held already. */
export function storePinCopies(
  node: RouterNode,
  pins: readonly PinEntry[],
): void {
  for (const pin of pins) storePin(node, pin);
}

async function replicatePin(node: RouterNode, pin: PinEntry): Promise<void> {
  const order = rankCandidates(pin.session, listLiveNodeNames(node));
  const next = order.find(name => name !== node.name);
  const address = next && findPeerAddress(node, next);
  if (!address) return;
  const copy = {pins: [pin]};
  await callPeer(node.peers, address, 'copyPins', copy, PIN_TIMEOUT_MS);
}

/**
 * Returns the pinned version, as the owner of the session. Pins the proposed
 * version if none is pinned or the pinned one is to be replaced.
 */
export async function resolvePinAsOwner(
  node: RouterNode,
  ask: PinAsk,
): Promise<string> {
  const {session, model, proposed, replaces} = ask;
  const pinned = node.pins.get(pinKey(session, model));
  if (pinned !== undefined && pinned !== replaces) return pinned;
  const pin = {session, model, version: proposed};
  storePin(node, pin);
  await replicatePin(node, pin);
  return proposed;
}

/**
 * Asks the owner of the session for the pinned version or, when the owner does
 * not answer, the next node in rendezvous order.
 */
export async function resolvePin(
  node: RouterNode,
  ask: PinAsk,
): Promise<string> {
  for (const owner of rankCandidates(
    ask.session,
    listLiveNodeNames(node),
  ).slice(0, 2)) {
    if (owner === node.name) return resolvePinAsOwner(node, ask);
    const address = findPeerAddress(node, owner);
    if (!address) continue;
    const answer = await callPeer(
      node.peers,
      address,
      'pin',
      ask,
      PIN_TIMEOUT_MS,
    );
    if (answer.isOk()) return answer.value.version;
  }
  return ask.proposed;
}

function listPins(node: RouterNode): PinEntry[] {
  return [...node.pins].map(([key, version]) => {
    const [session, model] = key.split('\u0000');
    return {session, model, version};
  });
}

/** Names of the live nodes at the last replication. */
let replicatedMembers = '';

/**
 * Copies each pin to its first two nodes in rendezvous order, if the live nodes
 * have changed or `force` is set, as before a planned stop.
 */
export async function replicatePins(
  node: RouterNode,
  force = false,
): Promise<void> {
  const live = listLiveNodeNames(node).filter(
    name => name !== node.name || !force,
  );
  const members = live.join(' ');
  if (!force && members === replicatedMembers) return;
  replicatedMembers = members;
  const byPeer = new Map<string, PinEntry[]>();
  for (const pin of listPins(node)) {
    for (const name of rankCandidates(pin.session, live).slice(0, 2)) {
      if (name === node.name) continue;
      byPeer.set(name, [...(byPeer.get(name) ?? []), pin]);
    }
  }
  for (const [name, pins] of byPeer) {
    const address = findPeerAddress(node, name);
    if (!address) continue;
    for (let at = 0; at < pins.length; at += PIN_BATCH_COUNT) {
      const copy = {pins: pins.slice(at, at + PIN_BATCH_COUNT)};
      await callPeer(node.peers, address, 'copyPins', copy, PIN_TIMEOUT_MS);
    }
  }
}
