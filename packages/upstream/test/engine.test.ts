import {createEngineClient, generate} from '@parsleyarch/upstream/engine';
import test from 'ava';
import * as net from 'node:net';

const REFUSAL_BODY = JSON.stringify({error: 'full', run: 'not-run'});
const REFUSAL =
  'HTTP/1.1 409 Conflict\r\nContent-Type: application/json\r\n' +
  `Content-Length: ${REFUSAL_BODY.length}\r\n\r\n${REFUSAL_BODY}`;
/** Time after which the engine writes its refusal once more, milliseconds. */
const COPY_DELAY_MS = 20;

test('a second copy of a refusal is not taken for one of the next job', async t => {
  const ran: string[] = [];
  let refusals = 0;
  // Refuses the first job, twice; runs each later one without an answer.
  const server = net.createServer(socket => {
    socket.on('error', () => {});
    socket.on('data', bytes => {
      const id = /"requestId":"([^"]+)"/.exec(bytes.toString())?.[1];
      if (id === undefined) return;
      if (refusals > 0) {
        ran.push(id);
        setTimeout(() => socket.destroy(), 2 * COPY_DELAY_MS);
        return;
      }
      refusals += 1;
      socket.write(REFUSAL);
      setTimeout(
        () => socket.destroyed || socket.write(REFUSAL),
        COPY_DELAY_MS,
      );
    });
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => void server.close());
  const {port} = server.address() as net.AddressInfo;
  const client = createEngineClient('node', 1_000);
  const run = async (requestId: string) => {
    const job = {
      requestId,
      version: 'v1',
      prompt: 'p',
      maxTokens: 4,
      offset: 0,
      priority: 1,
      written: '',
    };
    const signal = AbortSignal.timeout(2_000);
    const address = `http://127.0.0.1:${port}`;
    const tokens = generate(client, address, job, signal);
    const {value} = await tokens.next();
    if (!value || !('isErr' in value) || value.isOk()) return 'answered';
    return value.error.run;
  };
  t.is(await run('job-1'), 'not-run');
  await new Promise(resolve => setTimeout(resolve, COPY_DELAY_MS / 2));
  const outcome = await run('job-2');
  t.deepEqual(ran, ['job-2']);
  t.is(outcome, 'unknown');
});
