/** Tests that try to bring about failures that operators of similar systems saw. */
import {createSeal, type RunnerStandIn} from '@parsleyarch/standins/runner';
import test from 'ava';
import * as http from 'node:http';
import '../exit.js';
import {
  attemptId,
  call,
  closeSite,
  configure,
  route,
  startNode,
  startSite,
  until,
  type Site,
} from './site.js';

const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));
const once = {name: 'once', path_prefix: '/once/', kind: 'non_idempotent'};
const postOnce = {path: '/once/x', method: 'POST', body: 'p'};
const runsOf = (runners: readonly RunnerStandIn[]) =>
  runners.flatMap(({requests}) => requests);

test('a late second copy of an answer never reaches the next caller', async t => {
  const site = await startSite(1);
  t.teardown(() => closeSite(site));
  configure(site, [route({timeout_ms: 5_000})]);
  const entry = await startNode(site);
  const [upstream] = site.runners;
  upstream.script = (request, response) => {
    const text = `${upstream.id} ran ${request.attempt}`;
    const fields = Object.entries(createSeal(request)).map(pair =>
      pair.join(': '),
    );
    const whole =
      `HTTP/1.1 200 OK\r\n${fields.join('\r\n')}\r\nKeep-Alive: timeout=5\r\n` +
      `Content-Length: ${text.length}\r\n\r\n${text}`;
    const {socket} = response;
    socket!.write(whole);
    setTimeout(() => socket!.destroyed || socket!.write(whole), 20);
  };
  const agent = new http.Agent({keepAlive: true, maxSockets: 1});
  t.teardown(() => agent.destroy());
  for (let sent = 0; sent < 20; sent += 1) {
    const id = attemptId();
    const answer = await call(entry, {
      headers: {'x-parsleyarch-attempt-id': id},
    });
    t.is(answer.body, `${upstream.id} ran ${id}`);
    t.is(answer.headers['x-parsleyarch-attempt-id'], id);
    await pause(5);
  }
});

/** A caller that keeps its connection; tells how each request ended. */
async function sendOnKeptConnection(
  address: string,
  until: () => boolean,
): Promise<{attempt: string; status: number}[]> {
  const [host, port] = address.split(':');
  const agent = new http.Agent({keepAlive: true, maxSockets: 1});
  const ended: {attempt: string; status: number}[] = [];
  while (!until()) {
    const attempt = attemptId();
    const status = await new Promise<number>(resolve => {
      const sent = http.request({
        host,
        port,
        agent,
        method: 'POST',
        path: '/once/x',
        headers: {
          host: 'api.example',
          'x-parsleyarch-attempt-id': attempt,
          'x-parsleyarch-deadline-ms': '2000',
        },
      });
      sent.on('response', response => {
        response.resume();
        response.on('end', () => resolve(response.statusCode ?? 0));
        response.on('error', () => resolve(0));
      });
      sent.on('error', () => resolve(0));
      sent.end('p');
    });
    ended.push({attempt, status});
    if (status === 0) break;
    await pause(3);
  }
  agent.destroy();
  return ended;
}

test('a planned stop under load cuts off no request that was passed on', async t => {
  const site = await startSite(2);
  t.teardown(() => closeSite(site));
  configure(site, [route(once)]);
  const entry = await startNode(site);
  for (const runner of site.runners)
    runner.script = async (request, response) => {
      await pause(20);
      response.writeHead(200, createSeal(request)).end('ran');
    };
  let stopped = false;
  const callers = Array.from({length: 30}, () =>
    sendOnKeptConnection(entry.node.settings.callers, () => stopped),
  );
  await until(() => runsOf(site.runners).length > 300 + callers.length);
  await entry.stop();
  stopped = true;
  const ended = (await Promise.all(callers)).flat();
  const ran = new Set(runsOf(site.runners).map(({attempt}) => attempt));
  const unserved = ended.filter(
    ({attempt, status}) => status !== 200 && ran.has(attempt),
  );
  t.true(ended.filter(({status}) => status === 200).length > 300);
  t.deepEqual(unserved, []);
});

test('work whose answer was lost is not run again, nor called not run', async t => {
  const site = await startSite(3);
  t.teardown(() => closeSite(site));
  configure(site, [route(once)]);
  const entry = await startNode(site);
  for (const breakOff of [
    (socket: http.ServerResponse['socket']) => socket!.destroy(),
    (socket: http.ServerResponse['socket']) => socket!.resetAndDestroy(),
    (socket: http.ServerResponse['socket']) => socket!.end('HTTP/1.1 20'),
  ]) {
    for (const runner of site.runners) {
      runner.requests.length = 0;
      runner.script = (_request, response) => void breakOff(response.socket);
    }
    const answer = await call(entry, postOnce);
    t.is(answer.status, 502);
    t.is(runsOf(site.runners).length, 1);
  }
});

test('running work is kept while its upstream is missing in the store', async t => {
  const site = await startSite(2);
  t.teardown(() => closeSite(site));
  configure(site, [route({timeout_ms: 5_000, goal_ms: 3_000}), route(once)]);
  const entry = await startNode(site);
  for (const runner of site.runners)
    runner.script = async (request, response) => {
      await pause(800);
      response.writeHead(200, createSeal(request)).end('ran');
    };
  const running = [
    call(entry, {headers: {'x-parsleyarch-deadline-ms': '5000'}}),
    call(entry, postOnce),
  ];
  await until(() => runsOf(site.runners).length === 2);
  for (const runner of site.runners) runner.deregister();
  await until(() => entry.node.upstreams.size === 0);
  for (const answer of await Promise.all(running)) t.is(answer.status, 200);
  t.is(runsOf(site.runners).length, 2);
});

/** Sequence numbers of the plans that were written, in order. */
function writtenSequences({store}: Site): number[] {
  const sequences: number[] = [];
  for (const {key, value} of store.history) {
    if (key !== 'router/rollout/api' || !value) continue;
    const plan = JSON.parse(Buffer.from(value, 'base64').toString());
    sequences.push(plan.sequence);
  }
  return sequences;
}

test('a holder that the store no longer answers acts no more before another does', async t => {
  const site = await startSite(2);
  t.teardown(() => closeSite(site));
  configure(site, [route()]);
  for (let index = 0; index < 2; index += 1) await startNode(site);
  const [old, fresh] = site.runners;
  old.register({version: 'v1'});
  fresh.register({version: 'v2'});
  site.store.put('op/rollout/api', {
    service: 'api',
    target: 'v2',
    duration_s: 8,
  });
  const leaseUntil = ({node}: (typeof site.entries)[number]) => {
    const {lease, leaseUsableUntil} = node.holderState;
    return lease === undefined ? -Infinity : leaseUsableUntil;
  };
  const isActing = (entry: (typeof site.entries)[number]) =>
    leaseUntil(entry) > entry.node.clock();
  await until(() => site.entries.some(isActing));
  const holder = site.entries.find(isActing)!;
  const other = site.entries.find(entry => entry !== holder)!;
  const unreachable = new URL('http://127.0.0.1:9');
  Object.assign(holder.node.keyspace, {address: unreachable});
  await until(() => {
    t.false(isActing(holder) && isActing(other));
    return isActing(other);
  });
  await pause(1_500);
  const sequences = writtenSequences(site);
  t.deepEqual(
    sequences,
    [...new Set(sequences)].sort((a, b) => a - b),
  );
});

test('a refusal of an earlier request is not taken for one of the request that has run', async t => {
  const site = await startSite(2);
  t.teardown(() => closeSite(site));
  configure(site, [route(once)]);
  const entry = await startNode(site);
  const refusal = (attempt: string) => ({
    'X-Parsleyarch-Attempt-Id': attempt,
    'X-Parsleyarch-Not-Run': '1',
  });
  const refuseAll = (earlier?: string) => {
    for (const runner of site.runners)
      runner.script = ({attempt}, response) =>
        void response.writeHead(503, refusal(earlier ?? attempt)).end();
  };
  refuseAll();
  t.is((await call(entry, postOnce)).status, 503);
  const earlier = runsOf(site.runners)[0].attempt;
  const before = runsOf(site.runners).length;
  refuseAll(earlier);
  t.is((await call(entry, postOnce)).status, 502);
  t.is(runsOf(site.runners).length, before + 1);
});
