/** Tests of the order in which requests are served, on one node. */
import test from 'ava';
import {
  call,
  closeSite,
  configure,
  route,
  startNode,
  startSite,
} from './site.js';

test('sends carry an urgency by the priority and the time left', async t => {
  const site = await startSite(1);
  t.teardown(() => closeSite(site));
  const urgent = {name: 'u', path_prefix: '/u/', priority: -3};
  const late = {name: 'l', path_prefix: '/l/', priority: 2, goal_ms: 1};
  configure(site, [route(urgent), route({priority: 70}), route(late)]);
  const entry = await startNode(site);
  for (const path of ['/u/x', '/a/x', '/l/x']) await call(entry, {path});
  const levels = site.runners[0].requests.map(({headers}) =>
    Number(headers['x-parsleyarch-request-urgency']),
  );
  // Priorities rank as -3, 2, 70; an objective of 1 ms cannot be met.
  t.deepEqual(levels, [0, 4, 8]);
});
