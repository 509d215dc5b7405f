import {chat, send} from '@parsleyarch/standins/client';
import {operate} from '@parsleyarch/standins/cluster';
import {
  closeScenario,
  CUSTOMER_KEY,
  startScenario,
  type Scenario,
} from '@parsleyarch/standins/scenario';
import test, {type ExecutionContext} from 'ava';
import fc from 'fast-check';
import * as net from 'node:net';
import './exit.js';

const SEED = 20_261_203;
let scenario: Scenario;

test.before(async () => {
  scenario = await startScenario({
    domains: ['gulberg'],
    engineDomains: ['gulberg'],
    serviceDomains: ['gulberg'],
    engine: {coldLimit: 8, warmLimit: 8},
  });
});

test.after.always(() => closeScenario(scenario));

const node = () => scenario.cluster.nodes[0];

/** Writes raw bytes to a listener and reads until it closes or is silent. */
function raw(
  address: string,
  bytes: Uint8Array,
  silenceMs: number,
): Promise<string> {
  const {port} = new URL(address);
  return new Promise(resolve => {
    const socket = net.connect(Number(port), '127.0.0.1');
    let text = '';
    socket.setTimeout(silenceMs, () => socket.destroy());
    socket.on('data', chunk => (text += chunk.toString('latin1')));
    socket.on('error', () => {});
    socket.on('close', () => resolve(text));
    socket.write(bytes);
  });
}

async function stillServes(t: ExecutionContext): Promise<void> {
  const answer = await chat(node().callers, CUSTOMER_KEY, 'still there?');
  t.true(answer.whole, JSON.stringify(answer.error));
}

const post = (body: string | Buffer, headers = '') => {
  const payload = Buffer.from(body);
  const head =
    'POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n' +
    `authorization: Bearer ${CUSTOMER_KEY}\r\n${headers}` +
    `content-length: ${payload.length}\r\n\r\n`;
  return Buffer.concat([Buffer.from(head), payload]);
};

const CASES: ReadonlyArray<{name: string; bytes: Buffer; expect: RegExp}> = [
  {name: 'malformed JSON', bytes: post('{"model":'), expect: /invalid-json/},
  {
    name: 'bad UTF-8',
    bytes: post(Buffer.from([0x22, 0xff, 0xfe, 0x22])),
    expect: /invalid-json/,
  },
  {
    name: 'a wrong shape',
    bytes: post('{"model":1}'),
    expect: /invalid-request/,
  },
  {
    name: 'an oversized body',
    bytes: post('x'.repeat(1_100_000)),
    expect: /body-too-large/,
  },
  {
    name: 'a model that is not allowed',
    bytes: post('{"model":"gpt","messages":[{"role":"user","content":"x"}]}'),
    expect: /model-not-allowed/,
  },
  {
    name: 'a bad deadline',
    bytes: post('{}', 'x-deadline-ms: soon\r\n'),
    expect: /invalid-header/,
  },
  {
    name: 'oversized headers',
    bytes: post('{}', `x-long: ${'y'.repeat(20_000)}\r\n`),
    expect: /invalid-header/,
  },
  {
    name: 'no key',
    bytes: Buffer.from('GET /v1/models HTTP/1.1\r\nhost: x\r\n\r\n'),
    expect: /unauthenticated/,
  },
  {
    name: 'something that is not HTTP',
    bytes: Buffer.from('hello there\r\n\r\n'),
    expect: /invalid-request/,
  },
  {
    name: 'an unknown path',
    bytes: Buffer.from('GET /nowhere HTTP/1.1\r\nhost: x\r\n\r\n'),
    expect: /not-found/,
  },
];

for (const {name, bytes, expect} of CASES) {
  test.serial(`${name} gets a clear error that says "not run"`, async t => {
    const text = await raw(node().callers, bytes, 1_500);
    t.regex(text, expect);
    t.regex(text, /"run":"not-run"/);
    await stillServes(t);
  });
}

test.serial(
  'a request that trickles in is ended, and the node goes on',
  async t => {
    const half = Buffer.from(
      'POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n',
    );
    const text = await raw(node().callers, half, 20_000);
    t.regex(text, /408|request-timeout/);
    await stillServes(t);
  },
);

test.serial('a body without a length is read in chunks', async t => {
  const body = JSON.stringify({
    model: 'hymn',
    messages: [{role: 'user', content: 'chunked'}],
  });
  const text = await raw(
    node().callers,
    Buffer.from(
      'POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n' +
        `authorization: Bearer ${CUSTOMER_KEY}\r\ntransfer-encoding: chunked\r\n\r\n` +
        `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`,
    ),
    5_000,
  );
  t.regex(text, /chat\.completion/);
});

test.serial(
  'an answer that is not streamed names request, version and bill',
  async t => {
    const answer = await chat(node().callers, CUSTOMER_KEY, 'whole', {
      stream: false,
    });
    const {parsleyarch} = answer.json as {parsleyarch: Record<string, unknown>};
    t.is(parsleyarch['billed'], true);
    t.is(parsleyarch['version'], answer.headers['x-version']);
    t.is(parsleyarch['requestId'], answer.headers['x-request-id']);
    const explained = await operate(
      node(),
      'GET',
      `/v1/explain/${encodeURIComponent(String(parsleyarch['requestId']))}`,
    );
    const {lines} = explained.json as {lines: Array<{decision: string}>};
    t.deepEqual(
      lines.map(line => line.decision),
      ['path', 'upstream'],
    );
  },
);

test.serial(
  'a customer sees the models and versions that it may use',
  async t => {
    const answer = await send(node().callers, {
      method: 'GET',
      path: '/v1/models',
      key: CUSTOMER_KEY,
    });
    const {data} = answer.json as {
      data: Array<{id: string; versions: string[]}>;
    };
    t.deepEqual(
      data.map(model => model.id),
      ['hymn', 'announce'],
    );
    t.deepEqual(data[0].versions, ['hymn-1', 'hymn-2']);
  },
);

test.serial('no path leads to another host, or around a claim', async t => {
  const [instance] = scenario.services.instances.values();
  const call = (path: string) =>
    raw(
      node().callers,
      Buffer.from(
        `POST /services/board${path} HTTP/1.1\r\nhost: x\r\n` +
          `authorization: Bearer ${CUSTOMER_KEY}\r\nconnection: close\r\n` +
          'content-length: 2\r\n\r\n{}',
      ),
      2_000,
    );
  for (const path of ['/x/../orders', '/%6frders', '//orders', '/./orders'])
    t.regex(await call(path), /Idempotency-Key/, path);
  t.regex(await call('//127.0.0.1:9/orders'), /not-found/);
  t.regex(await call('/%ff'), /invalid-request/);
  const before = instance.paths.length;
  const answer = await send(node().callers, {
    method: 'GET',
    path: '/services/board//127.0.0.1:9/status',
    key: CUSTOMER_KEY,
  });
  t.is(answer.status, 200, answer.text);
  t.is(instance.paths.length, before + 1);
});

test.serial('an unknown operator key is refused', async t => {
  const answer = await send(node().operators, {
    method: 'GET',
    path: '/v1/status',
    key: 'wrong',
  });
  t.is(answer.error?.kind, 'unauthenticated');
});

test.serial('whatever bytes come, both listeners go on', async t => {
  const line = fc.constantFrom(
    'POST /v1/chat/completions HTTP/1.1\r\n',
    'GET /services/board/ HTTP/1.1\r\n',
    'PUT /v1/Customer/choir HTTP/1.1\r\n',
    'DELETE /v1/%ff HTTP/1.1\r\n',
    `authorization: Bearer ${CUSTOMER_KEY}\r\n`,
    'content-length: 5\r\n',
    'content-length: -1\r\n',
    'transfer-encoding: chunked\r\n',
    'host: x\r\n',
    '\r\n',
    '{"model":"hymn","messages":[]}',
    '\u0000\uffff',
  );
  const noise = fc.string({maxLength: 40});
  const message = fc.array(fc.oneof(line, noise), {maxLength: 10});
  await fc.assert(
    fc.asyncProperty(message, fc.boolean(), async (parts, operators) => {
      const address = operators ? node().operators : node().callers;
      await raw(address, Buffer.from(parts.join('')), 30);
      return node().process.exitCode === null;
    }),
    {seed: SEED, numRuns: 150},
  );
  await stillServes(t);
});
