/** HTTP client for tests, demo and measurements; records responses in full. */
import {createParser} from 'eventsource-parser';
import * as http from 'node:http';

export interface CallerRequest {
  readonly method?: string;
  readonly path: string;
  readonly key: string;
  readonly headers?: Record<string, string>;
  readonly body?: unknown;
}

/** Response to a request, or what was received of it. */
export interface CallerAnswer {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  /** Body, or the concatenated text of a stream. */
  readonly text: string;
  /** Parsed body of a response that is not a stream. */
  readonly json?: unknown;
  /** Whether a stream ended with `[DONE]`, or a body was JSON without an error. */
  readonly complete: boolean;
  /** Error reported by the router. */
  readonly error?: {kind: string; run: string; retryAfterMs?: number};
  /** Milliseconds to the first text of a stream, and to the end. */
  readonly firstTextMs: number;
  readonly totalMs: number;
  /** Message of a connection error. */
  readonly connectionError?: string;
}

type MutableAnswer = {-readonly [K in keyof CallerAnswer]: CallerAnswer[K]};

function readStream(
  response: http.IncomingMessage,
  answer: MutableAnswer,
  startedAt: number,
): void {
  const parser = createParser({
    onEvent({event, data}) {
      if (event === 'error') {
        answer.error = JSON.parse(data).error;
        return;
      }
      if (data === '[DONE]') {
        answer.complete = true;
        return;
      }
      const text = JSON.parse(data).choices[0].delta.content ?? '';
      if (answer.text === '')
        answer.firstTextMs = performance.now() - startedAt;
      answer.text += text;
    },
  });
  response.setEncoding('utf8');
  response.on('data', chunk => parser.feed(chunk));
}

function readBody(response: http.IncomingMessage, answer: MutableAnswer): void {
  response.setEncoding('utf8');
  response.on('data', chunk => (answer.text += chunk));
  response.on('end', () => {
    try {
      const json = JSON.parse(answer.text);
      answer.json = json;
      answer.error = json.error;
      answer.complete = json.error === undefined;
    } catch {
      answer.complete = false;
    }
  });
}

/** Sends one request and waits for the end of its response. */
export function sendRequest(
  address: string,
  request: CallerRequest,
  signal?: AbortSignal,
): Promise<CallerAnswer> {
  const startedAt = performance.now();
  const answer: MutableAnswer = {
    status: 0,
    headers: {},
    text: '',
    complete: false,
    firstTextMs: 0,
    totalMs: 0,
  };
  return new Promise(resolve => {
    const finish = (failure?: string) => {
      if (failure) answer.connectionError = failure;
      answer.totalMs = performance.now() - startedAt;
      if (answer.firstTextMs === 0) answer.firstTextMs = answer.totalMs;
      resolve(answer);
    };
    const payload =
      request.body === undefined ? undefined : JSON.stringify(request.body);
    const outgoing = http.request(new URL(request.path, address), {
      method: request.method ?? 'POST',
      agent: false,
      signal,
      headers: {
        authorization: `Bearer ${request.key}`,
        ...(payload && {
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(payload),
        }),
        ...request.headers,
      },
    });
    outgoing.on('error', error => finish(error.message));
    outgoing.on('response', response => {
      answer.status = response.statusCode ?? 0;
      answer.headers = response.headers;
      const type = response.headers['content-type'] ?? '';
      if (type.startsWith('text/event-stream'))
        readStream(response, answer, startedAt);
      else readBody(response, answer);
      response.on('error', error => finish(error.message));
      response.on('end', () => finish());
    });
    outgoing.end(payload);
  });
}

export interface ChatOptions {
  readonly model?: string;
  readonly stream?: boolean;
  readonly maxTokens?: number;
  readonly headers?: Record<string, string>;
}

/** Sends a chat request with one user message. */
export function chat(
  address: string,
  key: string,
  prompt: string,
  options: ChatOptions = {},
): Promise<CallerAnswer> {
  return sendRequest(address, {
    path: '/v1/chat/completions',
    key,
    headers: options.headers,
    body: {
      model: options.model ?? 'hymn',
      messages: [{role: 'user', content: prompt}],
      max_tokens: options.maxTokens ?? 64,
      stream: options.stream ?? true,
    },
  });
}
