/** gRPC server for calls from peers. */
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
import {MESSAGE_OPTIONS, PEER_SERVICE} from './service.js';

/** Handlers of the peer calls, by call name. */
export type PeerHandlers = {
  [C in PeerCall]: (
    request: PeerCalls[C][0],
  ) => PeerCalls[C][1] | Promise<PeerCalls[C][1]>;
};

/** Metadata field with the key that all nodes share. */
export const PEER_KEY_FIELD = 'x-peer-key';

/** Compares keys in a time that does not depend on where they differ. */
export function isSameKey(received: string, expected: string): boolean {
  const receivedBytes = Buffer.from(received);
  const expectedBytes = Buffer.from(expected);
  if (receivedBytes.length !== expectedBytes.length) return false;
  return timingSafeEqual(receivedBytes, expectedBytes);
}

function hasKey(metadata: Metadata, key: string): boolean {
  return isSameKey(String(metadata.get(PEER_KEY_FIELD)[0] ?? ''), key);
}

function createUnaryHandler<C extends PeerCall>(
  currentKey: () => string,
  handle: PeerHandlers[C],
) {
  return async (
    call: ServerUnaryCall<PeerCalls[C][0], PeerCalls[C][1]>,
    respond: sendUnaryData<PeerCalls[C][1]>,
  ) => {
    if (!hasKey(call.metadata, currentKey())) {
      respond({code: status.UNAUTHENTICATED, details: 'wrong peer key'});
      return;
    }
    try {
      respond(null, await handle(call.request));
    } catch (thrown) {
      respond({code: status.INTERNAL, details: messageOf(thrown)});
    }
  };
}

/**
 * Starts the server; resolves once it is bound to the address. Each call must
 * carry the key that is current when it arrives.
 */
export async function listenForPeers(
  address: string,
  currentKey: () => string,
  handlers: Partial<PeerHandlers>,
): Promise<Server> {
  const server = new Server(MESSAGE_OPTIONS);
  const methods = Object.keys(handlers) as PeerCall[];
  server.addService(
    PEER_SERVICE,
    Object.fromEntries(
      methods.map(method => [
        method,
        createUnaryHandler(currentKey, handlers[method]!),
      ]),
    ),
  );
  await new Promise<void>((resolve, reject) => {
    server.bindAsync(address, ServerCredentials.createInsecure(), error =>
      error ? reject(error) : resolve(),
    );
  });
  return server;
}

/** Stops the server and aborts the calls in progress. */
export function closePeerServer(server: Server): void {
  server.forceShutdown();
}
