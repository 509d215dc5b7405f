import {chat} from '@parsleyarch/standins/client';
import {
  applyChanges,
  sendOperatorRequest,
  until,
} from '@parsleyarch/standins/cluster';
import {
  closeScenario,
  CUSTOMER_KEY,
  startScenario,
  type Scenario,
} from '@parsleyarch/standins/scenario';
import test from 'ava';
import './exit.js';

let scenario: Scenario;

test.beforeEach(async () => {
  scenario = await startScenario({
    domains: ['gulberg', 'dha', 'johar'],
    engineDomains: ['gulberg', 'dha', 'johar'],
    engine: {coldLimit: 8, warmLimit: 8},
    minStepMs: 300,
  });
});

test.afterEach.always(() => closeScenario(scenario));

async function readRollout(): Promise<{state: string; step: number}> {
  const [node] = scenario.cluster.nodes;
  const answer = await sendOperatorRequest(node, 'GET', '/v1/Rollout/h2');
  return (answer.json as {spec: {state: string; step: number}}).spec;
}

async function startRollout(steps: number[]): Promise<void> {
  const spec = {model: 'hymn', from: 'hymn-1', to: 'hymn-2', steps};
  await applyChanges(scenario.cluster.nodes[0], [
    {kind: 'Rollout', name: 'h2', spec},
  ]);
}

/** Sends one request in each of many new sessions. */
async function sendTraffic(round: number): Promise<void> {
  const {nodes} = scenario.cluster;
  await Promise.all(
    Array.from({length: 12}, (_, index) =>
      chat(nodes[index % nodes.length].callers, CUSTOMER_KEY, 'a verse', {
        headers: {'x-session-id': `s-${round}-${index}`},
      }),
    ),
  );
}

test.serial(
  'a failing version is suspended, rolled back and withdrawn',
  async t => {
    for (const engine of scenario.engines.instances.values())
      engine.errorRate = version => (version === 'hymn-2' ? 0.7 : 0);
    await startRollout([50, 100]);
    let round = 0;
    await until('the roll-back', async () => {
      await sendTraffic((round += 1));
      return (await readRollout()).state === 'rolled-back';
    });
    const [node] = scenario.cluster.nodes;
    const version = await sendOperatorRequest(
      node,
      'GET',
      '/v1/Version/hymn-2',
    );
    const {spec, author} = version.json as {
      spec: {state: string};
      author: string;
    };
    t.is(spec.state, 'withdrawn');
    t.regex(author, /^node\/vm-/);
    const answer = await chat(node.callers, CUSTOMER_KEY, 'after', {
      headers: {'x-session-id': 's-1-0'},
    });
    t.is(answer.headers['x-version'], 'hymn-1');
  },
);

test.serial(
  'a good version is rolled out although its controller is killed',
  async t => {
    await startRollout([20, 60, 100]);
    let round = 0;
    await until('the second step', async () => {
      await sendTraffic((round += 1));
      return (await readRollout()).step >= 1;
    });
    const {nodes, vmList} = scenario.cluster;
    const allocator = await sendOperatorRequest(
      nodes[0],
      'GET',
      '/v1/Allocator/control',
    );
    const holder = (allocator.json as {spec: {node: string}}).spec.node;
    const index = nodes.findIndex(node => node.name === holder);
    await nodes[index].kill();
    nodes.splice(index, 1);
    vmList.vms.delete(holder);
    await until(
      'the roll-out to be done',
      async () => {
        await sendTraffic((round += 1));
        return (await readRollout()).state === 'done';
      },
      60_000,
    );
    const answer = await chat(nodes[0].callers, CUSTOMER_KEY, 'a new session');
    t.is(answer.headers['x-version'], 'hymn-2');
  },
);
