/** Tests of a store that comes back from a copy some seconds old. */
import {
  applyChanges,
  createFeed,
  replaceItems,
} from '@parsleyarch/router/entry/feed';
import {acceptsKeys} from '@parsleyarch/router/entry/freshness';
import {readPrefix} from '@parsleyarch/store/keyspace';
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

async function startNodes(t: ExecutionContext, count: number): Promise<Site> {
  const site = await startSite(2);
  t.teardown(() => closeSite(site));
  configure(site, [route()], {tenants: [{name: 'c1', api_keys: ['k1']}]});
  for (let index = 0; index < count; index += 1) await startNode(site);
  await until(() =>
    site.entries.every(
      ({node}) =>
        node.members.size === count && node.peers.client !== undefined,
    ),
  );
  return site;
}

const knowsEra = (era: number) => (site: Site) =>
  site.entries.every(({node}) => node.feed.era === era);

test('all nodes follow a store that was restored to earlier revisions', async t => {
  const site = await startNodes(t, 4);
  const copy = site.store.copy();
  for (let index = 0; index < 5; index += 1) site.store.put(`op/x${index}`, {});
  const {revision} = site.store;
  await until(() =>
    site.entries.every(({node}) => node.feed.revision === revision),
  );
  site.store.restore(copy);
  // The revisions that were lost are given out again, for other changes.
  for (let index = 0; index < 5; index += 1) site.store.put(`op/y${index}`, {});
  await until(() => knowsEra(1)(site));
  for (const {node} of site.entries) {
    t.false(node.feed.items.has('op/x0'));
    t.true(node.feed.items.has('op/y0'));
  }
  site.store.put('op/evacuate/gulberg', {});
  await until(() =>
    site.entries.every(({node}) => node.evacuated.has('gulberg')),
  );
});

test('nodes register again and keep knowing each other', async t => {
  const site = await startNodes(t, 3);
  site.store.restore(site.store.copy());
  await until(() => knowsEra(1)(site));
  for (const {node} of site.entries) t.is(node.members.size, 3);
  const registered = () =>
    [...site.store.items.keys()].filter(key => key.startsWith('router/nodes/'));
  await until(() => registered().length === 3);
  for (const {node} of site.entries) t.is(node.members.size, 3);
});

test('a configuration that the copy lacks stays in force until it is written again', async t => {
  const site = await startNodes(t, 2);
  const copy = site.store.copy();
  configure(site, [route({path_prefix: '/b/'})], {
    tenants: [{name: 'c1', api_keys: ['k2']}],
  });
  const paths = () =>
    site.entries.map(({node}) => node.routes?.table.routes[0].pathPrefix);
  await until(() => paths().every(path => path === '/b/'));
  site.store.restore(copy);
  await until(() => knowsEra(1)(site));
  t.deepEqual(paths(), ['/b/', '/b/']);
  const withKey = (key: string) => ({
    path: '/b/x',
    headers: {authorization: `Bearer ${key}`},
  });
  t.is((await call(site.entries[0], withKey('k1'))).status, 401);
  t.is((await call(site.entries[0], withKey('k2'))).status, 200);
  t.true(site.entries.every(({node}) => acceptsKeys(node)));
});

test('a domain that the copy does not know to be out stays out for the time of a rewrite', async t => {
  const site = await startNodes(t, 2);
  const copy = site.store.copy();
  site.store.put('op/evacuate/gulberg', {});
  const allOut = () =>
    site.entries.every(({node}) => node.evacuated.has('gulberg'));
  await until(allOut);
  site.store.restore(copy);
  await until(() => knowsEra(1)(site));
  t.true(allOut());
  site.store.put('op/evacuate/gulberg', {});
  site.store.remove('op/evacuate/gulberg');
  await until(() => site.entries.every(({node}) => node.evacuated.size === 0));
});

test('nodes keep their shared key when the copy lacks it', async t => {
  const site = await startNodes(t, 2);
  const copy = site.store.copy();
  const key = site.entries[0].node.peers.key!;
  site.store.restore({
    ...copy,
    items: copy.items.filter(item => item.key !== 'router/peer-key'),
  });
  await until(() => site.store.items.has('router/peer-key'));
  const stored = site.store.items.get('router/peer-key')?.value ?? '';
  t.is(Buffer.from(stored, 'base64').toString(), key);
  const late = await startNode(site);
  await until(() => late.node.peers.key !== undefined);
  t.is(late.node.peers.key, key);
});

test('nodes adopt a shared key that another node wrote first', async t => {
  const site = await startNodes(t, 3);
  const copy = site.store.copy();
  site.store.restore({
    ...copy,
    items: copy.items.filter(item => item.key !== 'router/peer-key'),
  });
  site.store.put('router/peer-key', 'another key');
  const {node} = site.entries[2];
  await until(
    () =>
      node.peers.key !== undefined && node.peers.key.includes('another key'),
  );
  await until(() =>
    site.entries.every(entry => entry.node.peers.key === node.peers.key),
  );
  await until(
    () =>
      node.following.source !== undefined && node.following.skipped.size === 0,
  );
  site.store.put('op/evacuate/gulberg', {});
  await until(() => node.evacuated.has('gulberg'));
  t.true(acceptsKeys(node));
});

/** Brings a roll-out of the version v2 to a phase on all nodes. */
async function rollOut(site: Site, phase: string): Promise<void> {
  site.store.put('op/rollout/api', {
    service: 'api',
    target: 'v2',
    duration_s: 30,
  });
  await until(() =>
    site.entries.every(
      ({node}) => node.versions.plans.get('api')?.plan.phase === phase,
    ),
  );
}

const storedPlan = (site: Site) => {
  const {value = ''} = site.store.items.get('router/rollout/api') ?? {};
  return JSON.parse(Buffer.from(value, 'base64').toString() || '{}');
};

test('a roll-out order that the copy lacks keeps its state when it is written again', async t => {
  const site = await startNodes(t, 2);
  const copy = site.store.copy();
  await rollOut(site, 'waiting');
  const plans = () =>
    site.entries.map(({node}) => node.versions.plans.get('api')?.plan);
  const orders = () => site.entries.map(({node}) => node.orders.get('api'));
  const lostRevision = orders()[0]!.revision;
  for (const {node} of site.entries)
    node.versions.locallyReverted.add(lostRevision);
  site.store.restore(copy);
  await until(() => knowsEra(1)(site));
  t.true(orders().every(order => order !== undefined));
  for (let index = 0; index < 30; index += 1) site.store.put('op/other', {});
  const rewritten = site.store.put('op/rollout/api', {
    service: 'api',
    target: 'v2',
    duration_s: 30,
  });
  await until(() => orders().every(order => order?.revision === rewritten));
  t.true(plans().every(plan => plan?.order === rewritten));
  for (const {node} of site.entries)
    t.true(node.versions.locallyReverted.has(rewritten));
  await until(() => storedPlan(site).order === rewritten);
  await until(() => site.store.items.has('status/rollout/api'));
});

test('a verdict that the copy lacks is not taken back', async t => {
  const site = await startNodes(t, 2);
  site.runners[1].register({version: 'v2'});
  await rollOut(site, 'canary');
  const copy = site.store.copy();
  // The holder writes the verdict; the copy is older.
  const plan = storedPlan(site);
  site.store.put('router/rollout/api', {
    ...plan,
    phase: 'reverted',
    share: 0,
    sequence: plan.sequence + 1,
  });
  const reverted = () =>
    site.entries.every(
      ({node}) => node.versions.plans.get('api')?.plan.phase === 'reverted',
    );
  await until(reverted);
  site.store.restore(copy);
  await until(() => knowsEra(1)(site));
  t.true(reverted());
  await until(() => storedPlan(site).phase === 'reverted');
  t.true(reverted());
  const late = await startNode(site);
  await until(
    () => late.node.versions.plans.get('api')?.plan.phase === 'reverted',
  );
});

test('a holder does not act on the lease of an earlier era', async t => {
  const site = await startNodes(t, 2);
  await rollOut(site, 'waiting');
  const holder = site.entries.find(
    ({node}) => node.holderState.lease !== undefined,
  )!;
  const {leaseEra} = holder.node.holderState;
  const copy = site.store.copy();
  site.store.restore(copy);
  await until(() => knowsEra(1)(site));
  await until(() =>
    site.entries.some(
      ({node}) =>
        node.holderState.lease !== undefined && node.holderState.leaseEra === 1,
    ),
  );
  t.is(leaseEra, 0);
  const holders = site.entries.filter(
    ({node}) => node.holderState.lease !== undefined,
  );
  t.true(holders.every(({node}) => node.holderState.leaseEra === 1));
});

test('a full read is started over when the era changes on the way', async t => {
  const site = await startNodes(t, 1);
  for (let index = 0; index < 50; index += 1)
    site.store.put(`op/old${index}`, {});
  const copy = site.store.copy();
  const {keyspace} = site.entries[0].node;
  const range = keyspace.dialect.range;
  let pages = 0;
  Object.assign(keyspace, {
    dialect: {
      ...keyspace.dialect,
      range: (prefix: string, after: string) => {
        pages += 1;
        if (pages === 2) {
          site.store.restore({
            ...copy,
            items: copy.items.filter(({key}) => !key.startsWith('op/old')),
          });
        }
        return range(prefix, after);
      },
    },
  });
  const all = (await readPrefix(keyspace, ''))._unsafeUnwrap();
  t.is(all.era, 1);
  t.false(all.items.some(({key}) => key.startsWith('op/old')));
});

test('a feed orders items by era first', t => {
  const feed = createFeed(() => {});
  const item = (revision: number) => ({
    key: 'a',
    revision,
    value: Buffer.from('x'),
  });
  replaceItems(feed, {items: [item(90)], revision: 100, era: 1});
  applyChanges(feed, {items: [item(101)], revision: 101, era: 2});
  t.is(feed.revision, 100);
  replaceItems(feed, {items: [item(95)], revision: 95, era: 2});
  t.is(feed.revision, 95);
  replaceItems(feed, {items: [item(200)], revision: 200, era: 1});
  applyChanges(feed, {items: [item(201)], revision: 201, era: 1});
  t.is(feed.items.get('a')?.revision, 95);
});
