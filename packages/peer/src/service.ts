/** The gRPC service definition, built from the generated descriptor.json. */
import type {ServiceDefinition} from '@grpc/grpc-js';
import {fromJSON} from '@grpc/proto-loader';
import descriptor from './descriptor.json' with {type: 'json'};

const definition = fromJSON(
  descriptor as unknown as Parameters<typeof fromJSON>[0],
  {
    defaults: true,
    arrays: true,
    longs: Number,
  },
);

/**
 * Maximum size of a message; a node that is far behind gets all items of the store in
 * one, each with a value of up to 1 MB.
 */
const MAX_MESSAGE_BYTES = 16 << 20;

/** Options of every connection and server. */
export const MESSAGE_OPTIONS = {
  'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
  'grpc.max_send_message_length': MAX_MESSAGE_BYTES,
} as const;

/** Methods of the peer service, by name in peer.proto. */
export const PEER_SERVICE = definition[
  'parsleyarch.Peer'
] as unknown as ServiceDefinition;
