/**
 * Writes the response to a chat request, streamed or as one JSON body, in the
 * chat completion format.
 */
import type {Failure} from '@parsleyarch/errors/failure';
import {once} from 'node:events';
import type {ServerResponse} from 'node:http';
import type {Context} from './context.js';
import type {GenerationResult} from './generation.js';
import type {RouterNode} from './node.js';
import {errorBody, recordFailure, sendFailure, sendJson} from './replies.js';
import type {Session} from './sessions.js';

export interface ResponseWriter {
  session: Session;
  /** Called before the first text is written. */
  onFirstText: () => void;
  /** Writes text; when streaming, waits while the socket buffer is full. */
  write(version: string, text: string): Promise<void>;
  /** Ends a successful response; the bill must already be recorded. */
  finish(version: string, generated: GenerationResult): Promise<void>;
  /** Ends with an error: as a status, or as an event once text has been sent. */
  fail(problem: Failure): void;
}

async function writeEvent(
  response: ServerResponse,
  body: unknown,
  event?: string,
): Promise<void> {
  if (response.destroyed) return;
  const name = event ? `event: ${event}\n` : '';
  const text = `${name}data: ${JSON.stringify(body)}\n\n`;
  if (response.write(text)) return;
  await Promise.race([once(response, 'drain'), once(response, 'close')]);
}

function chunkBody(context: Context, version: string, text: string) {
  return {
    id: context.requestId,
    object: 'chat.completion.chunk',
    model: version,
    choices: [{index: 0, delta: {content: text}, finish_reason: null}],
  };
}

function responseHeaders(
  context: Context,
  version: string,
  token: string,
): Record<string, string> {
  return {
    'x-request-id': context.requestId,
    'x-version': version,
    'x-session': token,
  };
}

function responseMetadata(
  context: Context,
  version: string,
  generated: GenerationResult,
) {
  return {
    requestId: context.requestId,
    version,
    tokens: generated.tokens,
    billed: true,
  };
}

function createStreamWriter(
  node: RouterNode,
  context: Context,
  response: ServerResponse,
  signSessionToken: () => string,
): ResponseWriter {
  const writer: ResponseWriter = {
    session: context.session,
    onFirstText: () => {},
    async write(version, text) {
      if (!response.headersSent) {
        writer.onFirstText();
        response.writeHead(200, {
          ...responseHeaders(context, version, signSessionToken()),
          'content-type': 'text/event-stream; charset=utf-8',
          'cache-control': 'no-store',
        });
      }
      await writeEvent(response, chunkBody(context, version, text));
    },
    async finish(version, generated) {
      if (!response.headersSent) await writer.write(version, '');
      await writeEvent(response, {
        ...chunkBody(context, version, ''),
        choices: [{index: 0, delta: {}, finish_reason: generated.reason}],
        parsleyarch: responseMetadata(context, version, generated),
      });
      response.end('data: [DONE]\n\n');
    },
    fail(problem) {
      if (!response.headersSent) {
        sendFailure(node, response, problem, context.requestId);
        return;
      }
      recordFailure(node, problem, context.requestId);
      const body = errorBody(problem, context.requestId);
      void writeEvent(response, body, 'error').then(() => response.end());
    },
  };
  return writer;
}

function createBufferedWriter(
  node: RouterNode,
  context: Context,
  response: ServerResponse,
  signSessionToken: () => string,
): ResponseWriter {
  let started = false;
  const writer: ResponseWriter = {
    session: context.session,
    onFirstText: () => {},
    async write() {
      if (!started) writer.onFirstText();
      started = true;
    },
    async finish(version, generated) {
      const message = {role: 'assistant', content: generated.text};
      const body = {
        id: context.requestId,
        object: 'chat.completion',
        model: version,
        choices: [{index: 0, message, finish_reason: generated.reason}],
        usage: {completion_tokens: generated.tokens},
        parsleyarch: responseMetadata(context, version, generated),
      };
      sendJson(
        response,
        200,
        body,
        responseHeaders(context, version, signSessionToken()),
      );
    },
    fail(problem) {
      sendFailure(node, response, problem, context.requestId);
    },
  };
  return writer;
}

export function createResponseWriter(
  node: RouterNode,
  context: Context,
  stream: boolean,
  response: ServerResponse,
  signSessionToken: () => string,
): ResponseWriter {
  return stream
    ? createStreamWriter(node, context, response, signSessionToken)
    : createBufferedWriter(node, context, response, signSessionToken);
}
