import {PLATFORM_STORE} from '@parsleyarch/platform/store';
import {startKeyspace} from '@parsleyarch/standins/keyspace';
import {startProxy} from '@parsleyarch/standins/proxy';
import {
  closeKeyspace,
  openKeyspace,
  readPrefix,
} from '@parsleyarch/store/keyspace';
import test from 'ava';

const TIMEOUT_MS = 200;
const CONNECTION_COUNT = 4;

test('after pooled connections fell silent, one call fails and the next one succeeds', async t => {
  const store = await startKeyspace();
  const proxy = await startProxy(Number(new URL(store.server.address).port));
  const keyspace = openKeyspace(proxy.address, PLATFORM_STORE, TIMEOUT_MS);
  t.teardown(async () => {
    closeKeyspace(keyspace);
    await proxy.close();
    await store.close();
  });
  const read = () => readPrefix(keyspace, '');
  await Promise.all(Array.from({length: CONNECTION_COUNT}, read));
  proxy.silenceOpen();
  t.true((await read()).isErr());
  t.true((await read()).isOk());
});
