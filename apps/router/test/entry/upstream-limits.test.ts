/** Tests of the limits that upstreams name, which hold for all nodes together. */
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
  type Site,
} from './site.js';

const wait = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

/** Window in which arrivals are counted, milliseconds. */
const WINDOW_MS = 4_000;
/** Time after which all nodes must keep to a new limit, milliseconds. */
const CONTACT_MS = 3_000;

const answerWithLimit =
  (perSecond: () => number | undefined): Script =>
  (request, response) => {
    const limit = perSecond();
    response
      .writeHead(200, {
        ...createSeal(request),
        ...(limit === undefined ? {} : {'Server-Limit': String(limit)}),
      })
      .end('answer');
  };

async function start(
  t: ExecutionContext,
  {nodes, upstreams}: {nodes: number; upstreams: number},
): Promise<Site> {
  const site = await startSite(upstreams);
  t.teardown(() => closeSite(site));
  configure(site, [route()]);
  for (let index = 0; index < nodes; index += 1) await startNode(site);
  for (const {node} of site.entries)
    await until(() => node.members.size === nodes);
  return site;
}

/** Sends a request to each node at an interval; returns the statuses in order. */
async function sendFor(
  {entries}: Site,
  durationMs: number,
  intervalMs: number,
): Promise<number[]> {
  const end = performance.now() + durationMs;
  const calls: Promise<number>[] = [];
  while (performance.now() < end) {
    for (const entry of entries)
      calls.push(call(entry).then(({status}) => status));
    await wait(intervalMs);
  }
  return Promise.all(calls);
}

/** Largest number of arrivals in a window after a moment. */
function countMost(arrivals: readonly number[], after: number): number {
  const counted = arrivals.filter(at => at >= after);
  return Math.max(
    0,
    ...counted.map(
      first =>
        counted.filter(at => at >= first && at < first + WINDOW_MS).length,
    ),
  );
}

for (const limit of [0.5, 2.6]) {
  test(`an upstream with a limit of ${limit} gets no more than that from all nodes together`, async t => {
    const site = await start(t, {nodes: 5, upstreams: 3});
    const [limited] = site.runners;
    limited.script = answerWithLimit(() => limit);
    const startedAt = performance.now();
    const statuses = await sendFor(site, CONTACT_MS + WINDOW_MS + 1_000, 50);
    t.true(statuses.every(status => status === 200));
    const arrivals = limited.requests.map(({at}) => at);
    const allowed = Math.floor(1.5 * limit * (WINDOW_MS / 1_000) + 5);
    const most = countMost(arrivals, startedAt + CONTACT_MS);
    t.log(`${most} arrivals in 4 s, ${allowed} allowed`);
    t.true(most <= allowed);
    t.true(most > 0);
  });
}
