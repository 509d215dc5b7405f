import {chat} from '@parsleyarch/standins/client';
import {
  addNode,
  applyChanges,
  waitForRevision,
  sendOperatorRequest,
  waitUntilReady,
  until,
  type ClusterNode,
} from '@parsleyarch/standins/cluster';
import {startProxy, type FaultProxy} from '@parsleyarch/standins/proxy';
import {
  closeScenario,
  CUSTOMER_KEY,
  startScenario,
  type Scenario,
} from '@parsleyarch/standins/scenario';
import {endOutage, startOutage} from '@parsleyarch/standins/store';
import test from 'ava';
import './exit.js';

/** Time within which every node must apply an accepted change. */
const IN_FORCE_MS = 8_000;

let scenario: Scenario;
const storeProxies = new Map<string, FaultProxy>();

test.before(async () => {
  scenario = await startScenario({
    domains: ['gulberg', 'dha', 'johar'],
    engineDomains: ['gulberg', 'dha'],
    storeAddress: (name, store) =>
      storeProxies.get(name)?.address ?? store.server.address,
  });
});

test.after.always(async () => {
  await closeScenario(scenario);
  for (const proxy of storeProxies.values()) await proxy.close();
});

async function revisionOf(node: ClusterNode): Promise<number> {
  const answer = await sendOperatorRequest(node, 'GET', '/v1/status');
  return (answer.json as {revision?: number} | undefined)?.revision ?? -1;
}

async function stateOf(node: ClusterNode, name: string): Promise<string> {
  const answer = await sendOperatorRequest(
    node,
    'GET',
    `/v1/FailureDomain/${name}`,
  );
  return (answer.json as {spec: {state: string}}).spec.state;
}

const domain = (state: 'in' | 'out', expect?: number) => ({
  kind: 'FailureDomain',
  name: 'johar',
  spec: {region: 'lahore', state},
  expect,
});

test.serial(
  'of concurrent changes that expect the same revision, one is accepted',
  async t => {
    const {nodes} = scenario.cluster;
    for (let round = 0; round < 5; round += 1) {
      const read = await sendOperatorRequest(
        nodes[0],
        'GET',
        '/v1/FailureDomain/johar',
      );
      const {revision} = read.json as {revision: number};
      await waitForRevision(scenario.cluster, revision);
      const answers = await Promise.all(
        nodes.map((node, index) =>
          sendOperatorRequest(node, 'POST', '/v1/apply', {
            changes: [domain(index % 2 ? 'in' : 'out', revision)],
          }),
        ),
      );
      const accepted = answers.filter(answer => answer.status === 200);
      t.is(accepted.length, 1);
      for (const answer of answers)
        if (answer.status !== 200) t.is(answer.error?.kind, 'conflict');
    }
  },
);

test.serial(
  'concurrent writes without a precondition are all accepted, in one order',
  async t => {
    const {nodes, store} = scenario.cluster;
    const before = await revisionOf(nodes[0]);
    const revisions = await Promise.all(
      Array.from({length: 12}, (_, index) =>
        applyChanges(nodes[index % 3], [domain(index % 2 ? 'in' : 'out')]),
      ),
    );
    t.is(new Set(revisions).size, 12);
    const last = Math.max(...revisions);
    await waitForRevision(scenario.cluster, last, IN_FORCE_MS);
    const states = await Promise.all(nodes.map(node => stateOf(node, 'johar')));
    t.is(new Set(states).size, 1);
    const keys = [...store.items.keys()].filter(key =>
      key.startsWith('config/log/'),
    );
    t.true(keys.length >= before + 12);
  },
);

test.serial(
  'a change is accepted exactly once when store responses are lost',
  async t => {
    const {nodes, store} = scenario.cluster;
    let writes = 0;
    store.faults.loseWriteResponse = key =>
      key.startsWith('config/log/') && (writes += 1) % 2 === 1;
    for (let round = 0; round < 6; round += 1) {
      const revision = await applyChanges(nodes[round % 3], [domain('in')]);
      t.true(revision > 0);
    }
    store.faults.loseWriteResponse = () => false;
    const ids = [...store.items.entries()]
      .filter(([key]) => key.startsWith('config/log/'))
      .map(([, item]) => (item.value as {changeId: string}).changeId);
    t.is(new Set(ids).size, ids.length);
  },
);

test.serial(
  'a frozen node catches up, and its revision never goes back',
  async t => {
    const {nodes} = scenario.cluster;
    const revision = await applyChanges(nodes[0], [domain('out')]);
    await waitForRevision(scenario.cluster, revision);
    nodes[2].freeze();
    const later = await applyChanges(nodes[0], [domain('in')]);
    nodes[2].thaw();
    let last = revision;
    await until(
      'the frozen node to catch up',
      async () => {
        const seen = await revisionOf(nodes[2]);
        if (seen >= 0) t.true(seen >= last);
        last = Math.max(last, seen);
        return seen >= later;
      },
      IN_FORCE_MS,
    );
    t.is(await stateOf(nodes[2], 'johar'), 'in');
  },
);

test.serial(
  'a node that starts while the store is down loads the configuration from peers',
  async t => {
    const {cluster} = scenario;
    startOutage(cluster.store);
    // Nodes append allocator entries too, so the target is the newest revision
    // of any node.
    const revisions = await Promise.all(cluster.nodes.map(revisionOf));
    const revision = Math.max(...revisions);
    const fresh = await addNode(cluster, 'vm-4', 'gulberg');
    await until('the new node to reach the revision', async () => {
      return (await revisionOf(fresh)) >= revision;
    });
    t.is(await revisionOf(fresh), revision);
    endOutage(cluster.store);
    await waitUntilReady(fresh);
  },
);

test.serial('a new node loads a snapshot and the entries after it', async t => {
  const {cluster} = scenario;
  const {items} = cluster.store;
  for (let entry = 0; entry < 220; entry += 1)
    await applyChanges(cluster.nodes[0], [domain(entry % 2 ? 'in' : 'out')]);
  await until('a snapshot', () => items.has('config/snapshot'));
  const {revision} = items.get('config/snapshot')!.value as {
    revision: number;
  };
  for (const key of items.keys()) {
    const number = Number(key.slice('config/log/'.length));
    if (key.startsWith('config/log/') && number <= revision) items.delete(key);
  }
  const last = await applyChanges(cluster.nodes[0], [domain('out')]);
  const fresh = await addNode(cluster, 'vm-6', 'johar');
  await waitUntilReady(fresh);
  t.true((await revisionOf(fresh)) >= last);
  t.is(await stateOf(fresh, 'johar'), 'out');
});

test.serial(
  'nodes keep serving while the store is down for all of them',
  async t => {
    const {cluster} = scenario;
    startOutage(cluster.store);
    await until('the confirmation age limit to pass', async () => {
      const answer = await sendOperatorRequest(
        cluster.nodes[0],
        'GET',
        '/v1/status',
      );
      const {freshness} = answer.json as {freshness: string};
      return freshness === 'store-down';
    });
    const answer = await chat(cluster.nodes[0].callers, CUSTOMER_KEY, 'outage');
    t.true(answer.complete, answer.text);
    const refused = await sendOperatorRequest(
      cluster.nodes[0],
      'POST',
      '/v1/apply',
      {
        changes: [domain('out')],
      },
    );
    t.true(
      ['store-unavailable', 'outcome-unknown'].includes(
        String(refused.error?.kind),
      ),
    );
    endOutage(cluster.store);
    for (const node of cluster.nodes) await waitUntilReady(node);
  },
);

test.serial(
  'a node that alone is partitioned rejects new requests as not run',
  async t => {
    const {cluster} = scenario;
    const proxy = await startProxy(cluster.store.server.port);
    storeProxies.set('vm-5', proxy);
    const lone = await addNode(cluster, 'vm-5', 'dha');
    await waitUntilReady(lone);
    proxy.partition(true);
    const vms = new Map(cluster.vmList.vms);
    // Nothing listens on the listed addresses, so the node cannot reach its
    // peers.
    for (const [name, vm] of vms)
      if (name !== 'vm-5')
        cluster.vmList.vms.set(name, {...vm, address: '127.0.0.1:9'});
    await until('the partitioned node to reject requests', async () => {
      const answer = await chat(lone.callers, CUSTOMER_KEY, 'alone');
      return answer.error?.kind === 'stale-configuration';
    });
    const answer = await chat(lone.callers, CUSTOMER_KEY, 'alone');
    t.is(answer.error?.run, 'not-run');
    for (const [name, vm] of vms) cluster.vmList.vms.set(name, vm);
    proxy.partition(false);
    await waitUntilReady(lone);
    t.pass();
  },
);
