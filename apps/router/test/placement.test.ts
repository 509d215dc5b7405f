import {chat} from '@parsleyarch/standins/client';
import {
  applyChanges,
  sendOperatorRequest,
  until,
} from '@parsleyarch/standins/cluster';
import type {EngineStandIn} from '@parsleyarch/standins/engine';
import {
  closeScenario,
  CUSTOMER_KEY,
  startScenario,
  type Scenario,
} from '@parsleyarch/standins/scenario';
import test from 'ava';
import './exit.js';

let scenario: Scenario;

test.before(async () => {
  scenario = await startScenario({
    domains: ['gulberg', 'dha', 'johar'],
    engineDomains: ['gulberg', 'gulberg', 'dha', 'johar'],
    engine: {slots: 1, coldLimit: 4, warmLimit: 4},
  });
});

test.after.always(() => closeScenario(scenario));

const engines = (): EngineStandIn[] => [...scenario.engines.instances.values()];
const enginesWith = (version: string) =>
  [...scenario.engines.instances.entries()]
    .filter(([, engine]) => engine.loadedVersions.has(version))
    .map(([name]) => name);

const version = (name: string, minReplicas: number, state = 'active') => ({
  kind: 'Version',
  name,
  spec: {model: 'hymn', tokenCost: 20, minReplicas, state},
});

test.serial(
  'a version is loaded in two failure domains, and then serves',
  async t => {
    await applyChanges(scenario.cluster.nodes[0], [version('hymn-1', 2)]);
    await until('two replicas', () => enginesWith('hymn-1').length === 2);
    const domains = scenario.engines.declarations
      .filter(declared => enginesWith('hymn-1').includes(declared.name))
      .map(declared => declared.spec['failureDomain']);
    t.is(new Set(domains).size, 2);
    await until('an answer', async () => {
      const [node] = scenario.cluster.nodes;
      return (await chat(node.callers, CUSTOMER_KEY, 'placed')).complete;
    });
  },
);

test.serial(
  'replicas in a failure domain that is out are replaced elsewhere',
  async t => {
    const before = enginesWith('hymn-1');
    const [lost] = scenario.engines.declarations.filter(
      declared => declared.name === before[0],
    );
    const name = String(lost.spec['failureDomain']);
    const domain = (state: string) => ({
      kind: 'FailureDomain',
      name,
      spec: {region: 'lahore', state},
    });
    await applyChanges(scenario.cluster.nodes[1], [domain('out')]);
    await until(
      'a replica elsewhere',
      () => enginesWith('hymn-1').length === 3,
    );
    t.pass();
    await applyChanges(scenario.cluster.nodes[1], [domain('in')]);
  },
);

test.serial(
  'a withdrawn version is unloaded and another uses its slots',
  async t => {
    await applyChanges(scenario.cluster.nodes[0], [
      version('hymn-1', 2, 'withdrawn'),
      version('hymn-2', 4),
    ]);
    await until('the new version everywhere', () => {
      return enginesWith('hymn-2').length === 4;
    });
    t.is(enginesWith('hymn-1').length, 0);
  },
);

test.serial(
  'a controller that resumes after a freeze sends no outdated orders',
  async t => {
    const {nodes} = scenario.cluster;
    const allocator = async () => {
      const [first, second] = nodes;
      const asked = first.name === old ? second : first;
      const answer = await sendOperatorRequest(
        asked,
        'GET',
        '/v1/Allocator/control',
      );
      return answer.json as {spec: {node: string}; revision: number};
    };
    let old = '';
    old = (await allocator()).spec.node;
    const frozen = nodes.find(node => node.name === old)!;
    frozen.freeze();
    await until(
      'a new holder',
      async () => (await allocator()).spec.node !== old,
    );
    const {revision} = await allocator();
    const other = nodes.find(node => node !== frozen)!;
    await applyChanges(other, [version('hymn-1', 1), version('hymn-2', 1)]);
    await until('an order of the new holder', () =>
      engines().some(engine => engine.highestFence >= revision),
    );
    const resumedAt = Date.now();
    frozen.thaw();
    await until(
      'hymn-1 to be loaded',
      () => enginesWith('hymn-1').length === 1,
    );
    for (const engine of engines())
      for (const order of engine.orders)
        if (order.at > resumedAt) t.true(order.fence >= revision);
    t.true(enginesWith('hymn-2').length >= 1);
  },
);
