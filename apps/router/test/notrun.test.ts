import {send} from '@parsleyarch/standins/client';
import {declare, inForce} from '@parsleyarch/standins/cluster';
import {startProxy, type FaultProxy} from '@parsleyarch/standins/proxy';
import {
  closeScenario,
  CUSTOMER_KEY,
  startScenario,
  type Scenario,
} from '@parsleyarch/standins/scenario';
import test from 'ava';
import './exit.js';

let scenario: Scenario;
let proxy: FaultProxy;

test.before(async () => {
  scenario = await startScenario({
    domains: ['gulberg', 'dha'],
    engineDomains: [],
    serviceDomains: ['gulberg'],
  });
  const [instance] = scenario.services.instances.values();
  const [declared] = scenario.services.declarations;
  proxy = await startProxy(instance.server.port);
  const spec = {...declared.spec, address: proxy.address};
  const revision = await declare(scenario.cluster.nodes[0], [
    {...declared, spec},
  ]);
  await inForce(scenario.cluster, revision);
});

test.after.always(async () => {
  await closeScenario(scenario);
  await proxy.close();
});

test.serial(
  '"not run" is true whatever byte the connection is cut at',
  async t => {
    const [instance] = scenario.services.instances.values();
    const [node] = scenario.cluster.nodes;
    let told = 0;
    for (let cutUpAt = 0; cutUpAt < 420; cutUpAt += 15) {
      // Report streams must stay: only order connections are cut.
      proxy.fault = () => ({cutUpAt});
      const id = `cut-${cutUpAt}`;
      const answer = await send(node.callers, {
        path: '/services/board/orders',
        key: CUSTOMER_KEY,
        headers: {'idempotency-key': id},
        body: {id},
      });
      proxy.fault = () => ({});
      const runs = instance.runs.get(id) ?? 0;
      t.true(runs <= 1);
      if (answer.error?.run === 'not-run') t.is(runs, 0, id);
      if (answer.status === 200) t.is(runs, 1, id);
      if (answer.error) told += 1;
    }
    t.true(told > 0);
  },
);

test.serial(
  'a refused connection is not run, and the key can be used again',
  async t => {
    const [instance] = scenario.services.instances.values();
    const [node] = scenario.cluster.nodes;
    const order = () =>
      send(node.callers, {
        path: '/services/board/orders',
        key: CUSTOMER_KEY,
        headers: {'idempotency-key': 'refused', 'x-deadline-ms': '4000'},
        body: {id: 'refused'},
      });
    proxy.partition(true);
    const refused = await order();
    t.is(refused.error?.run, 'not-run');
    t.is(instance.runs.get('refused') ?? 0, 0);
    proxy.partition(false);
    let answer = await order();
    for (let tries = 0; answer.status !== 200 && tries < 100; tries += 1) {
      await new Promise(resolve => setTimeout(resolve, 50));
      answer = await order();
    }
    t.is(answer.status, 200, answer.text);
    t.is(instance.runs.get('refused'), 1);
  },
);
