/** Error answers of the router, and the log entry and metric of every answer. */
import {
  ERROR_RESPONSES,
  failure,
  type Failure,
} from '@parsleyarch/errors/failure';
import type {UpstreamAnswer} from '@parsleyarch/platform/headers';
import {countRuns} from '@parsleyarch/policy/runs';
import type {ServerResponse} from 'node:http';
import type {Exchange} from './exchange.js';
import type {EntryNode} from './node.js';
import {endWithBody} from './answer-writer.js';
import {FAILURE_FIELD, writeHead} from './relay.js';
import {endAfterRequestBody} from './unread-body.js';

const MS_PER_SECOND = 1_000;
/** Retry delay of callers that a stopping node refuses; short, as they reach another node. */
const STOPPING_RETRY_AFTER_MS = 50;
/** Failures after which the connection is closed, as its input is not read further. */
const CONNECTION_CLOSING_KINDS: ReadonlySet<string> = new Set([
  'body-too-large',
  'header-too-large',
  'invalid-request',
  'invalid-header',
]);

/** Writes the error answer for a failure, with the status from `ERROR_RESPONSES`. */
export function writeFailure(
  node: EntryNode,
  response: ServerResponse,
  problem: Failure,
): void {
  if (response.headersSent || response.destroyed) return;
  const {status} = ERROR_RESPONSES[problem.kind];
  const {kind, message, run, retryAfterMs} = problem;
  const text = JSON.stringify({error: {kind, message, run, retryAfterMs}});
  const headers: Record<string, string | number> = {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
    [FAILURE_FIELD]: kind,
  };
  if (retryAfterMs !== undefined)
    headers['retry-after'] = (retryAfterMs / MS_PER_SECOND).toFixed(2);
  if (node.stopping || CONNECTION_CLOSING_KINDS.has(kind))
    headers['connection'] = 'close';
  response.writeHead(status, headers);
  endAfterRequestBody(node, response, text);
}

/** The refusal of a node that is being stopped. */
export function createStoppingFailure(): Failure {
  const retryAfterMs = STOPPING_RETRY_AFTER_MS;
  return failure('not-ready', 'stopping', {retryAfterMs});
}

/** Records how a request ended; status 0 is a closed connection. */
export function recordAnswer(
  node: EntryNode,
  exchange: Exchange,
  status: number,
  reason: string,
): void {
  const {route, caller, service, sends, runs, startedAt} = exchange;
  node.metrics.answers.inc({route: route.name, status: String(status)});
  node.logDecision('answer', {
    requestId: caller.attemptId,
    route: route.name,
    customer: exchange.customer?.name,
    session: caller.session,
    side: exchange.side,
    service,
    configuration: node.routes?.table.version,
    status,
    reason,
    sends,
    runs: countRuns(runs),
    tookMs: Math.round(node.clock() - startedAt),
  });
}

/** Ends a request with a failure; closes the connection if the answer has begun. */
export function endWithFailure(
  node: EntryNode,
  exchange: Exchange,
  problem: Failure,
): void {
  if (exchange.ended) return;
  exchange.ended = true;
  const {response} = exchange;
  if (response.headersSent) {
    recordAnswer(node, exchange, 0, `${problem.kind}: ${problem.message}`);
    response.destroy();
    return;
  }
  const {status} = ERROR_RESPONSES[problem.kind];
  recordAnswer(node, exchange, status, `${problem.kind}: ${problem.message}`);
  writeFailure(node, response, problem);
}

/** A complete answer of an upstream. */
export interface BufferedAnswer {
  readonly answer: UpstreamAnswer;
  readonly body: Buffer;
}

/**
 * Ends a request with the answer of an upstream; closes the connection if another
 * answer has begun.
 */
export function endWithAnswer(
  node: EntryNode,
  exchange: Exchange,
  {answer, body}: BufferedAnswer,
): void {
  if (exchange.ended) return;
  if (exchange.response.headersSent) {
    const reason = `the stream broke; ${answer.status} before it`;
    return endWithFailure(node, exchange, failure('upstream-lost', reason));
  }
  exchange.ended = true;
  writeHead(node, exchange.response, answer, body.length);
  endWithBody(node, exchange.response, body);
  recordAnswer(node, exchange, answer.status, 'upstream');
}
