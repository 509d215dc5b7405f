import {chat, type CallerAnswer} from '@parsleyarch/standins/client';
import {
  applyChanges,
  waitForRevision,
  until,
} from '@parsleyarch/standins/cluster';
import {expectedAnswer} from '@parsleyarch/standins/engine';
import {startProxy} from '@parsleyarch/standins/proxy';
import {
  closeScenario,
  CUSTOMER_KEY,
  startScenario,
  type Scenario,
} from '@parsleyarch/standins/scenario';
import {endOutage, startOutage} from '@parsleyarch/standins/store';
import test from 'ava';
import './exit.js';

/** Time after which nothing new may reach what was taken out of service. */
const REMOVAL_DEADLINE_MS = 4_000;

let scenario: Scenario;

test.before(async () => {
  scenario = await startScenario({
    domains: ['gulberg', 'dha', 'johar'],
    engineDomains: ['gulberg', 'dha', 'johar'],
    engine: {coldLimit: 6, warmLimit: 6},
  });
});

test.after.always(() => closeScenario(scenario));

const engine = (index: number) =>
  [...scenario.engines.instances.values()][index];

interface Load {
  end(): Promise<CallerAnswer[]>;
}

/** Sends requests through all nodes continuously, until ended. */
function startLoad(): Load {
  let running = true;
  const answers: CallerAnswer[] = [];
  const {nodes} = scenario.cluster;
  const loops = nodes.flatMap((node, index) =>
    [0, 1].map(async part => {
      for (let round = 0; running; round += 1) {
        const prompt = `load ${index}/${part}/${round}`;
        const answer = await chat(node.callers, CUSTOMER_KEY, prompt);
        answers.push(answer);
        const version = String(answer.headers['x-version']);
        const expected = expectedAnswer(version, `user: ${prompt}`, 64);
        if (answer.complete && answer.text !== expected)
          throw new Error(`wrong answer to ${prompt}`);
      }
    }),
  );
  return {
    async end() {
      running = false;
      await Promise.all(loops);
      return answers;
    },
  };
}

const wait = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

const domain = (name: string, state: 'in' | 'out') => ({
  kind: 'FailureDomain',
  name,
  spec: {region: 'ulaanbaatar', state},
});

function noneInterrupted(answers: readonly CallerAnswer[]): boolean {
  return answers.every(a => a.complete || a.error?.run === 'not-run');
}

test.serial(
  'a domain taken out under load gets no new requests, and no answer is cut',
  async t => {
    const load = startLoad();
    await wait(400);
    await applyChanges(scenario.cluster.nodes[0], [domain('gulberg', 'out')]);
    await wait(REMOVAL_DEADLINE_MS);
    const since = Date.now();
    await wait(600);
    t.true(engine(0).lastStartedAt < since);
    const answers = await load.end();
    t.true(noneInterrupted(answers));
    t.true(answers.some(answer => answer.complete));
    await applyChanges(scenario.cluster.nodes[1], [domain('gulberg', 'in')]);
  },
);

test.serial('a domain that flaps ends in the state declared last', async t => {
  const load = startLoad();
  let revision = 0;
  for (const state of ['out', 'in', 'out', 'in', 'out'] as const)
    revision = await applyChanges(scenario.cluster.nodes[2], [
      domain('dha', state),
    ]);
  await waitForRevision(scenario.cluster, revision, REMOVAL_DEADLINE_MS);
  await wait(50);
  const since = Date.now();
  await wait(400);
  t.true(engine(1).lastStartedAt < since);
  t.true(noneInterrupted(await load.end()));
  await applyChanges(scenario.cluster.nodes[2], [domain('dha', 'in')]);
});

test.serial('a draining upstream gets no new requests', async t => {
  const [, , declared] = scenario.engines.declarations;
  const load = startLoad();
  const draining = {...declared, spec: {...declared.spec, state: 'draining'}};
  await applyChanges(scenario.cluster.nodes[0], [draining]);
  await wait(REMOVAL_DEADLINE_MS);
  const since = Date.now();
  await wait(400);
  t.true(engine(2).lastStartedAt < since);
  t.true(noneInterrupted(await load.end()));
  await applyChanges(scenario.cluster.nodes[0], [declared]);
});

test.serial('an upstream whose VM is leaving gets no new requests', async t => {
  const {vms} = scenario.cluster.vmList;
  const load = startLoad();
  const vm = {node: 'vm-of-engine-2', address: '', failureDomain: 'dha'};
  vms.set(vm.node, {...vm, state: 'leaving', role: 'upstream'});
  await wait(REMOVAL_DEADLINE_MS);
  const since = Date.now();
  await wait(400);
  t.true(engine(1).lastStartedAt < since);
  t.true(noneInterrupted(await load.end()));
  vms.delete(vm.node);
});

test.serial(
  'an upstream that moves to another address gets requests there',
  async t => {
    const {cluster} = scenario;
    const [declared, ...others] = scenario.engines.declarations;
    const proxy = await startProxy(engine(0).server.port);
    const moved = {
      ...declared,
      spec: {...declared.spec, address: proxy.address},
    };
    const drained = others.map(each => ({
      ...each,
      spec: {...each.spec, state: 'draining'},
    }));
    // Many credit requests for the old address precede the first for the new.
    for (let round = 0; round < 60; round += 1)
      await chat(cluster.nodes[0].callers, CUSTOMER_KEY, `before ${round}`);
    await waitForRevision(
      cluster,
      await applyChanges(cluster.nodes[0], [moved, ...drained]),
    );
    await until('an answer from the new address', async () => {
      const answer = await chat(
        cluster.nodes[0].callers,
        CUSTOMER_KEY,
        'moved',
      );
      return answer.complete;
    });
    t.true(proxy.forwarded.bytes > 0);
    const back = scenario.engines.declarations;
    await waitForRevision(
      cluster,
      await applyChanges(cluster.nodes[0], [...back]),
    );
    await proxy.close();
  },
);

test.serial(
  'a version withdrawn under load gets no new requests, also without the store',
  async t => {
    const {cluster} = scenario;
    const load = startLoad();
    await wait(300);
    const version = (state: string) => ({
      kind: 'Version',
      name: 'hymn-1',
      spec: {model: 'hymn', tokenCost: 20, state},
    });
    await applyChanges(cluster.nodes[0], [version('withdrawn')]);
    startOutage(cluster.store);
    await wait(REMOVAL_DEADLINE_MS);
    const counts = () =>
      [0, 1, 2].map(at => engine(at).startedJobs.get('hymn-1') ?? 0);
    const before = counts();
    await wait(600);
    t.deepEqual(counts(), before);
    endOutage(cluster.store);
    t.true(noneInterrupted(await load.end()));
    const answer = await chat(cluster.nodes[0].callers, CUSTOMER_KEY, 'after');
    t.not(answer.headers['x-version'], 'hymn-1');
    await applyChanges(cluster.nodes[0], [version('active')]);
  },
);

test.serial(
  'no request that waits for an upstream runs after its model is revoked',
  async t => {
    const {cluster} = scenario;
    const customer = (models: unknown[]) => ({
      kind: 'Customer',
      name: 'chapel',
      spec: {
        keyHashes: ['0'.repeat(64)],
        models,
      },
    });
    await applyChanges(cluster.nodes[0], [customer([{model: 'hymn'}])]);
    const load = startLoad();
    const revision = await applyChanges(cluster.nodes[0], [
      {
        kind: 'Customer',
        name: 'choir',
        spec: {
          ...(await choirSpec()),
          models: [{model: 'announce'}],
        },
      },
    ]);
    await waitForRevision(cluster, revision, REMOVAL_DEADLINE_MS);
    await wait(200);
    const counts = () =>
      [0, 1, 2].map(at => engine(at).startedJobs.get('hymn-1') ?? 0);
    const before = counts();
    await wait(300);
    t.deepEqual(counts(), before);
    const answers = await load.end();
    t.true(answers.some(answer => answer.error?.kind === 'model-not-allowed'));
  },
);

async function choirSpec(): Promise<Record<string, unknown>> {
  const {sendOperatorRequest} = await import('@parsleyarch/standins/cluster');
  const answer = await sendOperatorRequest(
    scenario.cluster.nodes[0],
    'GET',
    '/v1/Customer/choir',
  );
  return (answer.json as {spec: Record<string, unknown>}).spec;
}
