/** Tests of the times of reports on roll-outs in a large deployment. */
import {isShareReady} from '@parsleyarch/router/entry/kept-sessions';
import {
  createEntryNode,
  type EntryNode,
  type KnownOrder,
} from '@parsleyarch/router/entry/node';
import {followedSequence} from '@parsleyarch/router/entry/rollout-view';
import {hashName} from '@parsleyarch/policy/rendezvous';
import {startKeyspace} from '@parsleyarch/standins/keyspace';
import test, {type ExecutionContext} from 'ava';
import {settingsFor} from './site.js';

const ORDER: KnownOrder = {
  service: 'api',
  target: 'v2',
  durationMs: 24_000,
  revision: 7,
  era: 0,
  seenAt: 0,
};

/** A node among others that learned of a canary some time ago. */
async function createNode(
  t: ExecutionContext,
  memberCount: number,
  planAgeMs: number,
): Promise<EntryNode> {
  const store = await startKeyspace();
  t.teardown(() => store.close());
  const node = createEntryNode(await settingsFor(store, 'node-0'));
  Object.assign(node, {clock: () => 100_000});
  for (let index = 0; index < memberCount; index += 1) {
    const name = `node-${index}`;
    const member = {name, digest: hashName(name), failureDomain: 'gulberg'};
    node.members.set(name, {...member, address: '127.0.0.1:1'});
  }
  node.versions.plans.set('api', {
    plan: {
      order: 7,
      service: 'api',
      target: 'v2',
      phase: 'canary',
      share: 0.1,
      sequence: 2,
      elapsedMs: 0,
    },
    revision: 9,
    era: 0,
    isStored: true,
    seenAt: node.clock() - planAgeMs,
  });
  return node;
}

test('a share waits until all nodes can have told their sessions and received them', async t => {
  // At 9 nodes two rounds of reports take a second, at 195 more than three.
  t.true(isShareReady(await createNode(t, 9, 2_600), ORDER));
  t.false(isShareReady(await createNode(t, 195, 2_600), ORDER));
  t.false(isShareReady(await createNode(t, 195, 3_100), ORDER));
  t.true(isShareReady(await createNode(t, 195, 5_000), ORDER));
});

for (const [memberCount, ageMs] of [
  [9, 2_000],
  [195, 3_100],
]) {
  test(`a report counts until the next one but one is due, at ${memberCount} nodes`, async t => {
    const node = await createNode(t, memberCount, 10_000);
    const report = {
      service: 'api',
      order: 7,
      sequence: 2,
      tallies: [],
      oldInFlight: 0,
      keptSessions: [],
      keptFrom: '',
      keptCount: 0,
      elapsedMs: 0,
    };
    for (const name of node.members.keys())
      node.holderState.reports.set(name, {
        receivedAt: node.clock() - ageMs,
        reports: [report],
      });
    t.is(followedSequence(node, ORDER), 2);
  });
}
