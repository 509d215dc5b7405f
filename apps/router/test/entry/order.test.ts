/** Tests of the order in which requests are served, on one node. */
import {createSeal} from '@parsleyarch/standins/runner';
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

test('a resumed stream is as urgent as its pause objective, not as its first event', async t => {
  const site = await startSite(2);
  t.teardown(() => closeSite(site));
  const stream = {kind: 'stream', resumable: true, gap_aim_ms: 1_000};
  configure(site, [route({...stream, goal_ms: 100})]);
  for (const runner of site.runners)
    runner.script = (request, response) => {
      response.writeHead(200, {
        ...createSeal(request),
        'content-type': 'text/event-stream',
      });
      const isResumed = request.headers['last-event-id'] === '1';
      response.write(`id: ${isResumed ? 2 : 1}\ndata: e\n\n`);
      if (isResumed) response.end();
      else setTimeout(() => response.destroy(), 150);
    };
  const entry = await startNode(site);
  t.true((await call(entry)).complete);
  const requests = site.runners.flatMap(runner => runner.requests);
  const levels = requests.map(({headers}) => [
    headers['last-event-id'],
    headers['x-parsleyarch-request-urgency'],
  ]);
  t.deepEqual(new Map(levels as [string, string][]).get('1'), '0');
});
