/**
 * Calls to peers, each with a deadline. A failed call resolves to an `Err`. The gRPC
 * library is loaded with the first client, as a node answers callers before that.
 */
import type {Client, Metadata, ServiceError} from '@grpc/grpc-js';
import {failure, type Failure} from '@parsleyarch/errors/failure';
import {err, ok, type Result} from 'neverthrow';
import type {PeerCall, PeerCalls} from './messages.js';
import {PEER_KEY_FIELD} from './key.js';
import {MESSAGE_OPTIONS} from './options.js';

type Method = (
  request: unknown,
  metadata: Metadata,
  options: {deadline: number},
  done: (error: ServiceError | null, response: unknown) => void,
) => void;

/** Connections to peers, by address, and the metadata sent with each call. */
export interface PeerClient {
  readonly metadata: Metadata;
  readonly clients: Map<string, Client>;
  /** Creates a connection, which opens with its first call. */
  readonly connect: (address: string) => Client;
}

/** Upper bound of the reconnection backoff, milliseconds. */
const MAX_RECONNECT_MS = 1_000;
/**
 * Interval of keep-alive pings, and time without a response after which a connection
 * is replaced; longer than a peer may pause for.
 */
const KEEPALIVE_INTERVAL_MS = 1_000;
const KEEPALIVE_TIMEOUT_MS = 1_300;

const CONNECTION_OPTIONS = {
  ...MESSAGE_OPTIONS,
  'grpc.max_reconnect_backoff_ms': MAX_RECONNECT_MS,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.keepalive_time_ms': KEEPALIVE_INTERVAL_MS,
  'grpc.keepalive_timeout_ms': KEEPALIVE_TIMEOUT_MS,
};

/** Creates a client; connections open with the first call to an address. */
export async function createPeerClient(key: string): Promise<PeerClient> {
  const {credentials, makeGenericClientConstructor, Metadata} =
    await import('@grpc/grpc-js');
  const {PEER_SERVICE} = await import('./service.js');
  const PeerConnection = makeGenericClientConstructor(PEER_SERVICE, 'Peer');
  const metadata = new Metadata();
  metadata.set(PEER_KEY_FIELD, key);
  const connect = (address: string) =>
    new PeerConnection(
      address,
      credentials.createInsecure(),
      CONNECTION_OPTIONS,
    );
  return {metadata, clients: new Map(), connect};
}

function getConnection(peers: PeerClient, address: string): Client {
  const existing = peers.clients.get(address);
  if (existing) return existing;
  const opened = peers.connect(address);
  peers.clients.set(address, opened);
  return opened;
}

/** Calls a method of the peer at an address. */
export function callPeer<C extends PeerCall>(
  peers: PeerClient,
  address: string,
  call: C,
  request: PeerCalls[C][0],
  timeoutMs: number,
): Promise<Result<PeerCalls[C][1], Failure>> {
  const client = getConnection(peers, address);
  const method = (client as unknown as Record<C, Method>)[call];
  return new Promise(resolve => {
    method.call(
      client,
      request,
      peers.metadata,
      {deadline: Date.now() + timeoutMs},
      (error, response) => {
        if (!error) resolve(ok(response as PeerCalls[C][1]));
        else resolve(err(failure('internal', `${call}: ${error.details}`)));
      },
    );
  });
}

/** Closes the connections to addresses that are not in `listed`. */
export function pruneConnections(
  peers: PeerClient,
  listed: ReadonlySet<string>,
): void {
  for (const [address, client] of peers.clients) {
    if (listed.has(address)) continue;
    client.close();
    peers.clients.delete(address);
  }
}

/** Closes every connection. */
export function closePeerClient(peers: PeerClient): void {
  pruneConnections(peers, new Set());
}
