/** HTTP listener for callers: chat, models, plain services and probes. */
import {failure, messageOf} from '@parsleyarch/errors/failure';
import {allowedVersions} from '@parsleyarch/policy/version';
import * as http from 'node:http';
import {serveChat} from './chat.js';
import {
  currentCustomer,
  createContext,
  checkReady,
  remainingMs,
  type Context,
} from './context.js';
import type {RouterNode} from './node.js';
import {SERVICE_PATH_PREFIX, serveServiceCall} from './plain.js';
import {parseChat} from './request.js';
import {
  answerClientError,
  LISTENER_LIMITS,
  parseJson,
  readRequestBody,
  sendFailure,
  sendJson,
} from './replies.js';

type Handler = (
  node: RouterNode,
  context: Context,
  request: http.IncomingMessage,
  response: http.ServerResponse,
) => Promise<void>;

const handleChat: Handler = async (node, context, request, response) => {
  const body = await readRequestBody(request);
  const parsed = body.andThen(parseJson).andThen(parseChat);
  if (parsed.isErr()) {
    sendFailure(node, response, parsed.error, context.requestId);
    return;
  }
  await serveChat(node, context, parsed.value, response);
};

const handleModels: Handler = async (node, context, _request, response) => {
  const customer = currentCustomer(node, context);
  const data = (customer?.models ?? []).map(({model}) => ({
    id: model,
    object: 'model',
    versions: customer
      ? allowedVersions(node.configuration, customer, model).map(v => v.name)
      : [],
  }));
  sendJson(response, 200, {object: 'list', data});
};

const handlePlain: Handler = async (node, context, request, response) => {
  const problem = await serveServiceCall(node, context, request, response);
  if (problem) sendFailure(node, response, problem, context.requestId);
};

function handlerFor(method: string, path: string): Handler | undefined {
  if (path.startsWith(SERVICE_PATH_PREFIX)) return handlePlain;
  return HANDLERS[`${method} ${path}`];
}

const HANDLERS: Readonly<Record<string, Handler>> = {
  'POST /v1/chat/completions': handleChat,
  'GET /v1/models': handleModels,
};

type Probe = (node: RouterNode, response: http.ServerResponse) => void;

const PROBES: Readonly<Record<string, Probe>> = {
  '/livez': (_node, response) => sendJson(response, 200, {live: true}),
  '/readyz': (node, response) => {
    const problem = node.stopping
      ? failure('not-ready', 'this node is stopping')
      : checkReady(node);
    if (problem) sendFailure(node, response, problem, '');
    else sendJson(response, 200, {ready: true});
  },
  '/metrics': (node, response) => {
    const {callCounts} = node.store.budget;
    node.metrics.storeCalls.set({call: 'read'}, callCounts.read);
    node.metrics.storeCalls.set({call: 'write'}, callCounts.write);
    node.metrics.inFlight.set(node.activeRequests);
    void node.metrics.registry.metrics().then(text => {
      response.writeHead(200, {'content-type': 'text/plain; version=0.0.4'});
      response.end(text);
    });
  },
};

async function serve(
  node: RouterNode,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  const path = (request.url ?? '/').split('?', 1)[0];
  if (node.stopping) response.setHeader('connection', 'close');
  const probe = PROBES[path];
  if (probe) {
    probe(node, response);
    return;
  }
  const handler = handlerFor(request.method ?? 'GET', path);
  if (!handler) {
    const problem = failure('not-found', `no ${request.method} ${path}`);
    sendFailure(node, response, problem, '');
    return;
  }
  const context = createContext(node, request);
  if (context.isErr()) {
    sendFailure(node, response, context.error, '');
    return;
  }
  await serveUntilDeadline(node, context.value, handler, request, response);
}

/** Aborts the handler when the caller disconnects or the deadline passes. */
async function serveUntilDeadline(
  node: RouterNode,
  context: Context,
  handler: Handler,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  const {abort} = context;
  const abortIfUnfinished = () => {
    if (!response.writableFinished) abort.abort();
  };
  const timer = setTimeout(() => abort.abort(), remainingMs(node, context));
  response.on('close', abortIfUnfinished);
  node.activeRequests += 1;
  try {
    await handler(node, context, request, response);
  } catch (thrown) {
    const problem = failure('internal', 'the request could not be served');
    node.log.error({error: messageOf(thrown)}, 'request handler failed');
    sendFailure(node, response, problem, context.requestId);
    response.end();
  } finally {
    clearTimeout(timer);
    node.activeRequests -= 1;
  }
}

/** Resolves once the listener accepts connections. */
export async function listenForCallers(node: RouterNode): Promise<http.Server> {
  const server = http.createServer(
    {...LISTENER_LIMITS, keepAliveTimeout: 60_000},
    (request, response) => void serve(node, request, response),
  );
  server.on('clientError', answerClientError);
  const {host, port} = node.settings.callers;
  await new Promise<void>(resolve => server.listen(port, host, resolve));
  return server;
}
