/** Tests of what upstreams say of themselves in their answers. */
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
} from './site.js';

async function start(t: ExecutionContext, upstreams: number) {
  const site = await startSite(upstreams);
  t.teardown(() => closeSite(site));
  configure(site, [route({max_attempts: 1})]);
  const entry = await startNode(site);
  return {site, entry};
}

const answerWith =
  (status: number, fields: Record<string, string>): Script =>
  (request, response) =>
    void response
      .writeHead(status, {...createSeal(request), ...fields})
      .end('x');

test('an upstream that says it is leaving gets no request until it starts again', async t => {
  const {site, entry} = await start(t, 2);
  const [leaving] = site.runners;
  leaving.script = answerWith(200, {'Server-Leaving': '1'});
  await until(() => {
    void call(entry);
    return leaving.requests.length > 0;
  });
  await new Promise(resolve => setTimeout(resolve, 200));
  const before = leaving.requests.length;
  for (let sent = 0; sent < 20; sent += 1)
    t.is((await call(entry)).status, 200);
  // The entry may expire in an outage of the store and return.
  leaving.deregister();
  leaving.register();
  await until(() => entry.node.upstreams.size === 2);
  for (let sent = 0; sent < 20; sent += 1)
    t.is((await call(entry)).status, 200);
  t.is(leaving.requests.length, before);
  leaving.script = undefined;
  leaving.register({born: 2});
  await until(() => {
    void call(entry);
    return leaving.requests.length > before;
  });
});

test('a node learns from another one that an upstream is leaving', async t => {
  const {site, entry} = await start(t, 2);
  const other = await startNode(site);
  const [leaving] = site.runners;
  leaving.script = answerWith(200, {'Server-Leaving': '1'});
  await until(() => {
    void call(entry);
    return leaving.requests.length > 0;
  });
  await until(() => other.node.notices.get(leaving.id)?.leaving === true);
  const before = leaving.requests.length;
  for (let sent = 0; sent < 20; sent += 1)
    t.is((await call(other)).status, 200);
  t.is(leaving.requests.length, before);
  leaving.script = undefined;
  leaving.register({born: 2});
  await until(() => {
    void call(other);
    return leaving.requests.length > before;
  });
});

test('a request is refused at once if the only upstream is leaving', async t => {
  const {site, entry} = await start(t, 1);
  site.runners[0].script = answerWith(200, {'Server-Leaving': '1'});
  t.is((await call(entry)).status, 200);
  const refused = await call(entry);
  t.is(refused.status, 503);
  t.is(site.runners[0].requests.length, 1);
});

test('an upstream gets no request for as long as its refusal asks', async t => {
  const {site, entry} = await start(t, 1);
  const [upstream] = site.runners;
  const notRun = {'X-Parsleyarch-Not-Run': '1', 'Retry-After': '1.5'};
  upstream.script = answerWith(503, notRun);
  const refusedAt = performance.now();
  t.is((await call(entry)).status, 503);
  upstream.script = undefined;
  const refused = await call(entry);
  t.is(refused.status, 503);
  t.true(refused.tookMs < 100);
  const retryAfter = Number(refused.headers['retry-after']);
  t.true(retryAfter > 1 && retryAfter <= 1.5);
  t.is(upstream.requests.length, 1);
  await until(() => performance.now() - refusedAt > 1_600);
  t.is((await call(entry)).status, 200);
});

test('other upstreams serve while one wants no requests', async t => {
  const {site, entry} = await start(t, 3);
  const [busy] = site.runners;
  const notRun = {'X-Parsleyarch-Not-Run': '1', 'Retry-After': '5'};
  busy.script = answerWith(503, notRun);
  for (let sent = 0; sent < 30; sent += 1)
    t.is((await call(entry)).status, 200);
  t.true(busy.requests.length <= 1);
});

for (const value of ['soon', '-3', '', 'NaN', '1e999']) {
  test(`a retry-after field of "${value}" is ignored`, async t => {
    const {site, entry} = await start(t, 1);
    const [upstream] = site.runners;
    const notRun = {'X-Parsleyarch-Not-Run': '1', 'Retry-After': value};
    upstream.script = answerWith(503, notRun);
    t.is((await call(entry)).status, 503);
    upstream.script = undefined;
    t.is((await call(entry)).status, 200);
  });
}
