import {chat} from '@parsleyarch/standins/client';
import {
  waitForPeers,
  addNode,
  waitUntilReady,
} from '@parsleyarch/standins/cluster';
import {expectedAnswer} from '@parsleyarch/standins/engine';
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
    engineDomains: ['gulberg', 'dha', 'johar'],
    engine: {coldLimit: 8, warmLimit: 8, tokenMs: 80},
  });
});

test.after.always(() => closeScenario(scenario));

test.serial(
  'each node in turn stops during streams and cuts none off',
  async t => {
    const {cluster} = scenario;
    for (let round = 0; round < 3; round += 1) {
      const [stopping] = cluster.nodes;
      const prompts = Array.from({length: 6}, (_, at) => `stop ${round}/${at}`);
      const streams = prompts.map(prompt =>
        chat(stopping.callers, CUSTOMER_KEY, prompt),
      );
      await new Promise(resolve => setTimeout(resolve, 200));
      const code = await stopping.stop();
      t.is(code, 0);
      for (const [index, stream] of streams.entries()) {
        const answer = await stream;
        const version = String(answer.headers['x-version']);
        const expected = expectedAnswer(version, `user: ${prompts[index]}`, 64);
        t.true(
          answer.complete,
          JSON.stringify(answer.error ?? answer.connectionError),
        );
        t.is(answer.text, expected);
      }
      cluster.nodes.shift();
      cluster.vmList.vms.delete(stopping.name);
      await waitUntilReady(
        await addNode(cluster, `vm-new-${round}`, 'gulberg'),
      );
      for (const node of cluster.nodes) await waitForPeers(node);
    }
  },
);
