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

/** Methods of the peer service, by name in peer.proto. */
export const PEER_SERVICE = definition[
  'parsleyarch.Peer'
] as unknown as ServiceDefinition;
