/** Tests of connections between nodes that fall silent without being closed. */
import {
  callPeer,
  closePeerClient,
  createPeerClient,
} from '@parsleyarch/peer/client';
import {closePeerServer, listenForPeers} from '@parsleyarch/peer/server';
import {freePort} from '@parsleyarch/standins/cluster';
import {startProxy} from '@parsleyarch/standins/proxy';
import test, {type ExecutionContext} from 'ava';

const KEY = 'key of the nodes';
const CALL_TIMEOUT_MS = 300;
const CALL_INTERVAL_MS = 100;
/** Time after which nodes must hear of each other again, milliseconds. */
const CONTACT_MS = 3_000;

const wait = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

/** A server behind a proxy, and a function that calls it once. */
async function start(t: ExecutionContext) {
  const port = await freePort();
  const server = await listenForPeers(`127.0.0.1:${port}`, () => KEY, {
    consult: () => ({kept: []}),
  });
  const proxy = await startProxy(port);
  const client = await createPeerClient(KEY);
  t.teardown(async () => {
    closePeerClient(client);
    closePeerServer(server);
    await proxy.close();
  });
  const request = {node: 'a', incarnation: '1', reports: []};
  const answers = async () => {
    const address = `127.0.0.1:${proxy.port}`;
    const answer = await callPeer(
      client,
      address,
      'consult',
      request,
      CALL_TIMEOUT_MS,
    );
    return answer.isOk();
  };
  return {proxy, answers};
}

/** Calls until a call is answered, for some time; returns whether one was. */
async function answersWithin(
  answers: () => Promise<boolean>,
  timeoutMs: number,
): Promise<boolean> {
  const end = performance.now() + timeoutMs;
  while (performance.now() < end) {
    if (await answers()) return true;
    await wait(CALL_INTERVAL_MS);
  }
  return false;
}

test('a connection to a peer that falls silent for good is replaced', async t => {
  const {proxy, answers} = await start(t);
  t.true(await answers());
  // Open connections fall silent; new ones work.
  proxy.freeze(true);
  t.false(await answers());
  t.true(await answersWithin(answers, CONTACT_MS));
});

test('a peer that pauses for a second answers again at once', async t => {
  const {proxy, answers} = await start(t);
  t.true(await answers());
  proxy.freeze(true);
  t.false(await answersWithin(answers, 1_000));
  proxy.freeze(false);
  t.true(await answersWithin(answers, 300));
});
