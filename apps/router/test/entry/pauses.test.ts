/** Tests of a sound upstream that falls silent for a second and goes on. */
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

const wait = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

const PAUSE_MS = 1_100;

async function start(t: ExecutionContext, fields: Record<string, unknown>) {
  const site = await startSite(2);
  t.teardown(() => closeSite(site));
  configure(site, [route({goal_ms: 300, max_attempts: 3, ...fields})]);
  const entry = await startNode(site);
  const [pausing, other] = site.runners;
  let resumed: Promise<unknown> = Promise.resolve();
  const pause = () => {
    resumed = wait(PAUSE_MS);
    return resumed;
  };
  return {entry, pausing, other, pause, resumed: () => resumed};
}

const answerAfter =
  (resumed: () => Promise<unknown>): Script =>
  async (request, response) => {
    await wait(20);
    await resumed();
    response.writeHead(200, createSeal(request)).end('answer');
  };

test('callers are served while an upstream pauses, which is used again soon after', async t => {
  const {entry, pausing, other, pause, resumed} = await start(t, {});
  pausing.script = answerAfter(resumed);
  other.script = answerAfter(() => Promise.resolve());
  const callFor = async (durationMs: number) => {
    const end = performance.now() + durationMs;
    const calls: Promise<number>[] = [];
    while (performance.now() < end) {
      calls.push(call(entry).then(({status}) => status));
      await wait(25);
    }
    return Promise.all(calls);
  };
  await callFor(500);
  const paused = pause();
  const statuses = await callFor(PAUSE_MS);
  await paused;
  t.true(statuses.every(status => status === 200));
  t.is(entry.node.crashes.evidence.crashes.size, 0);
  const before = pausing.requests.length;
  await callFor(5_000);
  t.true(pausing.requests.length > before);
});

test('a request that may not be repeated is answered after the pause of its upstream', async t => {
  const {entry, pausing, other, pause, resumed} = await start(t, {
    kind: 'non_idempotent',
  });
  pausing.script = answerAfter(resumed);
  other.deregister();
  await until(() => entry.node.upstreams.size === 1);
  const answer = call(entry, {method: 'POST'});
  await until(() => pausing.requests.length === 1);
  void pause();
  t.is((await answer).status, 200);
  t.is(pausing.requests.length, 1);
});

test('a stream goes on at its upstream after a pause', async t => {
  const {entry, pausing, other, pause} = await start(t, {
    kind: 'stream',
    resumable: true,
    timeout_ms: 6_000,
    gap_aim_ms: 800,
  });
  for (const runner of [pausing, other])
    runner.script = async (request, response) => {
      response.writeHead(200, {
        ...createSeal(request),
        'content-type': 'text/event-stream',
      });
      for (let id = 1; id <= 4; id += 1) {
        response.write(`id: ${id}\ndata: e${id}\n\n`);
        await (id === 2 ? pause() : wait(50));
      }
      response.end();
    };
  const answer = await call(entry, {
    method: 'POST',
    headers: {'x-parsleyarch-deadline-ms': '6000'},
  });
  t.true(answer.complete);
  t.is(pausing.requests.length + other.requests.length, 1);
});
