/** Tests of the limits that upstreams name, which hold for all nodes together. */
import {createSeal, type Script} from '@parsleyarch/standins/runner';
import test, {type ExecutionContext} from 'ava';
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

/** Window in which arrivals are counted, milliseconds. */
const WINDOW_MS = 4_000;
/** Time after which all nodes must keep to a new limit, milliseconds. */
const CONTACT_MS = 3_000;

const answerWithLimit =
  (perSecond: () => number | undefined): Script =>
  (request, response) => {
    const limit = perSecond();
    response
      .writeHead(200, {
        ...createSeal(request),
        ...(limit === undefined ? {} : {'Server-Limit': String(limit)}),
      })
      .end('answer');
  };

async function start(
  t: ExecutionContext,
  {nodes, upstreams}: {nodes: number; upstreams: number},
): Promise<Site> {
  const site = await startSite(upstreams);
  t.teardown(() => closeSite(site));
  configure(site, [route()]);
  for (let index = 0; index < nodes; index += 1) await startNode(site);
  for (const {node} of site.entries)
    await until(() => node.members.size === nodes);
  return site;
}

/** Sends a request to each node at an interval; returns the statuses in order. */
async function sendFor(
  {entries}: Site,
  durationMs: number,
  intervalMs: number,
): Promise<number[]> {
  const end = performance.now() + durationMs;
  const calls: Promise<number>[] = [];
  while (performance.now() < end) {
    for (const entry of entries)
      calls.push(call(entry).then(({status}) => status));
    await wait(intervalMs);
  }
  return Promise.all(calls);
}

/** Largest number of arrivals in a window after a moment. */
function countMost(arrivals: readonly number[], after: number): number {
  const counted = arrivals.filter(at => at >= after);
  return Math.max(
    0,
    ...counted.map(
      first =>
        counted.filter(at => at >= first && at < first + WINDOW_MS).length,
    ),
  );
}

for (const limit of [0.5, 2.6]) {
  test(`an upstream with a limit of ${limit} gets no more than that from all nodes together`, async t => {
    const site = await start(t, {nodes: 5, upstreams: 3});
    const [limited] = site.runners;
    limited.script = answerWithLimit(() => limit);
    const startedAt = performance.now();
    const statuses = await sendFor(site, CONTACT_MS + WINDOW_MS + 1_000, 100);
    t.deepEqual(
      statuses.filter(status => status !== 200),
      [],
    );
    const arrivals = limited.requests.map(({at}) => at);
    const allowed = Math.floor(1.5 * limit * (WINDOW_MS / 1_000) + 5);
    const most = countMost(arrivals, startedAt + CONTACT_MS);
    t.log(`${most} arrivals in 4 s, ${allowed} allowed`);
    t.true(most <= allowed);
    t.true(most > 0);
  });
}

test('a node keeps to a limit that it knows from another node only', async t => {
  const site = await start(t, {nodes: 2, upstreams: 2});
  const [limited] = site.runners;
  const [first, second] = site.entries;
  limited.script = answerWithLimit(() => 0);
  await until(() => {
    void call(first);
    return second.node.statements.limit.has(limited.id);
  });
  await wait(200);
  const before = limited.requests.length;
  for (let sent = 0; sent < 30; sent += 1)
    t.is((await call(second)).status, 200);
  t.true(limited.requests.length - before <= 1);
});

test('a limit ends on all nodes once the upstream no longer names it', async t => {
  const site = await start(t, {nodes: 3, upstreams: 2});
  const [limited] = site.runners;
  let limit: number | undefined = 4;
  limited.script = answerWithLimit(() => limit);
  const knowLimit = (perSecond?: number) => () => {
    for (const entry of site.entries) void call(entry);
    return site.entries.every(({node}) => {
      const known = node.statements.limit.get(limited.id);
      return known !== undefined && known.value === perSecond;
    });
  };
  await until(knowLimit(4));
  limit = 2;
  await until(knowLimit(2));
  limit = undefined;
  await until(knowLimit(undefined));
  await wait(1_000);
  t.true(knowLimit(undefined)());
});

test('the limit of an earlier incarnation does not bind a later one', async t => {
  const site = await start(t, {nodes: 1, upstreams: 1});
  const [limited] = site.runners;
  limited.script = answerWithLimit(() => 0.1);
  const [entry] = site.entries;
  t.is((await call(entry)).status, 200);
  t.is((await call(entry)).status, 503);
  limited.script = undefined;
  limited.register({born: 2});
  await until(
    () => entry.node.upstreams.get('i-0')?.registered.incarnation === 2,
  );
  for (let sent = 0; sent < 5; sent += 1) t.is((await call(entry)).status, 200);
});

test('requests beyond the limits of all upstreams are refused at once', async t => {
  const site = await start(t, {nodes: 1, upstreams: 2});
  for (const upstream of site.runners)
    upstream.script = answerWithLimit(() => 0.5);
  const [entry] = site.entries;
  for (let sent = 0; sent < 2; sent += 1) t.is((await call(entry)).status, 200);
  const refused = await call(entry);
  t.is(refused.status, 503);
  t.true(refused.tookMs < 200);
  const retryAfter = Number(refused.headers['retry-after']);
  t.true(retryAfter > 0.5 && retryAfter <= 4);
});

test('a field that names no usable limit is ignored', async t => {
  const site = await start(t, {nodes: 1, upstreams: 1});
  const [upstream] = site.runners;
  const [entry] = site.entries;
  for (const value of ['', 'few', '-1', '1e999', 'NaN']) {
    upstream.script = (request, response) =>
      void response
        .writeHead(200, {...createSeal(request), 'Server-Limit': value})
        .end('answer');
    t.is((await call(entry)).status, 200);
    t.is((await call(entry)).status, 200);
  }
  t.is(entry.node.statements.limit.size, 0);
});

test('an answer is not discarded for a larger model if no upstream may get another send', async t => {
  const site = await startSite(1);
  t.teardown(() => closeSite(site));
  const models = [
    {name: 'small', cost: 0.1},
    {name: 'large', cost: 1},
  ];
  configure(
    site,
    [route({kind: 'stream', resumable: true, sizes: ['small', 'large']})],
    {services: [{name: 'api', health_path: '/healthz', engine: {models}}]},
  );
  const entry = await startNode(site);
  await until(() => entry.node.members.size === 1);
  const [upstream] = site.runners;
  upstream.script = (request, response) =>
    void response
      .writeHead(200, {
        ...createSeal(request),
        'content-type': 'text/event-stream',
        'Server-Limit': '0.1',
        'X-Parsleyarch-Confidence': '10',
      })
      .end('id: 1\ndata: answer\n\n');
  const answer = await call(entry, {
    method: 'POST',
    headers: {'x-parsleyarch-model': '*'},
  });
  t.is(answer.status, 200);
  t.true(answer.body.includes('answer'));
  t.is(upstream.requests.length, 1);
});
