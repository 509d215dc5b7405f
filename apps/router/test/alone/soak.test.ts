/**
 * Clients outside the limits beside ordinary callers, planned stops and restarts, drawn
 * by seed. `SOAK_SEEDS=3,4,5` plays others than those of the script.
 */
import test, {type ExecutionContext} from 'ava';
import fc from 'fast-check';
import {once} from 'node:events';
import '../exit.js';
import {
  attemptId,
  closeSite,
  configure,
  route,
  send,
  startSite,
  type Site,
} from '../entry/site.js';
import {
  checkNode,
  checkProcess,
  chunk,
  head,
  KB,
  openCrowd,
  startNodeProcess,
  wait,
  type NodeProcess,
  type Script,
} from './crowd.js';

const SEEDS = (process.env.SOAK_SEEDS ?? '1,2').split(',').map(Number);
const MACHINE = {memoryMb: 200, maxDescriptors: 600};
const NODE_COUNT = 3;
const ACTION_COUNT = 16;
const ACTION_MS = 700;
const ORDINARY_MS = 30;
/** Actions after which a node is stopped and started again. */
const STOP_EACH = 5;
/** Statuses that promise that a request has not run and never will. */
const NOT_RUN = new Set([408, 421, 429, 503]);

const chunked = {'transfer-encoding': 'chunked'};
const SCRIPTS: Readonly<Record<string, () => Script>> = {
  large: () => ({head: head(chunked), piece: chunk(64 * KB), count: 15}),
  tiny: () => ({
    head: head(chunked),
    piece: Buffer.from('1\r\nx\r\n'.repeat(KB)),
    count: 20,
  }),
  announced: () => ({
    head: head({'content-length': 1e12}),
    piece: Buffer.alloc(64 * KB),
    count: 20,
  }),
  header: () => ({
    head: `POST /a/x HTTP/1.1\r\nx: ${'x'.repeat(12 * KB)}`,
    trickle: true,
  }),
  pipelined: () => ({
    head: '',
    piece: Buffer.from(head({method: 'GET'}).repeat(50)),
    reads: false,
  }),
};

const actions = fc.array(
  fc.record({
    script: fc.constantFrom(...Object.keys(SCRIPTS)),
    size: fc.integer({min: 10, max: 60}),
    node: fc.nat(NODE_COUNT - 1),
    holdMs: fc.integer({min: 0, max: 4_000}),
  }),
  {minLength: ACTION_COUNT, maxLength: ACTION_COUNT},
);

/** Sends ordinary requests until it is ended; returns how each was answered. */
function startOrdinary(nodes: readonly NodeProcess[]) {
  const statuses = new Map<string, number>();
  const wrong: string[] = [];
  const pending: Promise<void>[] = [];
  const sendOne = async (node: NodeProcess) => {
    const attempt = attemptId();
    const answer = await send(node.settings.callers, {
      path: '/once/x',
      method: 'POST',
      headers: {'x-parsleyarch-attempt-id': attempt},
      body: attempt,
    });
    statuses.set(attempt, answer.status);
    const isRight = answer.body.endsWith(` ran ${attempt}`);
    if (answer.status === 200 && !isRight) wrong.push(attempt);
  };
  let turn = 0;
  const timer = setInterval(() => {
    turn += 1;
    pending.push(sendOne(nodes[turn % nodes.length]));
  }, ORDINARY_MS);
  return async () => {
    clearInterval(timer);
    await Promise.all(pending);
    return {statuses, wrong};
  };
}

async function replaceNode(t: ExecutionContext, node: NodeProcess) {
  checkProcess(t, node);
  node.child.kill('SIGTERM');
  await once(node.child, 'exit');
  t.is(node.child.exitCode, 0);
  node.restart();
}

function checkAnswers(
  t: ExecutionContext,
  site: Site,
  statuses: ReadonlyMap<string, number>,
): void {
  const runs = new Map<string, number>();
  for (const {path, attempt} of site.runners.flatMap(r => r.requests)) {
    if (path === '/once/x') runs.set(attempt, (runs.get(attempt) ?? 0) + 1);
  }
  const repeated = [...runs].filter(([, count]) => count > 1);
  const untrue = [...statuses].filter(
    ([attempt, status]) => NOT_RUN.has(status) && runs.has(attempt),
  );
  t.log(`${statuses.size} ordinary requests, ${runs.size} run`);
  t.deepEqual(repeated, []);
  t.deepEqual(untrue, []);
}

for (const seed of SEEDS) {
  test.serial(`processes live beside such clients, seed ${seed}`, async t => {
    const site = await startSite(3);
    t.teardown(() => closeSite(site));
    const once = {name: 'once', path_prefix: '/once/', kind: 'non_idempotent'};
    configure(site, [route(), route(once)]);
    const nodes: NodeProcess[] = [];
    for (let index = 1; index <= NODE_COUNT; index += 1)
      nodes.push(await startNodeProcess(t, site, `node-${index}`, MACHINE));
    await wait(1_000);
    const end = startOrdinary(nodes);
    let replacement = Promise.resolve();
    for (const [index, action] of fc
      .sample(actions, {seed, numRuns: 1})[0]
      .entries()) {
      const {callers} = nodes[action.node].settings;
      void openCrowd(t, callers, action.size, SCRIPTS[action.script]).then(
        close => setTimeout(close, action.holdMs),
      );
      if (index % STOP_EACH === STOP_EACH - 1) {
        const node = nodes[Math.floor(index / STOP_EACH) % NODE_COUNT];
        replacement = replacement.then(() => replaceNode(t, node));
      }
      await wait(ACTION_MS);
    }
    await replacement;
    await wait(1_000);
    const {statuses, wrong} = await end();
    for (const node of nodes) await checkNode(t, node);
    t.deepEqual(wrong, []);
    checkAnswers(t, site, statuses);
  });
}
