import {isReady} from '@parsleyarch/router/entry/freshness';
import {createSeal} from '@parsleyarch/standins/runner';
import test from 'ava';
import '../exit.js';
import {
  call,
  closeSite,
  configure,
  route,
  startNode,
  startSite,
  until,
} from './site.js';

test('a graceful stop completes requests, also those accepted meanwhile', async t => {
  const site = await startSite(1);
  t.teardown(() => closeSite(site));
  configure(site, [route({timeout_ms: 9_000})]);
  const entry = await startNode(site);
  site.runners[0].script = (seen, response) =>
    void setTimeout(
      () => response.writeHead(200, createSeal(seen)).end('late'),
      3_000,
    );
  const headers = {'x-parsleyarch-deadline-ms': '9000'};
  const running = call(entry, {headers, method: 'POST'});
  await until(() => site.runners[0].requests.length === 1);
  const stopped = entry.stop();
  t.false(isReady(entry.node));
  const accepted = call(entry, {headers, method: 'POST'});
  t.is((await running).body, 'late');
  t.is((await accepted).body, 'late');
  await stopped;
  t.is(entry.node.active, 0);
});

test('a stopped node is no longer registered', async t => {
  const site = await startSite(1);
  t.teardown(() => closeSite(site));
  configure(site, [route()]);
  const entry = await startNode(site);
  const registered = () =>
    [...site.store.items.keys()].filter(key => key.startsWith('router/nodes/'));
  await until(() => registered().length === 1);
  entry.node.settings.stop.graceSeconds = 0;
  await entry.stop();
  t.deepEqual(registered(), []);
});
