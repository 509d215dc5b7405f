/** The peer listener of a node. */
import {messageOf} from '@parsleyarch/errors/failure';
import {timingSafeEqual} from 'node:crypto';
import {
  Server,
  ServerCredentials,
  status,
  type Metadata,
  type sendUnaryData,
  type ServerUnaryCall,
} from '@grpc/grpc-js';
import type {PeerCall, PeerCalls} from './messages.js';
import {PEER_SERVICE} from './service.js';

/** What a node does on each call from a peer. */
export type PeerHandlers = {
  [C in PeerCall]: (
    request: PeerCalls[C][0],
  ) => PeerCalls[C][1] | Promise<PeerCalls[C][1]>;
};

/** Metadata field that carries the key shared by all nodes. */
export const KEY_FIELD = 'x-peer-key';

function hasKey(metadata: Metadata, key: string): boolean {
  const given = Buffer.from(String(metadata.get(KEY_FIELD)[0] ?? ''));
  const expected = Buffer.from(key);
  if (given.length !== expected.length) return false;
  return timingSafeEqual(given, expected);
}

function unary<C extends PeerCall>(key: string, handle: PeerHandlers[C]) {
  return async (
    call: ServerUnaryCall<PeerCalls[C][0], PeerCalls[C][1]>,
    answer: sendUnaryData<PeerCalls[C][1]>,
  ) => {
    if (!hasKey(call.metadata, key)) {
      answer({code: status.UNAUTHENTICATED, details: 'wrong peer key'});
      return;
    }
    try {
      answer(null, await handle(call.request));
    } catch (thrown) {
      answer({code: status.INTERNAL, details: messageOf(thrown)});
    }
  };
}

/** Starts the listener; resolves with the server once it is bound. */
export async function listenForPeers(
  address: string,
  key: string,
  handlers: Partial<PeerHandlers>,
): Promise<Server> {
  const server = new Server();
  const methods = Object.keys(handlers) as PeerCall[];
  server.addService(
    PEER_SERVICE,
    Object.fromEntries(
      methods.map(method => [method, unary(key, handlers[method]!)]),
    ),
  );
  await new Promise<void>((resolve, reject) => {
    server.bindAsync(address, ServerCredentials.createInsecure(), error =>
      error ? reject(error) : resolve(),
    );
  });
  return server;
}

/** Stops the listener; calls that still run are cut. */
export function closePeerServer(server: Server): void {
  server.forceShutdown();
}
