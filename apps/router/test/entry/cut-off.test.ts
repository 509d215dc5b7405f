/** Tests of nodes that have lost their connections to all upstreams. */
import {createSeal} from '@parsleyarch/standins/runner';
import type {Entry} from '@parsleyarch/router/entry/serve';
import test, {type ExecutionContext} from 'ava';
import {CUTS, cutOff} from './cutting.js';
import {
  call,
  closeSite,
  configure,
  route,
  startNode,
  startSite,
  until,
  type Site,
} from './site.js';

const wait = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

/** Time after which the callers of a cut node must be served, milliseconds. */
const CONTACT_MS = 3_000;
const INTERVAL_MS = 50;

async function start(t: ExecutionContext, nodes: number): Promise<Site> {
  const site = await startSite(4);
  t.teardown(() => closeSite(site));
  configure(site, [
    route(),
    route({name: 'once', path_prefix: '/once/', kind: 'non_idempotent'}),
  ]);
  for (let index = 0; index < nodes; index += 1) await startNode(site);
  for (const {node} of site.entries)
    await until(() => node.members.size === nodes);
  return site;
}

/** Share of the requests to a node that are served at the first attempt. */
async function measureServed(
  entry: Entry,
  durationMs: number,
  path = '/a/x',
): Promise<number> {
  const end = performance.now() + durationMs;
  const calls: Promise<boolean>[] = [];
  const headers = {'x-parsleyarch-deadline-ms': '1000'};
  while (performance.now() < end) {
    calls.push(call(entry, {path, headers}).then(a => a.status === 200));
    await wait(INTERVAL_MS);
  }
  const served = await Promise.all(calls);
  return served.filter(Boolean).length / served.length;
}

for (const cut of CUTS) {
  test(`callers of nodes whose connections to all upstreams are ${cut} are served as by the others`, async t => {
    const site = await start(t, 3);
    const [first, second] = site.entries;
    const all = (durationMs: number) =>
      Promise.all(site.entries.map(entry => measureServed(entry, durationMs)));
    await all(500);
    for (const entry of [first, second]) cutOff(entry, cut);
    await all(CONTACT_MS);
    const shares = await all(2_000);
    t.log(shares);
    const least = Math.min(shares[0], shares[1]);
    t.true(least >= (2 / 3) * shares[2]);
  });
}

test('a request that may not be repeated runs once when its node is cut off', async t => {
  const site = await start(t, 2);
  const [entry] = site.entries;
  await measureServed(entry, 300, '/once/x');
  cutOff(entry, 'refused');
  await measureServed(entry, CONTACT_MS, '/once/x');
  t.true((await measureServed(entry, 1_000, '/once/x')) > 2 / 3);
  const attempts = site.runners.flatMap(({requests}) =>
    requests.map(({attempt}) => attempt),
  );
  t.is(new Set(attempts).size, attempts.length);
});

test('the events of a stream pass as they come when its node is cut off', async t => {
  const site = await start(t, 2);
  configure(site, [route({kind: 'stream', resumable: true})]);
  const [entry] = site.entries;
  for (const runner of site.runners)
    runner.script = async (request, response) => {
      response.writeHead(200, {
        ...createSeal(request),
        'content-type': 'text/event-stream',
      });
      for (let id = 1; id <= 3; id += 1) {
        response.write(`id: ${id}\ndata: e${id}\n\n`);
        await wait(200);
      }
      response.end();
    };
  cutOff(entry, 'refused');
  await measureServed(entry, CONTACT_MS);
  const seenAt: number[] = [];
  const answer = await call(entry, {
    onBytes: () => seenAt.push(performance.now()),
  });
  t.true(answer.complete);
  t.is(
    answer.body,
    [1, 2, 3].map(id => `id: ${id}\ndata: e${id}\n\n`).join(''),
  );
  t.true(seenAt.at(-1)! - seenAt[0] > 300);
});

test('connections that fail use up no retries', async t => {
  const site = await start(t, 1);
  const [entry] = site.entries;
  cutOff(entry, 'refused');
  const calls = Array.from({length: 60}, () => call(entry));
  for (const {status} of await Promise.all(calls)) t.is(status, 503);
  const buckets = [...entry.node.retries.get('api')!.buckets.values()];
  t.true(buckets.every(({retries}) => retries === 0));
});

async function countDelegations({node}: Entry): Promise<number> {
  const {values} = await node.metrics.delegations.get();
  return values.reduce((sum, {value}) => sum + value, 0);
}

const countRequests = ({runners}: Site) =>
  runners.reduce((sum, {requests}) => sum + requests.length, 0);

test('a node serves its callers itself once it reaches upstreams again', async t => {
  const site = await start(t, 2);
  const [entry] = site.entries;
  const heal = cutOff(entry, 'hanging');
  await measureServed(entry, CONTACT_MS);
  t.true((await countDelegations(entry)) > 0);
  heal();
  await wait(1_500);
  const before = await countDelegations(entry);
  t.is(await measureServed(entry, 1_000), 1);
  t.is(await countDelegations(entry), before);
  const ports = site.runners.map(({requests}) => requests.length);
  t.true(ports.every(count => count > 0));
});

test('a node that misses some upstreams uses the others and delegates nothing for long', async t => {
  const site = await start(t, 2);
  const [entry] = site.entries;
  await measureServed(entry, 500);
  const ports = site.runners.slice(0, 2).map(({server}) => server.port);
  cutOff(entry, 'hanging', {ports});
  await measureServed(entry, CONTACT_MS);
  const before = await countDelegations(entry);
  t.true((await measureServed(entry, 2_000)) > 2 / 3);
  t.log((await countDelegations(entry)) - before);
  t.true((await countDelegations(entry)) - before <= 5);
});

test('requests are refused at once if no node reaches their upstreams', async t => {
  const site = await start(t, 3);
  for (const entry of site.entries) cutOff(entry, 'refused');
  for (const entry of site.entries) await measureServed(entry, 1_000);
  for (const entry of site.entries) {
    const refused = await call(entry);
    t.is(refused.status, 503);
    t.true(refused.tookMs < 500);
    t.truthy(refused.headers['retry-after']);
  }
});

test('another node is asked if the delegate has ended', async t => {
  const site = await start(t, 3);
  const [entry, second, third] = site.entries;
  cutOff(entry, 'refused');
  await measureServed(entry, 1_000);
  second.node.settings.stop.graceSeconds = 0;
  const stopped = second.stop();
  t.true((await measureServed(entry, 2_000)) > 0.9);
  await stopped;
  t.true(third.node.upstreams.size > 0);
});

test('the work of an upstream ends when the caller of a cut node leaves', async t => {
  const site = await start(t, 2);
  const [entry] = site.entries;
  cutOff(entry, 'refused');
  await measureServed(entry, 1_000);
  const before = new Set(site.runners.flatMap(({requests}) => requests));
  for (const runner of site.runners) runner.script = () => {};
  const started = () =>
    site.runners
      .flatMap(({requests}) => requests)
      .filter(request => !before.has(request));
  void call(entry, {
    onSent: sent =>
      void until(() => started().length > 0).then(() => sent.destroy()),
  });
  await until(() => started().length === 1 && started()[0].aborted);
  t.pass();
});

test('a large body reaches the upstream of a delegate unchanged', async t => {
  const site = await start(t, 2);
  const [entry] = site.entries;
  cutOff(entry, 'refused');
  await measureServed(entry, 1_000);
  const body = 'x'.repeat(90_000);
  const answer = await call(entry, {
    method: 'POST',
    body,
    headers: {
      'x-delegated-attempts': '0',
      'x-peer-key': 'forged',
      'x-own': '1',
    },
  });
  t.is(answer.status, 200);
  const received = site.runners
    .flatMap(({requests}) => requests)
    .find(({headers}) => headers['x-own'] === '1');
  t.is(received?.body, body);
  t.is(received?.headers['x-peer-key'], undefined);
  t.is(received?.headers['x-delegated-attempts'], undefined);
});

test('a request to the listener for delegated requests without the key is rejected', async t => {
  const site = await start(t, 1);
  const [{node}] = site.entries;
  const [host, port] = node.settings.delegation.split(':');
  const before = countRequests(site);
  for (const key of [undefined, '', 'forged']) {
    const response = await fetch(`http://${host}:${port}/a/x`, {
      headers: {
        'x-delegated-attempts': '2',
        ...(key === undefined ? {} : {'x-peer-key': key}),
      },
    });
    t.is(response.status, 403);
  }
  t.is(countRequests(site), before);
});

test('the answer of a delegate that breaks off is not relayed as complete', async t => {
  const site = await start(t, 2);
  configure(site, [route({kind: 'stream'})]);
  const [entry, other] = site.entries;
  cutOff(entry, 'refused');
  await measureServed(entry, 1_000);
  for (const runner of site.runners)
    runner.script = (request, response) => {
      response.writeHead(200, {
        ...createSeal(request),
        'content-type': 'text/event-stream',
      });
      response.write('id: 1\ndata: e1\n\n');
    };
  const answer = await call(entry, {
    onBytes: () => {
      const sockets = Object.values(other.node.agent.sockets).flat();
      for (const socket of sockets) socket?.resetAndDestroy();
    },
  });
  t.is(answer.status, 200);
  t.false(answer.complete);
});

test('a node that loses its own connections does not accuse the requests of ending upstreams', async t => {
  const site = await start(t, 2);
  const [entry, other] = site.entries;
  for (const runner of site.runners)
    runner.script = (request, response) =>
      void response.writeHead(200, createSeal(request)).write('begun');
  const headers = {'x-parsleyarch-prompt-prefix': '1a:100,2b:50'};
  const running = Array.from({length: 8}, () => call(entry, {headers}));
  const started = () =>
    site.runners.filter(({requests}) => requests.length > 0);
  await until(() => started().length === site.runners.length);
  cutOff(entry, 'refused', {reset: true});
  for (const runner of site.runners) runner.script = undefined;
  await Promise.all(running);
  await wait(500);
  t.is(entry.node.crashes.evidence.crashes.size, 0);
  t.is(other.node.crashes.evidence.crashes.size, 0);
  t.is((await call(other, {headers})).status, 200);
});

test('a node that some upstreams refuse while others serve delegates nothing', async t => {
  const site = await start(t, 2);
  const [entry] = site.entries;
  await measureServed(entry, 500);
  const ports = site.runners.slice(0, 3).map(({server}) => server.port);
  cutOff(entry, 'refused', {ports});
  t.is(await measureServed(entry, 4_000), 1);
  t.is(await countDelegations(entry), 0);
});

const UNSEALED_HEADERS = {
  'without a seal': {},
  'that names a kind of failure': {'x-failure-kind': 'no-upstream'},
};

for (const [name, unsealed] of Object.entries(UNSEALED_HEADERS)) {
  test(`an answer of an upstream ${name} is no refusal of its delegate`, async t => {
    const site = await start(t, 3);
    const [entry] = site.entries;
    cutOff(entry, 'refused');
    await measureServed(entry, 1_000);
    for (const runner of site.runners)
      runner.script = (_request, response) =>
        void response.writeHead(404, unsealed).end('ran and found nothing');
    const headers = {'x-parsleyarch-attempt-id': 'unsealed'};
    const {status} = await call(entry, {path: '/once/x', headers});
    t.is(status, 502);
    const runs = site.runners
      .flatMap(({requests}) => requests)
      .filter(({attempt}) => attempt === 'unsealed');
    t.is(runs.length, 1);
  });
}
