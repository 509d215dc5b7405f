import {chat} from '@parsleyarch/standins/client';
import {applyChanges, waitForRevision} from '@parsleyarch/standins/cluster';
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
    domains: ['gulberg', 'dha', 'johar', 'gulberg'],
    engineDomains: ['gulberg', 'dha', 'johar'],
    engine: {coldLimit: 6, warmLimit: 6},
    minStepMs: 600_000,
  });
});

test.after.always(() => closeScenario(scenario));

const SESSIONS = 16;
const versions = new Map<string, string>();
const tokens = new Map<string, string>();

/**
 * Sends one request in every session, each round through another node. Returns
 * the sessions whose version has changed.
 */
async function listMovedSessions(round: number): Promise<string[]> {
  const {nodes} = scenario.cluster;
  const changed: string[] = [];
  for (let index = 0; index < SESSIONS; index += 1) {
    const node = nodes[(index + round) % nodes.length];
    const session = `leader-${index}`;
    const hasCallerId = index % 2 === 0;
    const token = tokens.get(session);
    const headers: Record<string, string> = hasCallerId
      ? {'x-session-id': session}
      : token
        ? {'x-session': token}
        : {};
    const answer = await chat(node.callers, CUSTOMER_KEY, 'verse', {headers});
    if (!answer.complete) continue;
    tokens.set(session, String(answer.headers['x-session']));
    const version = String(answer.headers['x-version']);
    if ((versions.get(session) ?? version) !== version) changed.push(session);
    versions.set(session, version);
  }
  return changed;
}

const rollout = (step: number) => ({
  kind: 'Rollout',
  name: 'h2',
  spec: {
    model: 'hymn',
    from: 'hymn-1',
    to: 'hymn-2',
    steps: [0, 50, 100],
    step,
    state: 'paused',
  },
});

test.serial('sessions keep their version while a roll-out runs', async t => {
  for (const step of [0, 1, 2]) {
    const revision = await applyChanges(scenario.cluster.nodes[0], [
      rollout(step),
    ]);
    await waitForRevision(scenario.cluster, revision);
    t.deepEqual(await listMovedSessions(step), []);
  }
  t.is(versions.size, SESSIONS);
  const fresh = await chat(
    scenario.cluster.nodes[0].callers,
    CUSTOMER_KEY,
    'x',
  );
  t.is(fresh.headers['x-version'], 'hymn-2');
});

test.serial(
  'sessions keep their version while nodes are killed one by one',
  async t => {
    const {cluster} = scenario;
    t.true([...versions.values()].includes('hymn-1'));
    for (let round = 0; round < 2; round += 1) {
      const [killed] = cluster.nodes;
      await killed.kill();
      cluster.nodes.shift();
      cluster.vmList.vms.delete(killed.name);
      // Pins are replicated again once the other nodes detect the failure.
      await new Promise(resolve => setTimeout(resolve, 6_000));
      t.deepEqual(await listMovedSessions(round), []);
    }
  },
);

test.serial('a planned stop hands pins over', async t => {
  const {cluster} = scenario;
  const [stopping] = cluster.nodes;
  t.is(await stopping.stop(), 0);
  cluster.nodes.shift();
  cluster.vmList.vms.delete(stopping.name);
  t.deepEqual(await listMovedSessions(0), []);
});
