// Generates the committed JSON descriptor of the peer protocol from its .proto file.
import protobuf from 'protobufjs';
import {writeFileSync} from 'node:fs';

const root = protobuf.loadSync('packages/peer/src/peer.proto');
writeFileSync(
  'packages/peer/src/descriptor.json',
  JSON.stringify(root.toJSON(), null, 2) + '\n',
);
