/**
 * Delegates requests to another node while this one cannot connect to their
 * upstreams. The delegate serves them as its own, except that it never delegates
 * them further. Nodes authenticate each other with the key that they share.
 */
import {
  ERROR_RESPONSES,
  failure,
  Run,
  type Failure,
  type FailureKind,
} from '@parsleyarch/errors/failure';
import {
  readAnswerHeaders,
  writeDelegatedHeaders,
  type UpstreamAnswer,
} from '@parsleyarch/platform/headers';
import {isSameKey, PEER_KEY_FIELD} from '@parsleyarch/peer/key';
import {
  findRunDenial,
  permitRemainingRuns,
  returnPermit,
  type RunPermit,
} from '@parsleyarch/policy/runs';
import {chooseDelegate} from '@parsleyarch/policy/reachability';
import * as http from 'node:http';
import {CONNECT_TIMEOUT_MS} from './attempt.js';
import {isStream, type Exchange} from './exchange.js';
import type {EntryNode, Member} from './node.js';
import {isCutOff} from './reachability.js';
import {readAnswerBody} from './answer-body.js';
import {createStreamWriter, endStream} from './answer-writer.js';
import {FAILURE_FIELD, writeHead} from './relay.js';
import {endWithAnswer, endWithFailure, recordAnswer} from './reply.js';

/** Field with the number of upstreams that the delegate may try. */
const ATTEMPTS_FIELD = 'x-delegated-attempts';
/** Field with the version of the configuration by which the request was accepted. */
const CONFIGURATION_FIELD = 'x-delegated-configuration';
const DELEGATION_FIELDS: ReadonlySet<string> = new Set([
  PEER_KEY_FIELD,
  ATTEMPTS_FIELD,
  CONFIGURATION_FIELD,
]);

/** Delegates that are asked for one request. */
const MAX_DELEGATE_COUNT = 3;
/** Time for which a node that did not serve a request is no delegate. */
const DELEGATE_SKIP_MS = 2_000;

/** What this node knows of other nodes as delegates. */
export interface Delegates {
  /** Until when nodes are passed over, by node. */
  readonly skipped: Map<string, number>;
}

/** How a delegated request ended, or its answer whose header has arrived. */
type DelegateOutcome =
  /** No upstream has run it. */
  | {readonly kind: 'not run'; readonly reason: string}
  /** The delegate refuses it, and so must every node with its configuration. */
  | {readonly kind: 'refused'; readonly problem: Failure}
  /** An upstream may have run it. */
  | {readonly kind: 'lost'; readonly reason: string}
  | {
      readonly kind: 'answer';
      readonly answer: UpstreamAnswer;
      readonly message: http.IncomingMessage;
    };

function canDelegate(node: EntryNode, exchange: Exchange): boolean {
  const {isDelegated, runs, triedDelegates, service} = exchange;
  if (isDelegated || triedDelegates.size >= MAX_DELEGATE_COUNT) return false;
  return findRunDenial(runs) === undefined && isCutOff(node, service);
}

function mayServe(
  node: EntryNode,
  {service, triedDelegates}: Exchange,
  {name, delegation}: Member,
): boolean {
  if (name === node.settings.node || delegation === undefined) return false;
  if (triedDelegates.has(name)) return false;
  if ((node.delegates.skipped.get(name) ?? 0) > node.clock()) return false;
  const condition = node.load.cutOff.find(other => other.node === name);
  return !condition?.services.includes(service);
}

/** The node that serves a request for this one; `undefined` if it needs none. */
export function selectDelegate(
  node: EntryNode,
  exchange: Exchange,
): Member | undefined {
  if (!canDelegate(node, exchange)) return undefined;
  const candidates = [...node.members.values()].filter(member =>
    mayServe(node, exchange, member),
  );
  const pressed = node.load.cutOff.filter(({isPressed}) => isPressed);
  const names = new Set(pressed.map(({node: name}) => name));
  const free = candidates.filter(({name}) => !names.has(name));
  return chooseDelegate(
    free.length > 0 ? free : candidates,
    node.settings.failureDomain,
    node.random,
  );
}

function buildHeaders(
  node: EntryNode,
  exchange: Exchange,
  {runs}: RunPermit,
): string[] {
  const {request, body, deadlineAt} = exchange;
  const headers = writeDelegatedHeaders(
    request.rawHeaders,
    deadlineAt - node.clock(),
    DELEGATION_FIELDS,
  );
  headers.push(PEER_KEY_FIELD, node.peers.key ?? '');
  headers.push(ATTEMPTS_FIELD, String(runs));
  headers.push(CONFIGURATION_FIELD, String(exchange.configuration));
  if (body.length > 0 || exchange.hasBody)
    headers.push('content-length', String(body.length));
  headers.push('connection', 'close');
  return headers;
}

function isFailureKind(kind: string): kind is FailureKind {
  return Object.hasOwn(ERROR_RESPONSES, kind);
}

/** The failure that the delegate itself answers with; `undefined` if it is another's. */
function readFailure({headers}: http.IncomingMessage): Failure | undefined {
  const kind = String(headers[FAILURE_FIELD] ?? '');
  if (!isFailureKind(kind)) return undefined;
  return failure(kind, 'the delegate refuses the request');
}

/**
 * Status of the refusals of nodes of an earlier release, which do not name the kind.
 * Others without a seal may be of an upstream that ran the request.
 */
const REFUSED_STATUS = 503;

function classifyAnswer(message: http.IncomingMessage): DelegateOutcome {
  const status = message.statusCode ?? 0;
  const answer = readAnswerHeaders(status, message.rawHeaders);
  if (answer.sealed) return {kind: 'answer', answer, message};
  message.destroy();
  const reason = `delegate answered ${status}`;
  const problem = readFailure(message);
  if (!problem)
    return {kind: status === REFUSED_STATUS ? 'not run' : 'lost', reason};
  if (problem.run !== Run.notRun) return {kind: 'lost', reason};
  if (ERROR_RESPONSES[problem.kind].retryable) return {kind: 'not run', reason};
  return {kind: 'refused', problem};
}

function sendToDelegate(
  node: EntryNode,
  exchange: Exchange,
  permit: RunPermit,
  address: string,
): Promise<DelegateOutcome> {
  const [host, port] = address.split(':');
  const outgoing = http.request({
    host,
    port: Number(port),
    method: exchange.method,
    path: exchange.target,
    agent: node.peerAgent,
    headers: buildHeaders(node, exchange, permit),
    setHost: false,
  });
  let connected = false;
  let cancelReason = '';
  const cancel = (reason: string) => {
    cancelReason ||= reason;
    outgoing.destroy();
  };
  exchange.cancel = cancel;
  const connectTimer = setTimeout(
    () => cancel('connection to the delegate timed out'),
    CONNECT_TIMEOUT_MS,
  );
  outgoing.once('socket', socket =>
    socket.once('connect', () => {
      connected = true;
      clearTimeout(connectTimer);
    }),
  );
  return new Promise(resolve => {
    const fail = (error?: Error) => {
      clearTimeout(connectTimer);
      const reason = cancelReason || error?.message || 'connection closed';
      resolve({kind: connected ? 'lost' : 'not run', reason});
    };
    outgoing.on('response', message => resolve(classifyAnswer(message)));
    outgoing.on('error', fail);
    outgoing.on('close', fail);
    outgoing.end(exchange.body);
  });
}

async function relayBody(
  node: EntryNode,
  exchange: Exchange,
  answer: UpstreamAnswer,
  message: http.IncomingMessage,
): Promise<void> {
  const {response} = exchange;
  writeHead(node, response, answer);
  response.flushHeaders();
  const writer = createStreamWriter(node, response);
  try {
    for await (const chunk of message as AsyncIterable<Buffer>) {
      writer.write(chunk);
      await writer.waitForReader();
    }
  } catch {
    // The check below covers a body that has ended early.
  }
  if (exchange.ended) return;
  if (!message.complete)
    return endWithFailure(
      node,
      exchange,
      failure('upstream-lost', 'the stream of the delegate broke'),
    );
  exchange.ended = true;
  endStream(node, response);
  recordAnswer(node, exchange, answer.status, 'delegate, stream complete');
}

/** Relays the answer of a delegate; returns why it could not. */
async function relayAnswer(
  node: EntryNode,
  exchange: Exchange,
  {answer, message}: Extract<DelegateOutcome, {kind: 'answer'}>,
): Promise<string | undefined> {
  if (isStream(exchange) && answer.status < 300) {
    await relayBody(node, exchange, answer, message);
    return undefined;
  }
  const body = await readAnswerBody(node, {message, broken: false});
  if (!body) return 'answer of the delegate ended early or was too large';
  endWithAnswer(node, exchange, {answer, body});
  return undefined;
}

/**
 * Sends a request to a delegate and relays its answer. Returns why there is no
 * answer, or `undefined` if the request has ended.
 */
export async function delegate(
  node: EntryNode,
  exchange: Exchange,
  {name, delegation = ''}: Member,
): Promise<string | undefined> {
  const startedAt = node.clock();
  exchange.triedDelegates.add(name);
  const permitted = permitRemainingRuns(exchange.runs);
  if (permitted.isErr()) return permitted.error;
  const permit = permitted.value;
  const outcome = await sendToDelegate(node, exchange, permit, delegation);
  if (outcome.kind === 'not run' || outcome.kind === 'refused')
    returnPermit(exchange.runs, permit);
  const reason = 'reason' in outcome ? outcome.reason : undefined;
  node.metrics.delegations.inc({outcome: outcome.kind});
  node.logDecision('delegate', {
    requestId: exchange.caller.attemptId,
    delegate: name,
    service: exchange.service,
    outcome: outcome.kind,
    status: 'answer' in outcome ? outcome.answer.status : undefined,
    reason,
    refusal: 'problem' in outcome ? outcome.problem.kind : undefined,
    runsBefore: permit.runsBefore,
    tookMs: Math.round(node.clock() - startedAt),
  });
  if (exchange.ended) {
    if (outcome.kind === 'answer') outcome.message.destroy();
    return undefined;
  }
  if (outcome.kind === 'answer') return relayAnswer(node, exchange, outcome);
  if (outcome.kind === 'refused') {
    endWithFailure(node, exchange, outcome.problem);
    return undefined;
  }
  node.delegates.skipped.set(name, node.clock() + DELEGATE_SKIP_MS);
  return reason;
}

/** A request that another node has delegated to this one. */
export interface Delegation {
  /** Upstreams that may be tried. */
  readonly attempts: number;
  /** Version of the configuration by which the first node has accepted it. */
  readonly configuration: number;
}

/**
 * Reads the fields of a delegated request and removes them from its header;
 * `undefined` if the sender is no node.
 */
export function acceptDelegation(
  node: EntryNode,
  request: http.IncomingMessage,
): Delegation | undefined {
  const {headers, rawHeaders} = request;
  const key = String(headers[PEER_KEY_FIELD] ?? '');
  if (node.peers.key === undefined || !isSameKey(key, node.peers.key))
    return undefined;
  const attempts = Number(headers[ATTEMPTS_FIELD]);
  if (!Number.isInteger(attempts) || attempts < 1) return undefined;
  // Nodes of an earlier release do not name the version.
  const configuration = Number(headers[CONFIGURATION_FIELD] ?? 0);
  if (!Number.isFinite(configuration)) return undefined;
  request.rawHeaders = rawHeaders.filter((_text, index) => {
    const name = rawHeaders[index - (index % 2)];
    return !DELEGATION_FIELDS.has(name.toLowerCase());
  });
  return {attempts, configuration};
}
