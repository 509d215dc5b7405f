/** The operators' listener: declarations, watch, status and explanations. */
import {failure, raise, type Failure} from '@parsleyarch/errors/failure';
import type {Change, LogEntry} from '@parsleyarch/protocol/log';
import {checkProposal} from '@parsleyarch/protocol/log';
import {findResource, listResources} from '@parsleyarch/resource/configuration';
import {KINDS, type Kind} from '@parsleyarch/resource/schema';
import {parseDeclaration} from '@parsleyarch/resource/validate';
import {randomUUID} from 'node:crypto';
import * as http from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
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
  LISTENER_BOUNDS,
  parseJson,
  readRequest,
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

/** One call of an operator. */
interface Operation {
  readonly author: string;
  readonly url: URL;
  readonly path: readonly string[];
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
}

type Operate = (
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

function kindOf(text: string): Result<Kind, Failure> {
  if (KINDS.includes(text as Kind)) return ok(text as Kind);
  return raise('not-found', `no kind ${text}; kinds: ${KINDS.join(', ')}`);
}

/** Checks changes as operators send them. */
function parseChanges(body: unknown): Result<Change[], Failure> {
  const parsed = ApplyRequest.safeParse(body);
  if (!parsed.success)
    return raise('invalid-request', z.prettifyError(parsed.error));
  const changes: Change[] = [];
  for (const {kind, name, spec, expect} of parsed.data.changes) {
    const known = kindOf(kind);
    if (known.isErr()) return err(known.error);
    if (known.value === 'Allocator')
      return raise('forbidden', 'allocators are assigned by the nodes');
    if (spec === undefined) {
      changes.push({kind: known.value, name, expect});
      continue;
    }
    const declaration = parseDeclaration({kind, name, spec});
    if (declaration.isErr()) return err(declaration.error);
    changes.push({...declaration.value, expect});
  }
  return ok(changes);
}

async function commit(
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

const get: Operate = async (node, {path, response}) => {
  const kind = kindOf(path[0]);
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

function expected(request: http.IncomingMessage): number | undefined {
  const header = request.headers['if-match'];
  if (header === undefined) return undefined;
  const revision = Number(header.replaceAll('"', ''));
  return Number.isInteger(revision) ? revision : -1;
}

const put: Operate = async (node, operation) => {
  const {path, request} = operation;
  const body = (await readRequest(request)).andThen(parseJson);
  if (body.isErr()) return body.error;
  const change = {
    kind: path[0],
    name: path[1],
    spec: body.value,
    expect: expected(request),
  };
  const changes = parseChanges({changes: [change]});
  if (changes.isErr()) return changes.error;
  return commit(node, operation, changes.value);
};

const remove: Operate = async (node, operation) => {
  const {path, request} = operation;
  const change = {kind: path[0], name: path[1], expect: expected(request)};
  const changes = parseChanges({changes: [change]});
  if (changes.isErr()) return changes.error;
  return commit(node, operation, changes.value);
};

const apply: Operate = async (node, operation) => {
  const body = (await readRequest(operation.request)).andThen(parseJson);
  if (body.isErr()) return body.error;
  const changes = body.andThen(parseChanges);
  if (changes.isErr()) return changes.error;
  const {dryRun} = body.value as {dryRun?: boolean};
  if (!dryRun) return commit(node, operation, changes.value);
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

const status: Operate = async (node, {response}) => {
  const live = listLiveNodeNames(node);
  const {revision} = node.configuration;
  const nodes = live.map(name => {
    const beat = node.membership.heartbeats.get(name)?.heartbeat;
    return {
      node: name,
      revision: name === node.name ? revision : beat?.revision,
      storeReachable:
        name === node.name ? node.tail.storeReachable : beat?.storeReachable,
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

const explainRequest: Operate = async (node, {path, response}) => {
  const lines = await findDecisionLines(node, path[1] ?? '');
  if (lines.length === 0)
    return failure('not-found', 'no decisions are remembered for this id');
  sendJson(response, 200, {lines: lines.map(line => JSON.parse(line))});
  return undefined;
};

/** Streams each later entry as one line of JSON until the operator leaves. */
const watch: Operate = async (node, {url, response}) => {
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

const NAMED: Readonly<Record<string, Operate>> = {
  'POST apply': apply,
  'GET status': status,
  'GET explain': explainRequest,
  'GET watch': watch,
};

const BY_METHOD: Readonly<Record<string, Operate>> = {
  GET: get,
  PUT: put,
  DELETE: remove,
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
  const operate = NAMED[`${method} ${path[0]}`] ?? BY_METHOD[method];
  const operation = {author: author.value, url, path, request, response};
  const isKnown = prefix === 'v1' && path.length > 0 && operate;
  const problem = isKnown
    ? await operate(node, operation)
    : failure('not-found', `no ${method} ${url.pathname}`);
  if (problem) sendFailure(node, response, problem, '');
}

/** Starts the listener; resolves once it accepts connections. */
export async function listenForOperators(
  node: RouterNode,
): Promise<http.Server> {
  const server = http.createServer(LISTENER_BOUNDS, (request, response) => {
    serve(node, request, response).catch((error: unknown) => {
      node.log.error({error}, 'operator call failed');
      sendFailure(node, response, failure('internal', 'the call failed'), '');
    });
  });
  server.on('clientError', answerClientError);
  const {host, port} = node.settings.operators;
  await new Promise<void>(resolve => server.listen(port, host, resolve));
  return server;
}
