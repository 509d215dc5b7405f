/** A caller: sends requests and says exactly what came back. */
import {createParser} from 'eventsource-parser';
import * as http from 'node:http';

/** A request of a caller. */
export interface CallerRequest {
  readonly method?: string;
  readonly path: string;
  readonly key: string;
  readonly headers?: Record<string, string>;
  readonly body?: unknown;
}

/** What came back. */
export interface CallerAnswer {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  /** Whole body, or the text of a stream put together. */
  readonly text: string;
  /** Parsed body of an answer that is not a stream. */
  readonly json?: unknown;
  /** Whether a stream ended as it should. */
  readonly whole: boolean;
  /** The error that was given, if one was. */
  readonly error?: {kind: string; run: string; retryAfterMs?: number};
  /** Milliseconds to the first text and to the end. */
  readonly firstMs: number;
  readonly totalMs: number;
  /** Set when the connection broke. */
  readonly broken?: string;
}

type Mutable = {-readonly [K in keyof CallerAnswer]: CallerAnswer[K]};

function readStream(
  response: http.IncomingMessage,
  answer: Mutable,
  startedAt: number,
): void {
  const parser = createParser({
    onEvent({event, data}) {
      if (event === 'error') {
        answer.error = JSON.parse(data).error;
        return;
      }
      if (data === '[DONE]') {
        answer.whole = true;
        return;
      }
      const text = JSON.parse(data).choices[0].delta.content ?? '';
      if (answer.text === '') answer.firstMs = performance.now() - startedAt;
      answer.text += text;
    },
  });
  response.setEncoding('utf8');
  response.on('data', chunk => parser.feed(chunk));
}

function readWhole(response: http.IncomingMessage, answer: Mutable): void {
  response.setEncoding('utf8');
  response.on('data', chunk => (answer.text += chunk));
  response.on('end', () => {
    try {
      const json = JSON.parse(answer.text);
      answer.json = json;
      answer.error = json.error;
      answer.whole = json.error === undefined;
    } catch {
      answer.whole = false;
    }
  });
}

/** Sends one request and waits for all of its answer. */
export function send(
  address: string,
  request: CallerRequest,
  signal?: AbortSignal,
): Promise<CallerAnswer> {
  const startedAt = performance.now();
  const answer: Mutable = {
    status: 0,
    headers: {},
    text: '',
    whole: false,
    firstMs: 0,
    totalMs: 0,
  };
  return new Promise(resolve => {
    const finish = (broken?: string) => {
      if (broken) answer.broken = broken;
      answer.totalMs = performance.now() - startedAt;
      if (answer.firstMs === 0) answer.firstMs = answer.totalMs;
      resolve(answer);
    };
    const payload =
      request.body === undefined ? undefined : JSON.stringify(request.body);
    const sent = http.request(new URL(request.path, address), {
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
    sent.on('error', error => finish(error.message));
    sent.on('response', response => {
      answer.status = response.statusCode ?? 0;
      answer.headers = response.headers;
      const type = response.headers['content-type'] ?? '';
      if (type.startsWith('text/event-stream'))
        readStream(response, answer, startedAt);
      else readWhole(response, answer);
      response.on('error', error => finish(error.message));
      response.on('end', () => finish());
    });
    sent.end(payload);
  });
}

/** What a chat request may set. */
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
  return send(address, {
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
