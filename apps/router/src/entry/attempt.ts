/** An attempt: one send of a request to one upstream. */
import {
  readAnswerHeaders,
  writeRequestHeaders,
  type UpstreamAnswer,
  type UpstreamRequest,
} from '@parsleyarch/platform/headers';
import type {RunPermit} from '@parsleyarch/policy/runs';
import type {RegisteredUpstream} from '@parsleyarch/resource/routing';
import * as http from 'node:http';
import type {EntryNode, UpstreamState} from './node.js';
import type {Exchange} from './exchange.js';
import {recordWorkSent} from './placing.js';
import {recordPassed} from './pressure.js';
import {recordConnection} from './reachability.js';
import type {Selection} from './selection.js';
import {afterEvents} from './turns.js';

export const CONNECT_TIMEOUT_MS = 400;
const CONNECT_TIMEOUT_REASON = 'connection timed out';
/** Maximum size of an answer that is buffered until it is complete. */
export const MAX_BUFFERED_BYTES = 4 << 20;

/** How a send ended, or the answer whose header has arrived. */
export type Outcome =
  /** No part of the request has left this node. */
  | {
      readonly kind: 'unsent';
      readonly reason: string;
      /** Whether the upstream was not reached; false if the send was cancelled. */
      readonly unreachable: boolean;
      /** Whether its address refused the connection. */
      readonly refused: boolean;
    }
  /** The upstream states that the request did not run. */
  | {readonly kind: 'refused'; readonly answer: UpstreamAnswer}
  /** The request may have run, but no usable answer arrived. */
  | {
      readonly kind: 'lost';
      readonly reason: string;
      /** Whether this node cancelled the send after a timeout. */
      readonly tooLate?: boolean;
      /** Whether the upstream closed the connection without an answer. */
      readonly closedByUpstream?: boolean;
    }
  /** The header of a usable answer has arrived. */
  | {
      readonly kind: 'answer';
      readonly answer: UpstreamAnswer;
      readonly body: AnswerBody;
    };

/** The body of an answer while it is received. */
export interface AnswerBody {
  readonly send: Send;
  /** Whether the end of the connection is the end of the body. */
  readonly closeDelimited: boolean;
  readonly message: http.IncomingMessage;
  /**
   * Whether the connection broke. A body that is delimited by the end of the
   * connection looks complete to Node.js in that case.
   */
  broken: boolean;
}

/** Whether a body that has ended was received completely. */
export function isComplete({
  message,
  broken,
}: Pick<AnswerBody, 'message' | 'broken'>): boolean {
  return message.complete && !broken;
}

/** When a request was sent, and to which incarnation of an upstream. */
export interface Send {
  readonly registered: RegisteredUpstream;
  readonly startedAt: number;
}

/** A send in progress. */
export interface Attempt extends Send {
  /** Permit under which the request was sent. */
  readonly permit: RunPermit;
  readonly upstream: UpstreamState;
  /** Level of urgency that the upstream was given. */
  readonly urgency: number;
  /** Work at the upstream at the time of the send, including its own. */
  readonly upstreamWork: number;
  readonly outcome: Promise<Outcome>;
  /** Closes the connection, which also ends the upstream's work. */
  cancel(reason: string, afterTimeout?: boolean): void;
}

function buildHeaders(exchange: Exchange, request: UpstreamRequest): string[] {
  const headers = writeRequestHeaders(exchange.caller.forwarded, request);
  const {body} = exchange;
  if (body.length > 0 || exchange.hasBody)
    headers.push('content-length', String(body.length));
  headers.push('connection', 'close');
  return headers;
}

/** Whether an answer names another request, which only a faulty upstream does. */
function isOfOther({attemptId}: UpstreamAnswer, {caller}: Exchange): boolean {
  return attemptId !== undefined && attemptId !== caller.attemptId;
}

/** Returns why an answer that is no refusal cannot be used. */
function findDefect(answer: UpstreamAnswer): string | undefined {
  if (answer.encoded) return 'answer body is encoded';
  const success = answer.status >= 200 && answer.status < 300;
  if (success && (!answer.sealed || answer.attemptId === undefined))
    return 'successful answer has no seal';
  return undefined;
}

function classifyAnswer(exchange: Exchange, body: AnswerBody): Outcome {
  const response = body.message;
  const answer = readAnswerHeaders(
    response.statusCode ?? 0,
    response.rawHeaders,
  );
  if (isOfOther(answer, exchange)) {
    response.destroy();
    return {kind: 'lost', reason: 'answer belongs to another request'};
  }
  if (answer.notRun) {
    // The body is not needed, and may have no end.
    response.destroy();
    return {kind: 'refused', answer};
  }
  const defect = findDefect(answer);
  if (!defect) return {kind: 'answer', answer, body};
  response.destroy();
  return {kind: 'lost', reason: defect};
}

function isRefusal(error?: Error): boolean {
  return (
    error !== undefined && 'code' in error && error.code === 'ECONNREFUSED'
  );
}

function isCloseDelimited({headers}: http.IncomingMessage): boolean {
  return (
    headers['content-length'] === undefined &&
    headers['transfer-encoding'] === undefined
  );
}

/**
 * Node.js reports a reset that arrives together with the last bytes as an
 * ordinary end. The reset is detected by the socket's missing peer address.
 */
function detectReset(body: AnswerBody): void {
  const {socket} = body.message;
  socket.prependListener('end', () => {
    if (socket.remoteAddress === undefined) body.broken = true;
  });
}

/** Sends a request over a new connection. */
export function startAttempt(
  node: EntryNode,
  exchange: Exchange,
  permit: RunPermit,
  {upstream, addedWork, presentWork}: Selection,
  request: UpstreamRequest,
): Attempt {
  const {registered} = upstream;
  const send = {registered, startedAt: node.clock()};
  const [host, port] = registered.address.split(':');
  const outgoing = http.request({
    host,
    port: Number(port),
    method: exchange.method,
    path: exchange.target,
    agent: node.agent,
    headers: buildHeaders(exchange, request),
    setHost: false,
  });
  let sent = false;
  let cancelReason = '';
  let timedOut = false;
  upstream.inFlight += 1;
  upstream.pendingWork += addedWork;
  recordWorkSent(node, registered.service, addedWork);
  const outcome = new Promise<Outcome>(resolve => {
    const connectTimer = setTimeout(
      () => cancel(CONNECT_TIMEOUT_REASON),
      CONNECT_TIMEOUT_MS,
    );
    const fail = (error?: Error) => {
      const unreachable =
        cancelReason === '' || cancelReason === CONNECT_TIMEOUT_REASON;
      const reason = cancelReason || error?.message || 'connection closed';
      resolve(
        sent
          ? {
              kind: 'lost',
              reason,
              tooLate: timedOut,
              closedByUpstream: cancelReason === '',
            }
          : {kind: 'unsent', reason, unreachable, refused: isRefusal(error)},
      );
    };
    outgoing.once('socket', socket => {
      socket.once('connect', () => {
        recordConnection(node, upstream);
        clearTimeout(connectTimer);
        afterEvents(node, () => {
          if (outgoing.destroyed) return;
          sent = true;
          outgoing.end(exchange.body);
        });
      });
    });
    let body: AnswerBody | undefined;
    outgoing.on('response', message => {
      const closeDelimited = isCloseDelimited(message);
      body = {send, closeDelimited, message, broken: false};
      if (closeDelimited) detectReset(body);
      upstream.pendingWork -= addedWork;
      upstream.streaming += 1;
      resolve(classifyAnswer(exchange, body));
    });
    outgoing.on('error', error => {
      if (body?.closeDelimited) body.broken = true;
      fail(error);
    });
    outgoing.on('close', () => {
      clearTimeout(connectTimer);
      const {bytesRead = 0, bytesWritten = 0} = outgoing.socket ?? {};
      recordPassed(node, bytesRead + bytesWritten);
      upstream.inFlight -= 1;
      if (body) upstream.streaming -= 1;
      else upstream.pendingWork -= addedWork;
      fail();
    });
  });
  function cancel(reason: string, afterTimeout = false): void {
    cancelReason = cancelReason || reason;
    timedOut ||= afterTimeout;
    outgoing.destroy();
  }
  const upstreamWork = presentWork + addedWork;
  return {
    ...send,
    permit,
    upstream,
    urgency: request.urgency,
    upstreamWork,
    outcome,
    cancel,
  };
}
