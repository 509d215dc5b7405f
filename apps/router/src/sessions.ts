/** Sessions: signed tokens for callers, and pins for callers' own session ids. */
import {callPeer} from '@parsleyarch/peer/client';
import type {PinAsk, PinEntry} from '@parsleyarch/peer/messages';
import {rankCandidates} from '@parsleyarch/protocol/rendezvous';
import {createHmac, randomUUID, timingSafeEqual} from 'node:crypto';
import {z} from 'zod';
import {listLiveNodeNames, findPeerAddress, type RouterNode} from './node.js';

const PIN_TIMEOUT_MS = 250;
/** Pins that a node holds at most; the oldest go first. */
const MAX_PINS = 100_000;
/** Pins copied in one call. */
const PIN_BATCH = 500;

const TokenBody = z.object({
  id: z.string(),
  customer: z.string(),
  pins: z.record(z.string(), z.string()),
});

/** A session as the request names it. */
export interface Session {
  readonly id: string;
  readonly customer: string;
  /** Version of each model that the session has used, if a token came. */
  readonly pins: Readonly<Record<string, string>>;
  /** Whether the id is the caller's own, so that nodes keep its pins. */
  readonly own: boolean;
}

function sign(node: RouterNode, body: string): Buffer {
  const mac = createHmac('sha256', node.settings.sessionKey);
  return mac.update(body).digest();
}

/** A token that carries the session to any node. */
export function mintToken(node: RouterNode, session: Session): string {
  const {id, customer, pins} = session;
  const text = JSON.stringify({id, customer, pins});
  const body = Buffer.from(text).toString('base64url');
  return `${body}.${sign(node, body).toString('base64url')}`;
}

/** Reads a token; undefined when it was not signed here for this customer. */
export function readToken(
  node: RouterNode,
  token: string,
  customer: string,
): Session | undefined {
  const [body, signature] = token.split('.');
  if (!body || !signature) return undefined;
  const given = Buffer.from(signature, 'base64url');
  const expected = sign(node, body);
  if (given.length !== expected.length) return undefined;
  if (!timingSafeEqual(given, expected)) return undefined;
  const text = Buffer.from(body, 'base64url').toString('utf8');
  const parsed = TokenBody.safeParse(JSON.parse(text));
  if (!parsed.success || parsed.data.customer !== customer) return undefined;
  return {...parsed.data, own: false};
}

/** A session for a caller that sent none. */
export function newSession(customer: string): Session {
  return {id: randomUUID(), customer, pins: {}, own: false};
}

/** A session under the caller's own id. */
export function ownSession(customer: string, id: string): Session {
  return {id, customer, pins: {}, own: true};
}

function pinKey(session: string, model: string): string {
  return `${session}\u0000${model}`;
}

function storePin(node: RouterNode, pin: PinEntry): void {
  const key = pinKey(pin.session, pin.model);
  node.pins.delete(key);
  node.pins.set(key, pin.version);
  if (node.pins.size <= MAX_PINS) return;
  for (const oldest of node.pins.keys()) {
    node.pins.delete(oldest);
    break;
  }
}

/** Keeps copies of a peer's pins; a pin already held stays. */
export function takePinCopies(
  node: RouterNode,
  pins: readonly PinEntry[],
): void {
  for (const pin of pins) storePin(node, pin);
}

async function copyPin(node: RouterNode, pin: PinEntry): Promise<void> {
  const order = rankCandidates(pin.session, listLiveNodeNames(node));
  const next = order.find(name => name !== node.name);
  const address = next && findPeerAddress(node, next);
  if (!address) return;
  const copy = {pins: [pin]};
  await callPeer(node.peers, address, 'copyPins', copy, PIN_TIMEOUT_MS);
}

/** Answers as the owner of a session: the pinned version, set when absent. */
export async function answerPin(
  node: RouterNode,
  ask: PinAsk,
): Promise<string> {
  const {session, model, proposed, replaces} = ask;
  const known = node.pins.get(pinKey(session, model));
  if (known !== undefined && known !== replaces) return known;
  const pin = {session, model, version: proposed};
  storePin(node, pin);
  await copyPin(node, pin);
  return proposed;
}

/**
 * The version that a caller's own session id is pinned to, by the session's
 * owner or, when that is away, by the next node in order.
 */
export async function resolvePin(
  node: RouterNode,
  ask: PinAsk,
): Promise<string> {
  for (const owner of rankCandidates(
    ask.session,
    listLiveNodeNames(node),
  ).slice(0, 2)) {
    if (owner === node.name) return answerPin(node, ask);
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

function pinEntries(node: RouterNode): PinEntry[] {
  return [...node.pins].map(([key, version]) => {
    const [session, model] = key.split('\u0000');
    return {session, model, version};
  });
}

/** Nodes among which pins were last spread. */
let spreadOver = '';

/**
 * Copies pins to their first two nodes in order whenever the live nodes have
 * changed, and before a planned stop.
 */
export async function spreadPins(
  node: RouterNode,
  force = false,
): Promise<void> {
  const live = listLiveNodeNames(node).filter(
    name => name !== node.name || !force,
  );
  const members = live.join(' ');
  if (!force && members === spreadOver) return;
  spreadOver = members;
  const byPeer = new Map<string, PinEntry[]>();
  for (const pin of pinEntries(node)) {
    for (const name of rankCandidates(pin.session, live).slice(0, 2)) {
      if (name === node.name) continue;
      byPeer.set(name, [...(byPeer.get(name) ?? []), pin]);
    }
  }
  for (const [name, pins] of byPeer) {
    const address = findPeerAddress(node, name);
    if (!address) continue;
    for (let at = 0; at < pins.length; at += PIN_BATCH) {
      const copy = {pins: pins.slice(at, at + PIN_BATCH)};
      await callPeer(node.peers, address, 'copyPins', copy, PIN_TIMEOUT_MS);
    }
  }
}
