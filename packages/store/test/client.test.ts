import test from 'ava';
import fc from 'fast-check';
import * as http from 'node:http';
import type {AddressInfo} from 'node:net';
import {createBudget, spend} from '../src/budget.js';
import {
  closeStore,
  createKey,
  openStore,
  readKey,
  readRange,
  type WriteOutcome,
} from '../src/client.js';

const clock = () => performance.now();

/** A store that answers each call as told. */
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

function open(address: string, timeoutMs = 200) {
  return openStore(
    address,
    createBudget({read: 500, write: 500}, clock),
    timeoutMs,
  );
}

/** Time limit of calls that are answered; running into it fails the test. */
const ANSWERED_MS = 10_000;

const OUTCOMES: ReadonlyArray<[number, WriteOutcome]> = [
  [200, 'created'],
  [412, 'exists'],
  [429, 'refused'],
  [500, 'lost'],
  [503, 'lost'],
];

for (const [status, outcome] of OUTCOMES) {
  test(`a write that is answered ${status} is ${outcome}`, t =>
    withServer(
      response => response.writeHead(status).end('{"version":1}'),
      async address => {
        const store = open(address, ANSWERED_MS);
        t.is((await createKey(store, 'k', 1)).outcome, outcome);
        closeStore(store);
      },
    ));
}

test('a silent store loses writes and fails reads, in time', t =>
  withServer(
    () => {},
    async address => {
      const store = open(address, 100);
      t.is((await createKey(store, 'k', 1)).outcome, 'lost');
      t.true((await readKey(store, 'k')).isErr());
      closeStore(store);
    },
  ));

test('an answer that is cut in its middle is lost', t =>
  withServer(
    response => {
      response.writeHead(200, {'content-length': 100});
      response.write('{"version"');
      setTimeout(() => response.destroy(), 10);
    },
    async address => {
      const store = open(address, 500);
      t.is((await createKey(store, 'k', 1)).outcome, 'lost');
      closeStore(store);
    },
  ));

test('a node never spends more than its budget', t => {
  let now = 0;
  const budget = createBudget({read: 10, write: 5}, () => now);
  let calls = 0;
  for (; now < 10_000; now += 10) if (spend(budget, 'read')) calls += 1;
  t.true(calls <= 110 && calls >= 100, String(calls));
});

test('whatever a store answers, a read is a result and never a throw', async t => {
  let body = '';
  let status = 200;
  await withServer(
    response => response.writeHead(status).end(body),
    async address => {
      const store = open(address);
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

test('a range that is not found does not pass for an empty one', t =>
  withServer(
    response => response.writeHead(404).end('{}'),
    async address => {
      const store = open(address);
      t.true((await readRange(store, 'config/log/', '', 10)).isErr());
      t.true((await readKey(store, 'k')).isOk());
      closeStore(store);
    },
  ));
