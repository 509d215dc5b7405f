import {isReady} from '@parsleyarch/router/entry/freshness';
import {createSeal} from '@parsleyarch/standins/runner';
import type {Entry} from '@parsleyarch/router/entry/serve';
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
  type Answer,
  type Site,
} from './site.js';

const wait = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

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

const GRACE_MS = 5_000;
/** Time from the start of a stop after which every new request is refused. */
const REFUSING_MS = 2_200;

/** A node whose upstream works on each request for some time. */
async function startWorkingNode(
  t: ExecutionContext,
  kind: string,
  workMs: number,
): Promise<{site: Site; entry: Entry}> {
  const site = await startSite(1);
  t.teardown(() => closeSite(site));
  configure(site, [route({kind, timeout_ms: 20_000})]);
  const entry = await startNode(site);
  site.runners[0].script = async (seen, response) => {
    await wait(workMs);
    response.writeHead(200, createSeal(seen)).end('whole');
  };
  return {site, entry};
}

/** Sends the header of a request now, and the rest of its body after some time. */
function callSlowly(
  entry: Entry,
  attempt: string,
  bodyMs: number,
): Promise<Answer> {
  const headers = {
    'x-parsleyarch-attempt-id': attempt,
    'x-parsleyarch-deadline-ms': '20000',
    'content-length': '8',
  };
  return call(entry, {
    method: 'POST',
    headers,
    body: 'half',
    onSent: sent => {
      const end = sent.end.bind(sent);
      sent.end = () => {
        sent.write('half');
        setTimeout(() => end('rest'), bodyMs);
        return sent;
      };
    },
  });
}

// Guards against requests that a stop cuts off after it has passed them on.
for (const kind of ['non_idempotent', 'idempotent']) {
  test(`a body (${kind}) that ends late in the grace period is refused, not cut off`, async t => {
    const {site, entry} = await startWorkingNode(t, kind, 1_500);
    const calls: Promise<Answer>[] = [];
    const bodyTimes = [1_900, 2_400, 2_800, 3_200, 3_600, 4_000, 4_400];
    const stopped = entry.stop();
    await wait(300);
    for (const [index, bodyMs] of bodyTimes.entries())
      calls.push(callSlowly(entry, `late-${index}`, bodyMs - 300));
    const answers = await Promise.all(calls);
    await stopped;
    const ran = new Set(site.runners[0].requests.map(({attempt}) => attempt));
    for (const [index, {status, complete}] of answers.entries()) {
      t.true(complete, `body that ended at ${bodyTimes[index]} ms`);
      t.is(status, ran.has(`late-${index}`) ? 200 : 503);
    }
    t.is(answers[0].status, 200);
    t.is(answers.at(-1)!.status, 503);
  });
}

test('a request that ends before the grace period does is served until then', async t => {
  const {entry} = await startWorkingNode(t, 'non_idempotent', 100);
  const stopped = entry.stop();
  const headers = {'x-parsleyarch-deadline-ms': '2500'};
  await wait(REFUSING_MS - 300);
  const answer = await call(entry, {method: 'POST', headers});
  t.is(answer.status, 200);
  await stopped;
});

// Guards against connections that close without an answer at the end of the grace period.
test('requests that are left at the end of the grace period are answered', async t => {
  const {site, entry} = await startWorkingNode(t, 'non_idempotent', 60_000);
  const headers = {'x-parsleyarch-deadline-ms': '20000'};
  const running = call(entry, {method: 'POST', headers});
  const unread = callSlowly(entry, 'unread', 60_000);
  await until(() => site.runners[0].requests.length === 1);
  const startedAt = performance.now();
  await entry.stop();
  t.true(performance.now() - startedAt < GRACE_MS);
  t.is((await running).status, 502);
  t.is((await unread).status, 503);
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
