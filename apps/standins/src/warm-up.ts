/**
 * A store, an upstream and callers for a run of an entry node in which its code is
 * compiled, as the build writes a cache of that code.
 */
import {writeFileSync} from 'node:fs';
import * as http from 'node:http';
import {join} from 'node:path';
import {freePort} from './cluster.js';
import {startKeyspace, type KeyspaceStandIn} from './keyspace.js';
import {createSeal, startRunner, type Script} from './runner.js';

const HOST = 'warm-up.example';
const SERVICE = 'warm-up';
const STREAM_TYPE = 'text/event-stream';
/** Answers after which the code of the request path is compiled. */
const ANSWER_COUNT = 20;
/** Pause before a request is repeated while the node starts, milliseconds. */
const RETRY_MS = 20;
const MAX_REQUEST_COUNT = 500;

const address = async () => `127.0.0.1:${await freePort()}`;

async function createSettings(store: KeyspaceStandIn) {
  return {
    node: 'warm-up-1',
    failureDomain: 'warm-up',
    callers: await address(),
    readiness: await address(),
    peers: await address(),
    delegation: await address(),
    metrics: await address(),
    store: {address: store.server.address},
    configuration: {applyMs: 2_000},
    keys: {failClosed: true, revokeMs: 5_000},
    retries: {ratio: 0.9, windowSeconds: 10, slack: 50},
    cold: {over: 1.5, slack: 5},
    rollout: {exposeShare: 0.1, exposeSlack: 30, sessionSeconds: 5},
    stop: {graceSeconds: 5},
  };
}

function declareRoutes(store: KeyspaceStandIn): void {
  const route = {
    host: HOST,
    timeout_ms: 2_000,
    goal_ms: 1_000,
    priority: 1,
    service: SERVICE,
    max_attempts: 2,
  };
  store.put('op/config', {
    version: 1,
    routes: [
      {...route, name: 'plain', path_prefix: '/plain/', kind: 'idempotent'},
      {...route, name: 'stream', path_prefix: '/stream/', kind: 'stream'},
    ],
    services: [{name: SERVICE, health_path: '/healthz'}],
    limits: {},
  });
  store.putBytes('router/peer-key', Buffer.from('key-of-the-warm-up-nodes'));
  store.put('router/nodes/warm-up-2', {
    address: '127.0.0.1:9',
    failureDomain: 'warm-up',
  });
}

const answerRequest: Script = (received, response) => {
  if (!received.path.startsWith('/stream/'))
    return void response.writeHead(200, createSeal(received)).end('answer');
  const headers = {...createSeal(received), 'content-type': STREAM_TYPE};
  response.writeHead(200, headers);
  response.write('id: 1\ndata: a\n\n');
  response.end('id: 2\ndata: b\n\n');
};

function ask(callers: string, path: string, attempt: number): Promise<number> {
  return new Promise(resolve => {
    const headers = {
      host: HOST,
      'x-parsleyarch-attempt-id': `warm-up-${attempt}`,
      'x-parsleyarch-deadline-ms': '2000',
    };
    const request = http.request(`http://${callers}${path}`, {
      agent: false,
      headers,
    });
    request.on('response', response => {
      response.resume();
      response.on('close', () => resolve(response.statusCode ?? 0));
    });
    request.on('error', () => resolve(0));
    request.end();
  });
}

/** Sends requests to the node that `start` runs until it has answered them. */
export async function serveWarmUp(
  folder: string,
  start: (settingsFile: string) => void,
): Promise<void> {
  const store = await startKeyspace();
  declareRoutes(store);
  const upstream = await startRunner(store, 'i-1', {service: SERVICE});
  upstream.script = answerRequest;
  upstream.register();
  const settings = await createSettings(store);
  const file = join(folder, 'settings.json');
  writeFileSync(file, JSON.stringify(settings));
  start(file);
  let answers = 0;
  for (let sent = 0; answers < ANSWER_COUNT; sent += 1) {
    if (sent === MAX_REQUEST_COUNT)
      throw new Error('the node does not answer in the warm-up');
    const path = sent % 2 === 0 ? '/plain/x' : '/stream/x';
    if ((await ask(settings.callers, path, sent)) === 200) answers += 1;
    else await new Promise(resolve => setTimeout(resolve, RETRY_MS));
  }
}
