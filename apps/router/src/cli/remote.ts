/** Client of a node's listener for operators. */
import {
  ERROR_RESPONSES,
  failure,
  messageOf,
  type Failure,
  type FailureKind,
} from '@parsleyarch/errors/failure';
import * as http from 'node:http';
import {err, ok, type Result} from 'neverthrow';

/** Address of a node's listener for operators, and the operator key. */
export interface Remote {
  readonly server: string;
  readonly key: string;
}

const IDLE_TIMEOUT_MS = 10_000;

function sendRequest(
  remote: Remote,
  method: string,
  path: string,
  body: unknown,
): Promise<Result<http.IncomingMessage, Failure>> {
  return new Promise(resolve => {
    const payload = body === undefined ? undefined : JSON.stringify(body);
    const request = http.request(new URL(path, remote.server), {
      method,
      headers: {
        authorization: `Bearer ${remote.key}`,
        ...(payload && {'content-type': 'application/json'}),
      },
    });
    request.on('response', response => resolve(ok(response)));
    request.on('error', thrown => {
      const message = `${remote.server}: ${messageOf(thrown)}`;
      resolve(err(failure('not-ready', message)));
    });
    request.setTimeout(IDLE_TIMEOUT_MS, () =>
      request.destroy(new Error('no response in time')),
    );
    request.end(payload);
  });
}

function failureOf(status: number, body: unknown): Failure {
  const {error} = (body ?? {}) as {error?: Failure};
  if (error && error.kind in ERROR_RESPONSES)
    return failure(error.kind as FailureKind, error.message, error);
  return failure('internal', `the node responded with status ${status}`);
}

/** Sends one request and reads its JSON response. */
export async function callNode(
  remote: Remote,
  method: string,
  path: string,
  body?: unknown,
): Promise<Result<unknown, Failure>> {
  const response = await sendRequest(remote, method, path, body);
  if (response.isErr()) return err(response.error);
  const chunks: Buffer[] = [];
  for await (const chunk of response.value) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString('utf8');
  const status = response.value.statusCode ?? 0;
  try {
    const parsed: unknown = text === '' ? undefined : JSON.parse(text);
    if (status >= 200 && status < 300) return ok(parsed);
    return err(failureOf(status, parsed));
  } catch {
    return err(
      failure('internal', `the node responded with status ${status}: ${text}`),
    );
  }
}

/** Calls `onLine` with each line of a streamed response until it ends. */
export async function streamLines(
  remote: Remote,
  path: string,
  onLine: (line: string) => void,
): Promise<Result<void, Failure>> {
  const response = await sendRequest(remote, 'GET', path, undefined);
  if (response.isErr()) return err(response.error);
  response.value.setTimeout(0);
  let partialLine = '';
  for await (const chunk of response.value.setEncoding('utf8')) {
    const lines = (partialLine + chunk).split('\n');
    partialLine = lines.pop() ?? '';
    for (const line of lines) onLine(line);
  }
  return ok(undefined);
}
