/** The gRPC service definition, built from the generated descriptor.json. */
import type {MethodDefinition, ServiceDefinition} from '@grpc/grpc-js';
import protobuf from 'protobufjs/light.js';
import descriptor from './descriptor.json' with {type: 'json'};

const SERVICE = 'parsleyarch.Peer';

/** How fields that a message leaves out are read. */
const CONVERSION: protobuf.IConversionOptions = {
  defaults: true,
  arrays: true,
  longs: Number,
};

const serializer = (type: protobuf.Type) => (value: object) =>
  Buffer.from(type.encode(type.fromObject(value)).finish());

const deserializer = (type: protobuf.Type) => (bytes: Buffer) =>
  type.toObject(type.decode(bytes), CONVERSION);

function toMethodDefinition({
  name,
  resolvedRequestType,
  resolvedResponseType,
}: protobuf.Method): MethodDefinition<object, object> {
  const request = resolvedRequestType!;
  const response = resolvedResponseType!;
  return {
    path: `/${SERVICE}/${name}`,
    requestStream: false,
    responseStream: false,
    requestSerialize: serializer(request),
    requestDeserialize: deserializer(request),
    responseSerialize: serializer(response),
    responseDeserialize: deserializer(response),
    originalName: name[0].toLowerCase() + name.slice(1),
  };
}

function createServiceDefinition(): ServiceDefinition {
  const root = protobuf.Root.fromJSON(descriptor as protobuf.INamespace);
  const service = root.lookupService(SERVICE);
  return Object.fromEntries(
    service.methodsArray.map(method => {
      method.resolve();
      return [method.name, toMethodDefinition(method)];
    }),
  );
}

/** Methods of the peer service, by name in peer.proto. */
export const PEER_SERVICE = createServiceDefinition();
