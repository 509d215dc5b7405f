/** One send of a request to one upstream. */
import {
  readAnswerHeaders,
  writeRequestHeaders,
  type UpstreamAnswer,
  type UpstreamRequest,
} from '@parsleyarch/platform/headers';
import * as http from 'node:http';
import type {EntryNode, UpstreamState} from './node.js';
import type {Exchange} from './exchange.js';
import type {Selection} from './selection.js';

/** Longest wait for a connection to an upstream, milliseconds. */
const CONNECT_MS = 400;
/** Largest body of an answer that is held back until it is whole, bytes. */
export const MAX_HELD_BYTES = 4 << 20;

/** How a send ended, or that an answer has begun. */
export type Outcome =
  /** Nothing of the request has left this node. */
  | {readonly kind: 'unsent'; readonly reason: string}
  /** The upstream states that the request did not run. */
  | {readonly kind: 'refused'; readonly answer: UpstreamAnswer}
  /** The request may have run, and no usable answer came. */
  | {
      readonly kind: 'lost';
      readonly reason: string;
      /** Whether this node gave up waiting. */
      readonly tooLate?: boolean;
    }
  /** The header of an answer has come. */
  | {
      readonly kind: 'answer';
      readonly answer: UpstreamAnswer;
      readonly body: AnswerBody;
    };

/** The body of an answer, as it comes. */
export interface AnswerBody {
  readonly message: http.IncomingMessage;
  /** Whether the connection broke; a body without length then looks whole. */
  broken: boolean;
}

/** Whether a body that has ended is all that the upstream sent. */
export function isWhole({message, broken}: AnswerBody): boolean {
  return message.complete && !broken;
}

/** A send that runs. */
export interface Attempt {
  readonly upstream: UpstreamState;
  readonly startedAt: number;
  /** Work at the upstream when it was sent, its own included. */
  readonly behindWork: number;
  readonly outcome: Promise<Outcome>;
  /** Ends the send and, with the connection, the upstream's work. */
  cancel(reason: string, tooLate?: boolean): void;
}

function headersOf(exchange: Exchange, request: UpstreamRequest): string[] {
  const headers = writeRequestHeaders(exchange.caller.forwarded, request);
  const {body} = exchange;
  if (body.length > 0 || exchange.hasBody)
    headers.push('content-length', String(body.length));
  headers.push('connection', 'close');
  return headers;
}

/** Why an answer is not the upstream's answer to this request. */
function findFault(
  answer: UpstreamAnswer,
  exchange: Exchange,
): string | undefined {
  const {attemptId} = exchange.caller;
  if (answer.attemptId !== undefined && answer.attemptId !== attemptId)
    return 'answer to another request';
  if (answer.encoded) return 'encoded body';
  const success = answer.status >= 200 && answer.status < 300;
  if (success && (!answer.sealed || answer.attemptId === undefined))
    return 'success without a seal';
  return undefined;
}

function judge(exchange: Exchange, body: AnswerBody): Outcome {
  const response = body.message;
  const answer = readAnswerHeaders(
    response.statusCode ?? 0,
    response.rawHeaders,
  );
  if (answer.notRun) {
    response.resume();
    return {kind: 'refused', answer};
  }
  const fault = findFault(answer, exchange);
  if (!fault) return {kind: 'answer', answer, body};
  response.destroy();
  return {kind: 'lost', reason: fault};
}

function endsWithConnection({headers}: http.IncomingMessage): boolean {
  return (
    headers['content-length'] === undefined &&
    headers['transfer-encoding'] === undefined
  );
}

/**
 * A reset that arrives together with the last bytes is reported as an ordinary
 * end. The socket of a reset connection no longer has a peer address.
 */
function watchForReset(body: AnswerBody): void {
  const {socket} = body.message;
  socket.prependListener('end', () => {
    if (socket.remoteAddress === undefined) body.broken = true;
  });
}

/** Sends a request on a connection of its own. */
export function startAttempt(
  node: EntryNode,
  exchange: Exchange,
  {upstream, work, present}: Selection,
  request: UpstreamRequest,
): Attempt {
  const [host, port] = upstream.registered.address.split(':');
  const sent = http.request({
    host,
    port: Number(port),
    method: exchange.method,
    path: exchange.target,
    agent: node.agent,
    headers: headersOf(exchange, request),
    setHost: false,
  });
  let connected = false;
  let cause = '';
  let gaveUp = false;
  upstream.inFlight += 1;
  upstream.pendingWork += work;
  const outcome = new Promise<Outcome>(resolve => {
    const connecting = setTimeout(
      () => cancel('no connection in time'),
      CONNECT_MS,
    );
    const fail = (error?: Error) => {
      const reason = cause || error?.message || 'closed';
      resolve(
        connected
          ? {kind: 'lost', reason, tooLate: gaveUp}
          : {kind: 'unsent', reason},
      );
    };
    sent.once('socket', socket => {
      socket.once('connect', () => {
        connected = true;
        clearTimeout(connecting);
      });
    });
    let body: AnswerBody | undefined;
    sent.on('response', message => {
      body = {message, broken: false};
      if (endsWithConnection(message)) watchForReset(body);
      upstream.pendingWork -= work;
      upstream.streaming += 1;
      resolve(judge(exchange, body));
    });
    sent.on('error', error => {
      if (body && endsWithConnection(body.message)) body.broken = true;
      fail(error);
    });
    sent.on('close', () => {
      clearTimeout(connecting);
      upstream.inFlight -= 1;
      if (body) upstream.streaming -= 1;
      else upstream.pendingWork -= work;
      fail();
    });
  });
  function cancel(reason: string, tooLate = false): void {
    cause = cause || reason;
    gaveUp ||= tooLate;
    sent.destroy();
  }
  sent.end(exchange.body);
  const behindWork = present + work;
  return {upstream, startedAt: node.clock(), behindWork, outcome, cancel};
}
