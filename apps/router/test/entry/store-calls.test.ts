/** Tests of how many calls nodes make to the store. */
import test from 'ava';
import '../exit.js';
import {
  closeSite,
  configure,
  route,
  startNode,
  startSite,
  until,
} from './site.js';

const wait = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

/** Watchers of a deployment with one failure domain. */
const WATCHER_COUNT = 2;
const CHANGE_COUNT = 40;
const CHANGE_INTERVAL_MS = 20;
/** Calls that a watcher may make for a series of changes, per second. */
const MAX_CALLS_PER_SECOND = 10;

test('watchers make few calls for a series of changes, and miss none', async t => {
  const site = await startSite(1);
  t.teardown(() => closeSite(site));
  configure(site, [route()]);
  for (let index = 0; index < 3; index += 1) await startNode(site);
  await until(() => site.entries.every(({node}) => node.members.size === 3));
  const {calls} = site.store;
  const before = calls.get('kv-watch') ?? 0;
  const startedAt = performance.now();
  for (let index = 0; index < CHANGE_COUNT; index += 1) {
    site.store.put(`op/evacuate/domain-${index}`, {});
    await wait(CHANGE_INTERVAL_MS);
  }
  await until(() =>
    site.entries.every(({node}) => node.evacuated.size === CHANGE_COUNT),
  );
  const seconds = (performance.now() - startedAt) / 1_000;
  const made = calls.get('kv-watch')! - before;
  // A call may be under way at the beginning and at the end.
  const allowed = seconds * MAX_CALLS_PER_SECOND + 2;
  t.true(made <= WATCHER_COUNT * allowed, `${made} calls in ${seconds} s`);
});
