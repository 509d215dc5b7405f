/** The answer to a chat request, streamed or whole, in the usual JSON form. */
import type {Failure} from '@parsleyarch/errors/failure';
import {once} from 'node:events';
import type {ServerResponse} from 'node:http';
import type {Context} from './context.js';
import type {GenerationResult} from './generation.js';
import type {RouterNode} from './node.js';
import {errorBody, noteFailure, sendFailure, sendJson} from './replies.js';
import type {Session} from './sessions.js';

/** An answer that is being given. */
export interface Answering {
  session: Session;
  /** Called when the first text is passed on. */
  onFirst: () => void;
  /** Passes text on; waits while the caller reads slowly. */
  write(version: string, text: string): Promise<void>;
  /** Ends a whole answer; its bill is recorded by then. */
  finish(version: string, generated: GenerationResult): Promise<void>;
  /** Ends with an error: as a status, or as an event once text was sent. */
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

function chunk(context: Context, version: string, text: string) {
  return {
    id: context.requestId,
    object: 'chat.completion.chunk',
    model: version,
    choices: [{index: 0, delta: {content: text}, finish_reason: null}],
  };
}

function headersOf(
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

function facts(context: Context, version: string, generated: GenerationResult) {
  return {
    requestId: context.requestId,
    version,
    tokens: generated.tokens,
    billed: true,
  };
}

function streamed(
  node: RouterNode,
  context: Context,
  response: ServerResponse,
  mint: () => string,
): Answering {
  const answering: Answering = {
    session: context.session,
    onFirst: () => {},
    async write(version, text) {
      if (!response.headersSent) {
        answering.onFirst();
        response.writeHead(200, {
          ...headersOf(context, version, mint()),
          'content-type': 'text/event-stream; charset=utf-8',
          'cache-control': 'no-store',
        });
      }
      await writeEvent(response, chunk(context, version, text));
    },
    async finish(version, generated) {
      if (!response.headersSent) await answering.write(version, '');
      await writeEvent(response, {
        ...chunk(context, version, ''),
        choices: [{index: 0, delta: {}, finish_reason: generated.reason}],
        parsleyarch: facts(context, version, generated),
      });
      response.end('data: [DONE]\n\n');
    },
    fail(problem) {
      if (!response.headersSent) {
        sendFailure(node, response, problem, context.requestId);
        return;
      }
      noteFailure(node, problem, context.requestId);
      const body = errorBody(problem, context.requestId);
      void writeEvent(response, body, 'error').then(() => response.end());
    },
  };
  return answering;
}

function whole(
  node: RouterNode,
  context: Context,
  response: ServerResponse,
  mint: () => string,
): Answering {
  let begun = false;
  const answering: Answering = {
    session: context.session,
    onFirst: () => {},
    async write() {
      if (!begun) answering.onFirst();
      begun = true;
    },
    async finish(version, generated) {
      const message = {role: 'assistant', content: generated.text};
      const body = {
        id: context.requestId,
        object: 'chat.completion',
        model: version,
        choices: [{index: 0, message, finish_reason: generated.reason}],
        usage: {completion_tokens: generated.tokens},
        parsleyarch: facts(context, version, generated),
      };
      sendJson(response, 200, body, headersOf(context, version, mint()));
    },
    fail(problem) {
      sendFailure(node, response, problem, context.requestId);
    },
  };
  return answering;
}

/** Opens the answer to a chat request. */
export function openAnswer(
  node: RouterNode,
  context: Context,
  stream: boolean,
  response: ServerResponse,
  mint: () => string,
): Answering {
  return stream
    ? streamed(node, context, response, mint)
    : whole(node, context, response, mint);
}
