/** HTTP listener for operators: declarations, watch, status and explanations. */
import {failure, raise, type Failure} from '@parsleyarch/errors/failure';
import type {Change, LogEntry} from '@parsleyarch/protocol/log';
import {checkProposal} from '@parsleyarch/protocol/log';
import {findResource, listResources} from '@parsleyarch/resource/configuration';
import {KINDS, type Kind} from '@parsleyarch/resource/schema';
import {parseDeclaration} from '@parsleyarch/resource/validate';
import {randomUUID} from 'node:crypto';
import * as http from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod';
import {appendProposal, listEntriesAfter} from './config.js';
import {findDecisionLines} from './decisions.js';
import {
  assessNodeFreshness,
  listLiveNodeNames,
  type RouterNode,
} from './node.js';
import {
  answerClientError,
  bearerHash,
  LISTENER_LIMITS,
  parseJson,
  readRequestBody,
  sameHash,
  sendFailure,
  sendJson,
} from './replies.js';

const ApplyRequest = z.object({
  dryRun: z.boolean().default(false),
  changes: z
    .array(
      z.object({
        kind: z.string(),
        name: z.string(),
        spec: z.unknown().optional(),
        expect: z.number().int().nonnegative().optional(),
      }),
    )
    .min(1)
    .max(1_000),
});

/** One authenticated request of an operator. */
interface Operation {
  readonly author: string;
  readonly url: URL;
  readonly path: readonly string[];
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
}

type Handler = (
  node: RouterNode,
  operation: Operation,
) => Promise<Failure | undefined>;

function authorOf(
  node: RouterNode,
  request: http.IncomingMessage,
): Result<string, Failure> {
  const hash = bearerHash(request);
  if (hash.isErr()) return err(hash.error);
  let author: string | undefined;
  for (const key of node.settings.operatorKeys)
    if (sameHash(key.keyHash, hash.value)) author = key.author;
  return author ? ok(author) : raise('unauthenticated', 'unknown operator key');
}

function parseKind(text: string): Result<Kind, Failure> {
  if (KINDS.includes(text as Kind)) return ok(text as Kind);
  return raise('not-found', `unknown kind ${text}; kinds: ${KINDS.join(', ')}`);
}

/** Validates changes sent by an operator. */
function parseChanges(body: unknown): Result<Change[], Failure> {
  const parsed = ApplyRequest.safeParse(body);
  if (!parsed.success)
    return raise('invalid-request', z.prettifyError(parsed.error));
  const changes: Change[] = [];
  for (const {kind, name, spec, expect} of parsed.data.changes) {
    const parsedKind = parseKind(kind);
    if (parsedKind.isErr()) return err(parsedKind.error);
    if (parsedKind.value === 'Allocator')
      return raise('forbidden', 'allocators are assigned by the nodes');
    if (spec === undefined) {
      changes.push({kind: parsedKind.value, name, expect});
      continue;
    }
    const declaration = parseDeclaration({kind, name, spec});
    if (declaration.isErr()) return err(declaration.error);
    changes.push({...declaration.value, expect});
  }
  return ok(changes);
}

async function commitChanges(
  node: RouterNode,
  operation: Operation,
  changes: Change[],
): Promise<Failure | undefined> {
  const proposal = {changeId: randomUUID(), author: operation.author, changes};
  const result = await appendProposal(node, proposal);
  if (result.isErr()) return result.error;
  const {number} = result.value;
  node.log.info(
    {decision: 'accept', author: operation.author, revision: number, changes},
    'change accepted',
  );
  sendJson(operation.response, 200, {revision: number}, {etag: `"${number}"`});
  return undefined;
}

const getResources: Handler = async (node, {path, response}) => {
  const kind = parseKind(path[0]);
  if (kind.isErr()) return kind.error;
  const {revision} = node.configuration;
  if (path.length === 1) {
    const items = listResources(node.configuration, kind.value);
    sendJson(response, 200, {revision, items});
    return undefined;
  }
  const found = findResource(node.configuration, kind.value, path[1]);
  if (!found) return failure('not-found', `no ${kind.value}/${path[1]}`);
  sendJson(response, 200, found, {etag: `"${found.revision}"`});
  return undefined;
};

function expectedRevision(request: http.IncomingMessage): number | undefined {
  const header = request.headers['if-match'];
  if (header === undefined) return undefined;
  const revision = Number(header.replaceAll('"', ''));
  // -1 is refused by `parseChanges`, so the request is invalid.
  return Number.isInteger(revision) ? revision : -1;
}

const putResource: Handler = async (node, operation) => {
  const {path, request} = operation;
  const body = (await readRequestBody(request)).andThen(parseJson);
  if (body.isErr()) return body.error;
  const change = {
    kind: path[0],
    name: path[1],
    spec: body.value,
    expect: expectedRevision(request),
  };
  const changes = parseChanges({changes: [change]});
  if (changes.isErr()) return changes.error;
  return commitChanges(node, operation, changes.value);
};

const deleteResource: Handler = async (node, operation) => {
  const {path, request} = operation;
  const change = {
    kind: path[0],
    name: path[1],
    expect: expectedRevision(request),
  };
  const changes = parseChanges({changes: [change]});
  if (changes.isErr()) return changes.error;
  return commitChanges(node, operation, changes.value);
};

const applyChanges: Handler = async (node, operation) => {
  const body = (await readRequestBody(operation.request)).andThen(parseJson);
  if (body.isErr()) return body.error;
  const changes = body.andThen(parseChanges);
  if (changes.isErr()) return changes.error;
  const {dryRun} = body.value as {dryRun?: boolean};
  if (!dryRun) return commitChanges(node, operation, changes.value);
  const proposal = {
    changeId: '',
    author: operation.author,
    changes: changes.value,
  };
  const checked = checkProposal(node.configuration, proposal);
  if (checked.isErr()) return checked.error;
  const {revision} = node.configuration;
  sendJson(operation.response, 200, {revision, dryRun: true});
  return undefined;
};

const getStatus: Handler = async (node, {response}) => {
  const live = listLiveNodeNames(node);
  const {revision} = node.configuration;
  const nodes = live.map(name => {
    const heartbeat = node.membership.heartbeats.get(name)?.heartbeat;
    return {
      node: name,
      revision: name === node.name ? revision : heartbeat?.revision,
      storeReachable:
        name === node.name
          ? node.tail.storeReachable
          : heartbeat?.storeReachable,
    };
  });
  const listed = node.membership.listed.size + 1;
  const inForce = nodes.filter(entry => entry.revision === revision).length;
  sendJson(response, 200, {
    revision,
    inForce,
    listed,
    freshness: assessNodeFreshness(node),
    nodes,
  });
  return undefined;
};

const explainRequest: Handler = async (node, {path, response}) => {
  const lines = await findDecisionLines(node, path[1] ?? '');
  if (lines.length === 0)
    return failure(
      'not-found',
      'no decisions are recorded for this request id',
    );
  sendJson(response, 200, {lines: lines.map(line => JSON.parse(line))});
  return undefined;
};

/**
 * Streams each log entry after `since` as one line of JSON until the operator
 * disconnects.
 */
const watchChanges: Handler = async (node, {url, response}) => {
  let since = Number(url.searchParams.get('since') ?? 0);
  response.writeHead(200, {'content-type': 'application/x-ndjson'});
  const send = () => {
    const {entries, snapshot} = listEntriesAfter(node, since);
    since = node.configuration.revision;
    if (snapshot) response.write(`${JSON.stringify({snapshot: since})}\n`);
    for (const text of entries) {
      const {number, author, at, changes} = JSON.parse(text) as LogEntry;
      response.write(`${JSON.stringify({number, author, at, changes})}\n`);
    }
  };
  send();
  node.onConfiguration.push(send);
  await new Promise(resolve => response.on('close', resolve));
  node.onConfiguration.splice(node.onConfiguration.indexOf(send), 1);
  return undefined;
};

const HANDLERS_BY_NAME: Readonly<Record<string, Handler>> = {
  'POST apply': applyChanges,
  'GET status': getStatus,
  'GET explain': explainRequest,
  'GET watch': watchChanges,
};

const HANDLERS_BY_METHOD: Readonly<Record<string, Handler>> = {
  GET: getResources,
  PUT: putResource,
  DELETE: deleteResource,
};

async function serve(
  node: RouterNode,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  const author = authorOf(node, request);
  if (author.isErr()) return sendFailure(node, response, author.error, '');
  const url = new URL(request.url ?? '/', 'http://operators');
  const [prefix, ...path] = url.pathname
    .split('/')
    .filter(Boolean)
    .map(decodeURIComponent);
  const method = request.method ?? 'GET';
  const handler =
    HANDLERS_BY_NAME[`${method} ${path[0]}`] ?? HANDLERS_BY_METHOD[method];
  const operation = {author: author.value, url, path, request, response};
  const isKnown = prefix === 'v1' && path.length > 0 && handler;
  const problem = isKnown
    ? await handler(node, operation)
    : failure('not-found', `no ${method} ${url.pathname}`);
  if (problem) sendFailure(node, response, problem, '');
}

/** Resolves once the listener accepts connections. */
export async function listenForOperators(
  node: RouterNode,
): Promise<http.Server> {
  const server = http.createServer(LISTENER_LIMITS, (request, response) => {
    serve(node, request, response).catch((error: unknown) => {
      node.log.error({error}, 'operator request failed');
      sendFailure(
        node,
        response,
        failure('internal', 'the request could not be served'),
        '',
      );
    });
  });
  server.on('clientError', answerClientError);
  const {host, port} = node.settings.operators;
  await new Promise<void>(resolve => server.listen(port, host, resolve));
  return server;
}
