import {chat, sendRequest} from '@parsleyarch/standins/client';
import {sendOperatorRequest} from '@parsleyarch/standins/cluster';
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

/** Writes raw bytes to a listener; reads until it closes or is idle. */
function exchangeRaw(
  address: string,
  bytes: Uint8Array,
  idleMs: number,
): Promise<string> {
  const {port} = new URL(address);
  return new Promise(resolve => {
    const socket = net.connect(Number(port), '127.0.0.1');
    let text = '';
    socket.setTimeout(idleMs, () => socket.destroy());
    socket.on('data', chunk => (text += chunk.toString('latin1')));
    socket.on('error', () => {});
    socket.on('close', () => resolve(text));
    socket.write(bytes);
  });
}

async function assertServes(t: ExecutionContext): Promise<void> {
  const answer = await chat(node().callers, CUSTOMER_KEY, 'still there?');
  t.true(answer.complete, JSON.stringify(answer.error));
}

const rawChatRequest = (body: string | Buffer, headers = '') => {
  const payload = Buffer.from(body);
  const head =
    'POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n' +
    `authorization: Bearer ${CUSTOMER_KEY}\r\n${headers}` +
    `content-length: ${payload.length}\r\n\r\n`;
  return Buffer.concat([Buffer.from(head), payload]);
};

const REJECTED_REQUESTS: ReadonlyArray<{
  name: string;
  bytes: Buffer;
  expect: RegExp;
}> = [
  {
    name: 'malformed JSON',
    bytes: rawChatRequest('{"model":'),
    expect: /invalid-json/,
  },
  {
    name: 'invalid UTF-8',
    bytes: rawChatRequest(Buffer.from([0x22, 0xff, 0xfe, 0x22])),
    expect: /invalid-json/,
  },
  {
    name: 'JSON of the wrong shape',
    bytes: rawChatRequest('{"model":1}'),
    expect: /invalid-request/,
  },
  {
    name: 'an oversized body',
    bytes: rawChatRequest('x'.repeat(1_100_000)),
    expect: /body-too-large/,
  },
  {
    name: 'a model that is not allowed',
    bytes: rawChatRequest(
      '{"model":"gpt","messages":[{"role":"user","content":"x"}]}',
    ),
    expect: /model-not-allowed/,
  },
  {
    name: 'an invalid deadline',
    bytes: rawChatRequest('{}', 'x-deadline-ms: soon\r\n'),
    expect: /invalid-header/,
  },
  {
    name: 'oversized headers',
    bytes: rawChatRequest('{}', `x-long: ${'y'.repeat(20_000)}\r\n`),
    expect: /invalid-header/,
  },
  {
    name: 'a missing key',
    bytes: Buffer.from('GET /v1/models HTTP/1.1\r\nhost: x\r\n\r\n'),
    expect: /unauthenticated/,
  },
  {
    name: 'bytes that are not HTTP',
    bytes: Buffer.from('hello there\r\n\r\n'),
    expect: /invalid-request/,
  },
  {
    name: 'an unknown path',
    bytes: Buffer.from('GET /nowhere HTTP/1.1\r\nhost: x\r\n\r\n'),
    expect: /not-found/,
  },
];

for (const {name, bytes, expect} of REJECTED_REQUESTS) {
  test.serial(
    `request rejected with its error kind and "not run": ${name}`,
    async t => {
      const text = await exchangeRaw(node().callers, bytes, 1_500);
      t.regex(text, expect);
      t.regex(text, /"run":"not-run"/);
      await assertServes(t);
    },
  );
}

test.serial(
  'an incomplete request times out, and the node keeps serving',
  async t => {
    const partialRequest = Buffer.from(
      'POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n',
    );
    const text = await exchangeRaw(node().callers, partialRequest, 20_000);
    t.regex(text, /408|request-timeout/);
    await assertServes(t);
  },
);

test.serial('a chunked request body is accepted', async t => {
  const body = JSON.stringify({
    model: 'hymn',
    messages: [{role: 'user', content: 'chunked'}],
  });
  const text = await exchangeRaw(
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
  'a response that is not streamed contains request id, version and billing',
  async t => {
    const answer = await chat(node().callers, CUSTOMER_KEY, 'whole', {
      stream: false,
    });
    const {parsleyarch} = answer.json as {parsleyarch: Record<string, unknown>};
    t.is(parsleyarch['billed'], true);
    t.is(parsleyarch['version'], answer.headers['x-version']);
    t.is(parsleyarch['requestId'], answer.headers['x-request-id']);
    const explained = await sendOperatorRequest(
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
    const answer = await sendRequest(node().callers, {
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

test.serial('no path reaches another host or bypasses a claim', async t => {
  const [instance] = scenario.services.instances.values();
  const callService = (path: string) =>
    exchangeRaw(
      node().callers,
      Buffer.from(
        `POST /services/board${path} HTTP/1.1\r\nhost: x\r\n` +
          `authorization: Bearer ${CUSTOMER_KEY}\r\nconnection: close\r\n` +
          'content-length: 2\r\n\r\n{}',
      ),
      2_000,
    );
  for (const path of ['/x/../orders', '/%6frders', '//orders', '/./orders'])
    t.regex(await callService(path), /Idempotency-Key/, path);
  t.regex(await callService('//127.0.0.1:9/orders'), /not-found/);
  t.regex(await callService('/%ff'), /invalid-request/);
  const requestCountBefore = instance.paths.length;
  const answer = await sendRequest(node().callers, {
    method: 'GET',
    path: '/services/board//127.0.0.1:9/status',
    key: CUSTOMER_KEY,
  });
  t.is(answer.status, 200, answer.text);
  t.is(instance.paths.length, requestCountBefore + 1);
});

test.serial('an unknown operator key is refused', async t => {
  const answer = await sendRequest(node().operators, {
    method: 'GET',
    path: '/v1/status',
    key: 'wrong',
  });
  t.is(answer.error?.kind, 'unauthenticated');
});

test.serial('both listeners survive arbitrary bytes', async t => {
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
      await exchangeRaw(address, Buffer.from(parts.join('')), 30);
      return node().process.exitCode === null;
    }),
    {seed: SEED, numRuns: 150},
  );
  await assertServes(t);
});
