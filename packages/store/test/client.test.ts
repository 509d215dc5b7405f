import test from 'ava';
import fc from 'fast-check';
import * as http from 'node:http';
import type {AddressInfo} from 'node:net';
import {createBudget, tryAcquire} from '../src/budget.js';
import {
  closeStore,
  createKey,
  openStore,
  readKey,
  readRange,
  type WriteOutcome,
} from '../src/client.js';

const clock = () => performance.now();

/** Runs `use` against a server that answers each call with `answer`. */
async function withServer<T>(
  answer: (response: http.ServerResponse) => void,
  use: (address: string) => Promise<T>,
): Promise<T> {
  const server = http.createServer((_request, response) => answer(response));
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  try {
    return await use(`http://127.0.0.1:${port}`);
  } finally {
    server.closeAllConnections();
    server.close();
  }
}

function openTestStore(address: string, timeoutMs = 200) {
  return openStore(
    address,
    createBudget({read: 500, write: 500}, clock),
    timeoutMs,
  );
}

/** Time limit for calls that get an answer; a timeout fails the test. */
const ANSWERED_TIMEOUT_MS = 10_000;

const OUTCOMES: ReadonlyArray<[number, WriteOutcome]> = [
  [200, 'created'],
  [412, 'exists'],
  [429, 'refused'],
  [500, 'lost'],
  [503, 'lost'],
];

for (const [status, outcome] of OUTCOMES) {
  test(`a write answered with status ${status} has the outcome ${outcome}`, t =>
    withServer(
      response => response.writeHead(status).end('{"version":1}'),
      async address => {
        const store = openTestStore(address, ANSWERED_TIMEOUT_MS);
        t.is((await createKey(store, 'k', 1)).outcome, outcome);
        closeStore(store);
      },
    ));
}

test('without an answer, a write is lost and a read fails within the time limit', t =>
  withServer(
    () => {},
    async address => {
      const store = openTestStore(address, 100);
      t.is((await createKey(store, 'k', 1)).outcome, 'lost');
      t.true((await readKey(store, 'k')).isErr());
      closeStore(store);
    },
  ));

test('a write whose answer is truncated is lost', t =>
  withServer(
    response => {
      response.writeHead(200, {'content-length': 100});
      response.write('{"version"');
      setTimeout(() => response.destroy(), 10);
    },
    async address => {
      const store = openTestStore(address, 500);
      t.is((await createKey(store, 'k', 1)).outcome, 'lost');
      closeStore(store);
    },
  ));

test('a node never exceeds its call budget', t => {
  let now = 0;
  const budget = createBudget({read: 10, write: 5}, () => now);
  let calls = 0;
  for (; now < 10_000; now += 10) if (tryAcquire(budget, 'read')) calls += 1;
  t.true(calls <= 110 && calls >= 100, String(calls));
});

test('reads and writes never throw, whatever the store answers', async t => {
  let body = '';
  let status = 200;
  await withServer(
    response => response.writeHead(status).end(body),
    async address => {
      const store = openTestStore(address);
      await fc.assert(
        fc.asyncProperty(
          fc.oneof(fc.json(), fc.string()),
          fc.constantFrom(200, 404, 500, 429),
          async (text, code) => {
            body = text;
            status = code;
            await readKey(store, 'k');
            await readRange(store, 'p', '', 10);
            await createKey(store, 'k', 1);
            return true;
          },
        ),
        {seed: 20_261_203, numRuns: 100},
      );
      closeStore(store);
    },
  );
  t.pass();
});

test('a range answered with 404 is an error, not an empty range', t =>
  withServer(
    response => response.writeHead(404).end('{}'),
    async address => {
      const store = openTestStore(address);
      t.true((await readRange(store, 'config/log/', '', 10)).isErr());
      t.true((await readKey(store, 'k')).isOk());
      closeStore(store);
    },
  ));
