/** Listeners for callers, for readiness probes and for metrics. */
import {failure, type Failure} from '@parsleyarch/errors/failure';
import {READINESS_PATH} from '@parsleyarch/platform/names';
import {isRefusing} from '@parsleyarch/policy/stopping';
import type {RoutingTable} from '@parsleyarch/resource/routing';
import * as http from 'node:http';
import type {AddressInfo} from 'node:net';
import {acceptDelegation, type Delegation} from './delegation.js';
import {dispatch} from './dispatch.js';
import {admitRequest, onceClosed, trackConnections} from './connections.js';
import {createExchange, RETRY_AFTER_MS, type Exchange} from './exchange.js';
import {LimitKind, recordLimit} from './limit-uses.js';
import {recordEvenness} from './load-metrics.js';
import {confirmationAge, isReady} from './freshness.js';
import {awaitFirstConfiguration} from './first-configuration.js';
import type {EntryNode} from './node.js';
import {
  createStoppingFailure,
  endWithFailure,
  recordAnswer,
  writeFailure,
} from './reply.js';
import {heldBytes} from './held-bytes.js';
import {readRequestBody} from './request-body.js';
import {mayHaveRun} from './retries.js';
import {takeTurn} from './turns.js';

/** Header limit of the parser, which is set before the configured limit is known. */
const MAX_HEADER_BYTES = 128 << 10;
/** Open connections of a listener for probes. */
const MAX_PROBE_CONNECTIONS = 64;
/** Interval of the check for connections that exceed their time limits. */
const SLOW_CONNECTION_CHECK_MS = 500;

/**
 * Size of a request's header. The request line adds 12 bytes for two spaces,
 * `HTTP/1.1` and CRLF; each name or value adds 2 for `: ` or CRLF.
 */
function countHeaderBytes(request: http.IncomingMessage): number {
  let bytes = request.method!.length + request.url!.length + 12;
  for (const text of request.rawHeaders) bytes += text.length + 2;
  return bytes;
}

function isHeaderTooLarge(
  node: EntryNode,
  request: http.IncomingMessage,
): boolean {
  const maxBytes = node.routes?.table.limits.headerBytes;
  return maxBytes !== undefined && countHeaderBytes(request) > maxBytes;
}

/** Ends the exchange when the caller disconnects or the deadline passes. */
function watchExchange(node: EntryNode, exchange: Exchange): () => void {
  const onDisconnect = () => {
    if (exchange.ended) return;
    exchange.ended = true;
    recordAnswer(node, exchange, 0, 'caller disconnected');
    exchange.cancel?.('caller disconnected');
  };
  onceClosed(node, exchange.response, onDisconnect);
  // The response closes two iterations of the event loop after its connection ends.
  const {socket} = exchange.request;
  socket.once('end', onDisconnect);
  const timer = setTimeout(() => {
    endWithFailure(
      node,
      exchange,
      failure('deadline-exceeded', 'no answer before the deadline'),
    );
    exchange.cancel?.('deadline exceeded');
  }, exchange.deadlineAt - node.clock());
  return () => {
    clearTimeout(timer);
    socket.off('end', onDisconnect);
  };
}

async function serveRequest(
  node: EntryNode,
  request: http.IncomingMessage,
  response: http.ServerResponse,
  delegation?: Delegation,
): Promise<void> {
  if (isHeaderTooLarge(node, request))
    return writeFailure(
      node,
      response,
      failure('header-too-large', 'the header is too large'),
    );
  if (isRefusing(node.stop, node.clock())) {
    // Closing a connection with unread bytes would reset it, and lose the answer.
    const reading = readRequestBody(node, request);
    await reading.result;
    reading.release();
    return writeFailure(node, response, createStoppingFailure());
  }
  if (!node.routes) await awaitFirstConfiguration(node);
  if (response.destroyed) return;
  if (node.exchanges.size >= node.clientLimits.requests) {
    recordLimit(node, LimitKind.requests);
    return writeFailure(node, response, createOverload());
  }
  const created = createExchange(node, request, response, delegation);
  if (created.isErr()) {
    recordRefusal(node, request, created.error);
    return writeFailure(node, response, created.error);
  }
  await serveExchange(node, created.value);
}

/** Records the refusal of a request whose route is not known. */
function recordRefusal(
  node: EntryNode,
  request: http.IncomingMessage,
  {kind, message}: Failure,
): void {
  node.logDecision('refuse', {
    requestId: request.headers['x-request-id'],
    host: request.headers.host,
    target: request.url?.slice(0, 100),
    configuration: node.routes?.table.version,
    confirmationAgeMs: Math.round(confirmationAge(node)),
    kind,
    reason: message,
  });
  node.metrics.answers.inc({route: '', status: kind});
}

async function serveExchange(
  node: EntryNode,
  exchange: Exchange,
): Promise<void> {
  node.exchanges.add(exchange);
  const stopWatching = watchExchange(node, exchange);
  const reading = readRequestBody(node, exchange.request);
  exchange.cancel = reading.stop;
  try {
    const body = await reading.result;
    if (body.isErr()) return endWithFailure(node, exchange, body.error);
    if (!body.value || exchange.ended) return;
    exchange.body = body.value;
    const refusal = await takeTurn(node, exchange);
    if (refusal) return endWithFailure(node, exchange, refusal);
    if (exchange.ended) return;
    await dispatch(node, exchange);
  } finally {
    stopWatching();
    reading.release();
    node.exchanges.delete(exchange);
  }
}

/** The refusal of a node that serves as many requests as it may. */
function createOverload(): Failure {
  const retryAfterMs = RETRY_AFTER_MS;
  return failure('overloaded', 'too many requests', {retryAfterMs});
}

/** Answers all requests of a node whose grace period ends; streams are cut off. */
export function giveUpRequests(node: EntryNode): void {
  for (const exchange of node.exchanges) {
    const problem = mayHaveRun(exchange)
      ? failure('upstream-lost', 'stopped before the answer')
      : createStoppingFailure();
    endWithFailure(node, exchange, problem);
    exchange.cancel?.('stopping');
  }
}

async function handleRequest(
  node: EntryNode,
  request: http.IncomingMessage,
  response: http.ServerResponse,
  delegation?: Delegation,
): Promise<void> {
  if (!admitRequest(node, response)) return;
  node.active += 1;
  node.metrics.inFlight.set(node.active);
  const closed = new Promise<void>(resolve =>
    onceClosed(node, response, resolve),
  );
  try {
    await serveRequest(node, request, response, delegation);
  } catch (thrown) {
    node.log.error({error: String(thrown)}, 'request failed unexpectedly');
    const problem = failure('internal', 'unexpected error');
    if (response.headersSent) response.destroy();
    else writeFailure(node, response, problem);
  }
  await closed;
  node.active -= 1;
  node.metrics.inFlight.set(node.active);
}

/** Applies the time limits on callers that a configuration declares. */
export function applyCallerLimits(
  server: http.Server,
  table: RoutingTable,
): void {
  const {headerTimeoutMs, idleTimeoutMs} = table.limits;
  server.headersTimeout = headerTimeoutMs;
  server.requestTimeout = headerTimeoutMs + idleTimeoutMs;
  server.keepAliveTimeout = idleTimeoutMs;
}

/** Starts a listener; resolves with the address that it is bound to. */
export function listen(
  server: http.Server,
  address: string,
): Promise<AddressInfo> {
  const [host, port] = address.split(':');
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(Number(port), host, 1_024, () => {
      server.off('error', reject);
      resolve(server.address() as AddressInfo);
    });
  });
}

export function createCallerListener(node: EntryNode): http.Server {
  const server = http.createServer(
    {
      maxHeaderSize: MAX_HEADER_BYTES,
      connectionsCheckingInterval: SLOW_CONNECTION_CHECK_MS,
      noDelay: true,
    },
    (request, response) => void handleRequest(node, request, response),
  );
  trackConnections(node, server);
  return server;
}

/** Creates the listener for requests that other nodes delegate to this one. */
export function createDelegationListener(node: EntryNode): http.Server {
  const server = http.createServer(
    {
      maxHeaderSize: MAX_HEADER_BYTES,
      connectionsCheckingInterval: SLOW_CONNECTION_CHECK_MS,
      noDelay: true,
    },
    (request, response) => {
      const delegation = acceptDelegation(node, request);
      if (delegation)
        return void handleRequest(node, request, response, delegation);
      node.log.warn('delegated request without the key of the nodes');
      response.writeHead(403, {connection: 'close'}).end();
    },
  );
  trackConnections(node, server);
  return server;
}

/** Creates a listener for the few clients that probe a node. */
function createProbedServer(listener: http.RequestListener): http.Server {
  const server = http.createServer(
    {connectionsCheckingInterval: SLOW_CONNECTION_CHECK_MS},
    listener,
  );
  server.maxConnections = MAX_PROBE_CONNECTIONS;
  return server;
}

/** Creates the listener that answers the load balancer's readiness probes. */
export function createReadinessListener(node: EntryNode): http.Server {
  return createProbedServer((request, response) => {
    const isReadinessPath = request.url?.split('?', 1)[0] === READINESS_PATH;
    response.writeHead(isReadinessPath ? (isReady(node) ? 200 : 503) : 404);
    response.end();
  });
}

export function createMetricsListener(node: EntryNode): http.Server {
  return createProbedServer((_request, response) => {
    node.metrics.heldBytes.set(heldBytes(node));
    recordEvenness(node);
    node.metrics.registry.metrics().then(
      text => {
        response.writeHead(200, {
          'content-type': node.metrics.registry.contentType,
        });
        response.end(text);
      },
      thrown => {
        node.log.error(
          {error: String(thrown)},
          'metrics could not be collected',
        );
        response.writeHead(500).end();
      },
    );
  });
}
