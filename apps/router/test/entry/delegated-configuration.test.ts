/** Tests of delegates whose configuration differs from that of the first node. */
import {listen} from '@parsleyarch/router/entry/ingress';
import type {Entry} from '@parsleyarch/router/entry/serve';
import test, {type ExecutionContext} from 'ava';
import * as http from 'node:http';
import '../exit.js';
import {cutOff} from './cutting.js';
import {
  call,
  closeSite,
  configure,
  route,
  send,
  startNode,
  startSite,
  until,
  type Site,
} from './site.js';

const KEYS = {tenants: [{name: 'c1', api_keys: ['k1']}]};
const WITH_KEY = {headers: {authorization: 'Bearer k1'}};
const REQUEST_COUNT = 12;

const versionOf = ({node}: Entry) => node.routes?.table.version ?? 0;

/** Starts nodes of which the first one reaches no upstream. */
async function startCutSite(
  t: ExecutionContext,
  nodes: number,
  changes: Record<string, unknown> = {},
): Promise<Site> {
  const site = await startSite(4);
  t.teardown(() => closeSite(site));
  configure(site, [route()], changes);
  for (let index = 0; index < nodes; index += 1) await startNode(site);
  for (const {node} of site.entries)
    await until(() => node.members.size === nodes);
  const [entry] = site.entries;
  cutOff(entry, 'refused');
  while (!entry.node.reachability.cutOff.has('api'))
    await call(entry, WITH_KEY);
  return site;
}

/** Writes a configuration; one node goes on by the one before. */
async function changeExcept(
  site: Site,
  entry: Entry,
  change: () => void,
): Promise<void> {
  const {routes} = entry.node;
  const before = versionOf(entry);
  change();
  await until(() => site.entries.every(other => versionOf(other) > before));
  entry.node.routes = routes;
}

test('a delegate with an earlier configuration runs no request by it', async t => {
  const site = await startCutSite(t, 3);
  const [entry, behind] = site.entries;
  const [old] = site.runners;
  old.register({service: 'old'});
  const before = versionOf(behind);
  configure(site, [route({service: 'old'})]);
  await until(() => site.entries.every(other => versionOf(other) > before));
  await changeExcept(site, behind, () => configure(site, [route()]));
  const runs = old.requests.length;
  for (let index = 0; index < REQUEST_COUNT; index += 1) {
    t.is((await call(entry)).status, 200);
  }
  t.is(old.requests.length, runs);
});

test('the refusal of a delegate with a later configuration reaches the caller', async t => {
  const site = await startCutSite(t, 2, KEYS);
  const [entry] = site.entries;
  t.is((await call(entry, WITH_KEY)).status, 200);
  await changeExcept(site, entry, () =>
    configure(site, [route()], {tenants: []}),
  );
  t.is((await call(entry, WITH_KEY)).status, 401);
});

test('a request that a node of an earlier release delegates is served', async t => {
  const site = await startCutSite(t, 2);
  const [, other] = site.entries;
  const {status} = await send(other.node.settings.delegation, {
    headers: {'x-peer-key': other.node.peers.key, 'x-delegated-attempts': '2'},
  });
  t.is(status, 200);
});

test('a refusal of a delegate of an earlier release leaves the request to another node', async t => {
  const site = await startCutSite(t, 2);
  const [entry] = site.entries;
  let asked = 0;
  const server = http.createServer((_request, response) => {
    asked += 1;
    response.writeHead(503, {'retry-after': '0.3'}).end('{}');
  });
  t.teardown(() => void server.close());
  const {port} = await listen(server, '127.0.0.1:0');
  const [member] = [...entry.node.members.values()];
  const earlier = {...member, name: 'earlier', delegation: `127.0.0.1:${port}`};
  entry.node.members.set('earlier', earlier);
  for (let index = 0; index < REQUEST_COUNT; index += 1) {
    entry.node.delegates.skipped.clear();
    t.is((await call(entry)).status, 200);
  }
  t.true(asked > 0);
});
