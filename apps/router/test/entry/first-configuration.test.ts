/** Tests of a node between the start of its process and its first configuration. */
import {StoreBehavior} from '@parsleyarch/standins/keyspace';
import {createEntry} from '@parsleyarch/router/entry/serve';
import test, {type ExecutionContext} from 'ava';
import '../exit.js';
import {
  call,
  closeSite,
  configure,
  route,
  settingsFor,
  startSite,
  until,
  type Answer,
  type Site,
} from './site.js';

async function startTestSite(t: ExecutionContext): Promise<Site> {
  const site = await startSite(1);
  t.teardown(() => closeSite(site));
  configure(site, [route()]);
  return site;
}

/** Starts a node and returns its first answer, which may come before it is started. */
async function firstAnswer(site: Site): Promise<Answer> {
  const entry = createEntry(await settingsFor(site.store, 'node-1'));
  site.entries.push(entry);
  void entry.start();
  for (;;) {
    const answer = await call(entry);
    if (answer.status !== 0) return answer;
    await new Promise(resolve => setTimeout(resolve, 1));
  }
}

test('a request that arrives during the first full read is served after it', async t => {
  const site = await startTestSite(t);
  site.store.delayMs = 100;
  t.is((await firstAnswer(site)).status, 200);
});

test('a request is refused, to be retried, while the store does not serve a new node', async t => {
  const site = await startTestSite(t);
  site.store.behavior = StoreBehavior.unavailable;
  const {status, headers} = await firstAnswer(site);
  t.is(status, 503);
  t.true(Number(headers['retry-after']) > 0);
});

test('a request is refused for good only by a configuration', async t => {
  const site = await startSite(1);
  t.teardown(() => closeSite(site));
  t.is((await firstAnswer(site)).status, 503);
});

// At the first start of all nodes each waits a random time before it writes the key.
test('a node that starts beside the key of the nodes registers without that wait', async t => {
  const site = await startTestSite(t);
  site.store.putBytes('router/peer-key', Buffer.from('key-of-the-nodes'));
  const entry = createEntry(await settingsFor(site.store, 'node-1'));
  site.entries.push(entry);
  Object.assign(entry.node, {random: () => 1_000});
  await entry.start();
  await t.notThrowsAsync(
    until(() => site.store.items.has('router/nodes/node-1')),
  );
});
