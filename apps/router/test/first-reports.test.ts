/** Tests of requests that arrive before a new upstream has reported its load. */
import {chat} from '@parsleyarch/standins/client';
import {startProxy, type FaultProxy} from '@parsleyarch/standins/proxy';
import {
  closeScenario,
  CUSTOMER_KEY,
  startScenario,
} from '@parsleyarch/standins/scenario';
import test from 'ava';
import './exit.js';

const REPORT_DELAY_MS = 300;

test('a request that arrives before the first reports of new upstreams is served', async t => {
  const proxies: FaultProxy[] = [];
  const scenario = await startScenario({
    domains: ['gulberg', 'dha'],
    engineDomains: ['gulberg', 'dha'],
    engine: {coldLimit: 4, warmLimit: 4},
    engineAddress: async engine => {
      const proxy = await startProxy(engine.server.port);
      proxy.fault = () => ({delayMs: REPORT_DELAY_MS});
      proxies.push(proxy);
      return proxy.address;
    },
  });
  t.teardown(async () => {
    await closeScenario(scenario);
    for (const proxy of proxies) await proxy.close();
  });
  for (const {callers} of scenario.cluster.nodes) {
    const answer = await chat(callers, CUSTOMER_KEY, 'early');
    if (!answer.complete) t.log(answer.error);
    t.true(answer.complete);
  }
});
