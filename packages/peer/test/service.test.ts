/** Tests of the peer service's definition. */
import {fromJSON} from '@grpc/proto-loader';
import test from 'ava';
import descriptor from '../src/descriptor.json' with {type: 'json'};
import {PEER_SERVICE} from '../src/service.js';

type Definition = typeof PEER_SERVICE;

const REPORT = {
  node: 'node-1',
  loads: [{upstream: 'i-1', pending: 1.5, streaming: 2, inFlight: 3}],
  isGroup: true,
};

// Nodes of releases that were built by the loader talk to nodes of this one.
test('the definition has the methods and the messages of the loader', t => {
  const loaded = fromJSON(
    descriptor as unknown as Parameters<typeof fromJSON>[0],
    {defaults: true, arrays: true, longs: Number},
  )['parsleyarch.Peer'] as unknown as Definition;
  t.deepEqual(Object.keys(PEER_SERVICE), Object.keys(loaded));
  for (const [name, method] of Object.entries(PEER_SERVICE)) {
    t.is(method.path, loaded[name].path);
    const {requestSerialize, requestDeserialize, responseDeserialize} = method;
    const bytes = requestSerialize(REPORT);
    t.deepEqual(bytes, loaded[name].requestSerialize(REPORT));
    t.deepEqual(
      requestDeserialize(bytes),
      loaded[name].requestDeserialize(bytes),
    );
    const empty = Buffer.alloc(0);
    t.deepEqual(
      responseDeserialize(empty),
      loaded[name].responseDeserialize(empty),
    );
  }
});
