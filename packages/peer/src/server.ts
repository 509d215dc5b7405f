/** gRPC server for calls from peers. */
import {messageOf} from '@parsleyarch/errors/failure';
import type {
  Metadata,
  sendUnaryData,
  Server,
  ServerUnaryCall,
} from '@grpc/grpc-js';
import {isSameKey, PEER_KEY_FIELD} from './key.js';
import type {PeerCall, PeerCalls} from './messages.js';
import {MESSAGE_OPTIONS} from './options.js';

/** Handlers of the peer calls, by call name. */
export type PeerHandlers = {
  [C in PeerCall]: (
    request: PeerCalls[C][0],
  ) => PeerCalls[C][1] | Promise<PeerCalls[C][1]>;
};

function hasKey(metadata: Metadata, key: string): boolean {
  return isSameKey(String(metadata.get(PEER_KEY_FIELD)[0] ?? ''), key);
}

type Grpc = typeof import('@grpc/grpc-js');

function createUnaryHandler<C extends PeerCall>(
  {status}: Grpc,
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
  const grpc = await import('@grpc/grpc-js');
  const {PEER_SERVICE} = await import('./service.js');
  const server = new grpc.Server(MESSAGE_OPTIONS);
  const methods = Object.keys(handlers) as PeerCall[];
  server.addService(
    PEER_SERVICE,
    Object.fromEntries(
      methods.map(method => [
        method,
        createUnaryHandler(grpc, currentKey, handlers[method]!),
      ]),
    ),
  );
  await new Promise<void>((resolve, reject) => {
    const credentials = grpc.ServerCredentials.createInsecure();
    server.bindAsync(address, credentials, error =>
      error ? reject(error) : resolve(),
    );
  });
  return server;
}

/** Stops the server and aborts the calls in progress. */
export function closePeerServer(server: Server): void {
  server.forceShutdown();
}
