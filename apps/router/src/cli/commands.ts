/** Commands for operators. Each prints its result and sets the exit code. */
import {failure, type Failure} from '@parsleyarch/errors/failure';
import type {
  Resource,
  RolloutSpec,
  Spec,
  Kind,
} from '@parsleyarch/resource/schema';
import {diffDeclarations, readDeclarations} from './declarations.js';
import {
  ExitCode,
  reportFailure,
  printRows,
  type OutputFormat,
} from './output.js';
import {callNode, streamLines, type Remote} from './remote.js';

/** The node that a command calls, and the format of its output. */
export interface CommandContext {
  readonly remote: Remote;
  readonly format: OutputFormat;
}

/** Checks declarations without contacting a node. */
export function validate(path: string): void {
  const declarations = readDeclarations(path);
  if (declarations.isErr()) return reportFailure(declarations.error);
  console.log(`${declarations.value.length} declarations are valid`);
}

/** Prints how declarations differ from the configuration in force. */
export async function diff(
  {remote, format}: CommandContext,
  path: string,
  prune: boolean,
): Promise<void> {
  const declarations = readDeclarations(path);
  if (declarations.isErr()) return reportFailure(declarations.error);
  const differences = await diffDeclarations(remote, declarations.value, prune);
  if (differences.isErr()) return reportFailure(differences.error);
  const rows = differences.value.map(({action, kind, name}) => ({
    action,
    resource: `${kind}/${name}`,
  }));
  if (rows.length === 0) console.log('no differences');
  printRows(format, rows);
}

/** Applies all declarations in a directory or file as one change. */
export async function apply(
  {remote, format}: CommandContext,
  path: string,
  options: {dryRun: boolean; prune: boolean},
): Promise<void> {
  const declarations = readDeclarations(path);
  if (declarations.isErr()) return reportFailure(declarations.error);
  const differences = await diffDeclarations(
    remote,
    declarations.value,
    options.prune,
  );
  if (differences.isErr()) return reportFailure(differences.error);
  if (differences.value.length === 0) {
    console.log('no differences');
    return;
  }
  const changes = differences.value.map(({kind, name, spec, expect}) => ({
    kind,
    name,
    spec,
    expect,
  }));
  const body = {changes, dryRun: options.dryRun};
  const answer = await callNode(remote, 'POST', '/v1/apply', body);
  if (answer.isErr()) return reportFailure(answer.error);
  const {revision} = answer.value as {revision: number};
  const outcome = options.dryRun ? 'would apply' : `revision ${revision}`;
  printRows(
    format,
    differences.value.map(({action, kind, name}) => ({
      action,
      resource: `${kind}/${name}`,
      outcome,
    })),
  );
}

/** Prints one resource, or all of a kind. */
export async function get(
  {remote, format}: CommandContext,
  kind: string,
  name?: string,
): Promise<void> {
  const path = name ? `/v1/${kind}/${name}` : `/v1/${kind}`;
  const answer = await callNode(remote, 'GET', path);
  if (answer.isErr()) return reportFailure(answer.error);
  const items = name
    ? [answer.value as Resource]
    : (answer.value as {items: Resource[]}).items;
  printRows(
    format,
    items.map(item => ({
      name: item.name,
      revision: item.revision,
      author: item.author,
      spec: item.spec,
    })),
  );
}

export async function remove(
  {remote}: CommandContext,
  kind: string,
  name: string,
): Promise<void> {
  const answer = await callNode(remote, 'DELETE', `/v1/${kind}/${name}`);
  if (answer.isErr()) return reportFailure(answer.error);
  const {revision} = answer.value as {revision: number};
  console.log(`deleted ${kind}/${name} at revision ${revision}`);
}

/** Prints each change as it is accepted. */
export async function watch(
  {remote}: CommandContext,
  since: number,
): Promise<void> {
  const path = `/v1/watch?since=${since}`;
  const ended = await streamLines(remote, path, line => console.log(line));
  if (ended.isErr()) reportFailure(ended.error);
}

/** Prints on how many nodes the called node's revision is in force. */
export async function status({remote, format}: CommandContext): Promise<void> {
  const answer = await callNode(remote, 'GET', '/v1/status');
  if (answer.isErr()) return reportFailure(answer.error);
  const {revision, inForce, listed, freshness, nodes} = answer.value as {
    revision: number;
    inForce: number;
    listed: number;
    freshness: string;
    nodes: Array<Record<string, unknown>>;
  };
  if (format === 'table')
    console.log(
      `revision ${revision} in force on ${inForce} of ${listed} nodes (${freshness})`,
    );
  printRows(format, nodes);
}

/** Prints the routing decisions of a request. */
export async function explain(
  {remote, format}: CommandContext,
  requestId: string,
): Promise<void> {
  const path = `/v1/explain/${encodeURIComponent(requestId)}`;
  const answer = await callNode(remote, 'GET', path);
  if (answer.isErr()) return reportFailure(answer.error);
  const {lines} = answer.value as {lines: Array<Record<string, unknown>>};
  printRows(
    format,
    lines.map(({decision, choice, reason, candidates}) => ({
      decision,
      choice,
      reason,
      candidates,
    })),
  );
}

/**
 * Changes one resource at the revision that was read, so that concurrent
 * operators never overwrite each other's changes.
 */
async function editResource<K extends Kind>(
  {remote}: CommandContext,
  kind: K,
  name: string,
  edit: (spec: Spec<K>) => Spec<K>,
): Promise<void> {
  const answer = await callNode(remote, 'GET', `/v1/${kind}/${name}`);
  if (answer.isErr()) return reportFailure(answer.error);
  const {spec, revision} = answer.value as Resource<K>;
  const changes = [{kind, name, spec: edit(spec), expect: revision}];
  const written = await callNode(remote, 'POST', '/v1/apply', {changes});
  if (written.isErr()) return reportFailure(written.error);
  const result = written.value as {revision: number};
  console.log(`${kind}/${name} is at revision ${result.revision}`);
}

/** Takes a failure domain out of service, or puts it back into service. */
export function domain(
  context: CommandContext,
  state: 'out' | 'in',
  name: string,
): Promise<void> {
  return editResource(context, 'FailureDomain', name, spec => ({
    ...spec,
    state,
  }));
}

/** Stops sending new requests to an upstream, or undoes that. */
export function drain(
  context: CommandContext,
  name: string,
  undo: boolean,
): Promise<void> {
  const state = undo ? 'in' : 'draining';
  return editResource(context, 'Upstream', name, spec => ({...spec, state}));
}

/** Withdraws a version: no session sends it new requests. */
export function withdraw(context: CommandContext, name: string): Promise<void> {
  return editResource(context, 'Version', name, spec => ({
    ...spec,
    state: 'withdrawn',
  }));
}

const ROLLOUT_STATES: Readonly<Record<string, RolloutSpec['state']>> = {
  pause: 'paused',
  resume: 'running',
};

async function rollBack(context: CommandContext, name: string): Promise<void> {
  const {remote} = context;
  const readResource = async <K extends Kind>(kind: K, resource: string) =>
    (await callNode(remote, 'GET', `/v1/${kind}/${resource}`)).map(
      value => value as Resource<K>,
    );
  const rollout = await readResource('Rollout', name);
  if (rollout.isErr()) return reportFailure(rollout.error);
  const version = await readResource('Version', rollout.value.spec.to);
  if (version.isErr()) return reportFailure(version.error);
  const changes = [
    {
      kind: 'Rollout',
      name,
      spec: {...rollout.value.spec, state: 'rolled-back'},
      expect: rollout.value.revision,
    },
    {
      kind: 'Version',
      name: version.value.name,
      spec: {...version.value.spec, state: 'withdrawn'},
      expect: version.value.revision,
    },
  ];
  const written = await callNode(remote, 'POST', '/v1/apply', {changes});
  if (written.isErr()) return reportFailure(written.error);
  console.log(`rolled back; ${version.value.name} is withdrawn`);
}

/** Options of `rollout start`. */
export interface RolloutOptions {
  readonly model: string;
  readonly from: string;
  readonly to: string;
  readonly steps: number[];
}

async function startRollout(
  {remote}: CommandContext,
  name: string,
  options: RolloutOptions,
): Promise<void> {
  const spec = {...options, step: 0, state: 'running'};
  const changes = [{kind: 'Rollout', name, spec, expect: 0}];
  const written = await callNode(remote, 'POST', '/v1/apply', {changes});
  if (written.isErr()) return reportFailure(written.error);
  console.log(`roll-out ${name} is running`);
}

export function rollout(
  context: CommandContext,
  action: string,
  name: string,
  options: Partial<RolloutOptions>,
): Promise<void> {
  if (action === 'roll-back') return rollBack(context, name);
  if (action === 'start') {
    const {model, from, to, steps} = options;
    if (!model || !from || !to) {
      reportFailure(usageError('rollout start needs --model, --from and --to'));
      return Promise.resolve();
    }
    const rolloutOptions = {model, from, to, steps: steps ?? [1, 10, 50, 100]};
    return startRollout(context, name, rolloutOptions);
  }
  const state = ROLLOUT_STATES[action];
  return editResource(context, 'Rollout', name, spec => ({...spec, state}));
}

function usageError(text: string): Failure {
  process.exitCode = ExitCode.invalid;
  return failure('invalid-request', text);
}
