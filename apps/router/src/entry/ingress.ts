/** The listener for callers, and the one for the balancer's probe. */
import {failure} from '@parsleyarch/errors/failure';
import {READY_PATH} from '@parsleyarch/platform/names';
import type {RoutingTable} from '@parsleyarch/resource/routing';
import * as http from 'node:http';
import type {AddressInfo} from 'node:net';
import {dispatch} from './dispatch.js';
import {openExchange, readBody, type Exchange} from './exchange.js';
import {confirmationAge, isReady} from './freshness.js';
import type {EntryNode} from './node.js';
import {endWithFailure, noteEnd, writeFailure} from './reply.js';

/** Header bytes that the parser takes before the declared limit is known. */
const MAX_HEADER_BYTES = 128 << 10;
/** How often slow connections are looked for, milliseconds. */
const CHECK_MS = 500;
/** When a node that stops refuses, callers should come back elsewhere at once. */
const STOPPING_RETRY_MS = 50;

function countHeaderBytes(request: http.IncomingMessage): number {
  let bytes = request.method!.length + request.url!.length + 12;
  for (const text of request.rawHeaders) bytes += text.length + 2;
  return bytes;
}

function isHeaderTooLarge(
  node: EntryNode,
  request: http.IncomingMessage,
): boolean {
  const bound = node.routes?.table.limits.headerBytes;
  return bound !== undefined && countHeaderBytes(request) > bound;
}

/** Ends the exchange when its caller leaves or its time is over. */
function watchEnd(node: EntryNode, exchange: Exchange): () => void {
  const leave = () => {
    if (exchange.ended) return;
    exchange.ended = true;
    noteEnd(node, exchange, 0, 'caller left');
    exchange.cancel?.('caller left');
  };
  exchange.response.once('close', leave);
  const timer = setTimeout(() => {
    endWithFailure(
      node,
      exchange,
      failure('deadline-exceeded', 'no answer in time'),
    );
    exchange.cancel?.('time is over');
  }, exchange.endsAt - node.clock());
  return () => clearTimeout(timer);
}

async function serve(
  node: EntryNode,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  if (isHeaderTooLarge(node, request))
    return writeFailure(
      node,
      response,
      failure('header-too-large', 'the header is too large'),
    );
  if (node.refusing)
    return writeFailure(
      node,
      response,
      failure('not-ready', 'stopping', {retryAfterMs: STOPPING_RETRY_MS}),
    );
  const opened = openExchange(node, request, response);
  if (opened.isErr()) {
    const {kind, message} = opened.error;
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
    return writeFailure(node, response, opened.error);
  }
  const exchange = opened.value;
  const stopWatching = watchEnd(node, exchange);
  try {
    const body = await readBody(node, request);
    if (body.isErr()) return endWithFailure(node, exchange, body.error);
    if (!body.value || exchange.ended) return;
    exchange.body = body.value;
    await dispatch(node, exchange);
  } finally {
    stopWatching();
  }
}

async function onRequest(
  node: EntryNode,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  node.active += 1;
  node.metrics.inFlight.set(node.active);
  const closed = new Promise(resolve => response.once('close', resolve));
  try {
    await serve(node, request, response);
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

/** Sets the bounds on callers as a configuration declares them. */
export function applyLimits(server: http.Server, table: RoutingTable): void {
  const {headerTimeoutMs, idleTimeoutMs} = table.limits;
  server.headersTimeout = headerTimeoutMs;
  server.requestTimeout = headerTimeoutMs + idleTimeoutMs;
  server.keepAliveTimeout = idleTimeoutMs;
}

/** Binds a listener. */
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

/** Creates the callers' listener. */
export function createIngress(node: EntryNode): http.Server {
  const server = http.createServer(
    {
      maxHeaderSize: MAX_HEADER_BYTES,
      connectionsCheckingInterval: CHECK_MS,
      noDelay: true,
    },
    (request, response) => void onRequest(node, request, response),
  );
  return server;
}

/** Creates the listener that answers the balancer. */
export function createReadiness(node: EntryNode): http.Server {
  return http.createServer((request, response) => {
    const found = request.url?.split('?', 1)[0] === READY_PATH;
    response.writeHead(found ? (isReady(node) ? 200 : 503) : 404);
    response.end();
  });
}

/** Creates the listener that serves metrics. */
export function createMetricsListener(node: EntryNode): http.Server {
  return http.createServer((_request, response) => {
    node.metrics.registry.metrics().then(
      text => {
        response.writeHead(200, {
          'content-type': node.metrics.registry.contentType,
        });
        response.end(text);
      },
      thrown => {
        node.log.error({error: String(thrown)}, 'metrics failed');
        response.writeHead(500).end();
      },
    );
  });
}
