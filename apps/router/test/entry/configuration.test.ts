import {
  acceptsKeys,
  confirmationAge,
  isReady,
} from '@parsleyarch/router/entry/freshness';
import {StoreBehavior} from '@parsleyarch/standins/keyspace';
import test, {type ExecutionContext} from 'ava';
import '../exit.js';
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

async function withSite(
  t: ExecutionContext,
  run: (site: Site) => Promise<void>,
) {
  const site = await startSite(2);
  t.teardown(() => closeSite(site));
  await run(site);
}

const TENANTS = {
  tenants: [
    {name: 'c1', api_keys: ['k1']},
    {name: 'c2', api_keys: ['k2']},
  ],
};
const withKey = (key: string) => ({headers: {authorization: `Bearer ${key}`}});

test('a node without a configuration answers 503 and is not ready', async t =>
  withSite(t, async site => {
    const entry = await startNode(site);
    t.is((await call(entry)).status, 503);
    t.false(isReady(entry.node));
    configure(site, [route()]);
    await until(() => isReady(entry.node));
    t.is((await call(entry)).status, 200);
  }));

test('a new configuration is in force within two seconds', async t =>
  withSite(t, async site => {
    configure(site, [route()]);
    const entry = await startNode(site);
    t.is((await call(entry, {path: '/b/x'})).status, 404);
    const changedAt = performance.now();
    configure(site, [route({path_prefix: '/b/'})]);
    await until(() => entry.node.routes?.table.routes[0].pathPrefix === '/b/');
    t.true(performance.now() - changedAt < 2_000);
    t.is((await call(entry, {path: '/b/x'})).status, 200);
    t.is((await call(entry)).status, 404);
  }));

test('lost history causes a full read, and no older configuration applies', async t =>
  withSite(t, async site => {
    configure(site, [route()]);
    const entry = await startNode(site);
    const {version} = entry.node.routes!.table;
    site.store.compactedRevision = Infinity;
    configure(site, [route({path_prefix: '/b/'})]);
    site.store.server.resetConnections();
    await until(() => entry.node.routes!.table.version > version);
    site.store.compactedRevision = 0;
    t.is((await call(entry, {path: '/b/x'})).status, 200);
  }));

test('entries that cannot be decoded leave the configuration in force', async t =>
  withSite(t, async site => {
    configure(site, [route()]);
    const entry = await startNode(site);
    site.store.put('op/config', {version: 'x'});
    site.store.put('servers/i-odd', {service: 4});
    site.store.put('servers/i-0', 'text');
    await until(() => entry.node.upstreams.size === 1);
    t.is((await call(entry)).status, 200);
  }));

test('keys determine the customer and are not forwarded', async t =>
  withSite(t, async site => {
    configure(
      site,
      [route(), route({name: 'p', path_prefix: '/p/', public: true})],
      TENANTS,
    );
    const entry = await startNode(site);
    t.is((await call(entry)).status, 401);
    t.is((await call(entry, withKey('k3'))).status, 401);
    t.is((await call(entry, {path: '/p/x'})).status, 200);
    const forged = {authorization: 'Bearer k1', 'x-parsleyarch-tenant': 'c2'};
    t.is((await call(entry, {headers: forged})).status, 200);
    const seen = site.runners.flatMap(runner => runner.requests).at(-1)!;
    const all = site.runners.flatMap(runner => runner.requests);
    t.true(all.some(({headers}) => headers['x-parsleyarch-tenant'] === 'c1'));
    t.true(all.every(({headers}) => headers.authorization === undefined));
    t.truthy(seen.headers['x-parsleyarch-expect-runner']);
  }));

test('keys are refused once the configuration may be outdated', async t =>
  withSite(t, async site => {
    configure(site, [route()], TENANTS);
    const entry = await startNode(site, {
      keys: {failClosed: true, revokeMs: 2_500},
    });
    t.is((await call(entry, withKey('k1'))).status, 200);
    site.store.behavior = StoreBehavior.unresponsive;
    site.store.server.resetConnections();
    const lostAt = performance.now();
    await until(() => !acceptsKeys(entry.node));
    t.true(performance.now() - lostAt < 2_500);
    t.false(isReady(entry.node));
    const refused = await call(entry, withKey('k1'));
    t.is(refused.status, 503);
    t.truthy(refused.headers['retry-after']);
    site.store.behavior = StoreBehavior.normal;
    await until(() => acceptsKeys(entry.node));
    t.is((await call(entry, withKey('k1'))).status, 200);
  }));

test.serial('the confirmation age includes time of suspension', async t =>
  withSite(t, async site => {
    configure(site, [route()], TENANTS);
    const {node} = await startNode(site);
    t.true(acceptsKeys(node));
    // The monotonic clock does not advance while the wall clock does.
    const {now} = Date;
    try {
      Date.now = () => now() + 20_000;
      t.true(confirmationAge(node) > 19_000);
      t.false(acceptsKeys(node));
    } finally {
      Date.now = now;
    }
    await until(() => acceptsKeys(node));
  }),
);

test('draining upstreams and evacuated domains get no new requests', async t =>
  withSite(t, async site => {
    configure(site, [route()]);
    const entry = await startNode(site);
    site.runners[0].register({state: 'draining'});
    await until(
      () => entry.node.upstreams.get('i-0')?.registered.draining === true,
    );
    for (let i = 0; i < 6; i += 1) t.is((await call(entry)).status, 200);
    t.is(site.runners[0].requests.length, 0);
    site.store.put('op/evacuate/gulberg', {});
    await until(() => entry.node.evacuated.has('gulberg'));
    const refused = await call(entry);
    t.is(refused.status, 503);
    site.store.remove('op/evacuate/gulberg');
    await until(() => entry.node.evacuated.size === 0);
    t.is((await call(entry)).status, 200);
  }));

test('upstreams whose entries expire in a store outage are kept briefly', async t =>
  withSite(t, async site => {
    configure(site, [route()]);
    const entry = await startNode(site);
    site.store.behavior = StoreBehavior.unavailable;
    site.store.server.resetConnections();
    await new Promise(resolve => setTimeout(resolve, 300));
    site.runners[0].deregister();
    site.store.behavior = StoreBehavior.normal;
    await until(
      () => entry.node.upstreams.get('i-0')?.missingSince !== undefined,
    );
    t.true(entry.node.upstreams.has('i-0'));
    await until(() => !entry.node.upstreams.has('i-0'));
    t.is((await call(entry)).status, 200);
  }));

test('an upstream refuses requests meant for another at its address', async t =>
  withSite(t, async site => {
    configure(site, [route({kind: 'non_idempotent'})]);
    const entry = await startNode(site);
    // i-9 is registered at the address of i-0.
    site.store.put('servers/i-9', {
      service: 'api',
      addr: `127.0.0.1:${site.runners[0].server.port}`,
      zone: 'gulberg',
      version: 'v1',
      slots: 8,
      state: 'ready',
      cold_left_ms: 0,
      born: 2,
    });
    site.runners[0].deregister();
    site.runners[1].deregister();
    await until(() => entry.node.upstreams.size === 1);
    const answer = await call(entry, {method: 'POST'});
    t.is(answer.status, 503);
    t.is(site.runners[0].requests.length, 0);
  }));

test('oversized headers get 431 and oversized bodies 413', async t =>
  withSite(t, async site => {
    configure(site, [route()]);
    const entry = await startNode(site);
    t.is((await call(entry, {headers: {big: 'x'.repeat(5_000)}})).status, 431);
    t.is(
      (await call(entry, {method: 'POST', body: 'x'.repeat(100_001)})).status,
      413,
    );
    t.is(
      (await call(entry, {method: 'POST', body: 'x'.repeat(99_000)})).status,
      200,
    );
  }));

test('a node that may have missed a change refuses nothing for good', async t =>
  withSite(t, async site => {
    configure(site, [route()], TENANTS);
    const {node, ...entry} = await startNode(site);
    const unknownPath = () =>
      call({node, ...entry}, {path: '/b/x', ...withKey('k1')});
    const unknownKey = () => call({node, ...entry}, withKey('k3'));
    t.is((await unknownPath()).status, 404);
    t.is((await unknownKey()).status, 401);
    site.store.behavior = StoreBehavior.unresponsive;
    await until(
      () => confirmationAge(node) > node.settings.configuration.applyMs,
    );
    for (const refused of [await unknownPath(), await unknownKey()]) {
      t.is(refused.status, 503);
      t.truthy(refused.headers['retry-after']);
    }
    t.is((await call({node, ...entry}, withKey('k1'))).status, 200);
  }));
