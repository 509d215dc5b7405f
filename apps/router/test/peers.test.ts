import {
  callPeer,
  closePeerClient,
  createPeerClient,
} from '@parsleyarch/peer/client';
import type {PeerCall, PeerCalls} from '@parsleyarch/peer/messages';
import {chat} from '@parsleyarch/standins/client';
import {
  closeScenario,
  CUSTOMER_KEY,
  startScenario,
  type Scenario,
} from '@parsleyarch/standins/scenario';
import test from 'ava';
import fc from 'fast-check';
import './exit.js';

const TIMEOUT_MS = 1_000;
let scenario: Scenario;

test.before(async () => {
  scenario = await startScenario({
    domains: ['gulberg', 'dha'],
    engineDomains: ['gulberg', 'dha'],
    engine: {coldLimit: 4, warmLimit: 4},
  });
});

test.after.always(() => closeScenario(scenario));

const address = () => scenario.cluster.vmList.vms.get('vm-1')!.address;

test.serial('a call without the shared key is rejected', async t => {
  const stranger = await createPeerClient('some other key of a stranger');
  const answer = await callPeer(stranger, address(), 'beats', {}, TIMEOUT_MS);
  t.regex(answer._unsafeUnwrapErr().message, /wrong peer key/);
  closePeerClient(stranger);
});

test.serial('a node survives arbitrary values in peer calls', async t => {
  const peers = await createPeerClient('peer-key-of-the-stand-ins');
  const text = fc.oneof(fc.string(), fc.json());
  const ask = fc.record({
    upstream: fc.constantFrom('engine-1', 'engine-2', 'nobody'),
    node: fc.constant('vm-9'),
    incarnation: fc.nat(),
    upstreamIncarnation: fc.constant(0),
    knownLimit: fc.nat(),
    sequence: fc.nat(),
    holding: fc.constant(0),
    want: fc.nat(9),
    succeeded: fc.nat(9),
    failed: fc.boolean(),
  });
  const call = <C extends PeerCall>(name: C, request: PeerCalls[C][0]) =>
    callPeer(peers, address(), name, request, TIMEOUT_MS);
  await fc.assert(
    fc.asyncProperty(text, fc.array(ask), fc.nat(), async (body, asks, at) => {
      await call('shareEvidence', {node: 'vm-9', incarnation: at, body});
      await call('askCredits', {asks});
      await call('fetchEntries', {revision: at});
      await call('explain', {requestId: body});
      const pin = {session: body, model: body, proposed: 'x', replaces: ''};
      await call('pin', pin);
      return scenario.cluster.nodes[0].process.exitCode === null;
    }),
    {seed: 20_261_203, numRuns: 60},
  );
  closePeerClient(peers);
  const answer = await chat(
    scenario.cluster.nodes[0].callers,
    CUSTOMER_KEY,
    'still there?',
  );
  t.true(answer.complete, JSON.stringify(answer.error));
});
