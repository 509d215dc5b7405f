/** The operators' commands. Each prints its result and sets the exit code. */
import {failure, type Failure} from '@parsleyarch/errors/failure';
import type {
  Resource,
  RolloutSpec,
  Spec,
  Kind,
} from '@parsleyarch/resource/schema';
import {diffDeclarations, readDeclarations} from './declarations.js';
import {ExitCode, fail, printRows, type OutputForm} from './output.js';
import {call, follow, type Remote} from './remote.js';

/** What every remote command is given. */
export interface Target {
  readonly remote: Remote;
  readonly form: OutputForm;
}

/** Checks declarations without asking any node. */
export function validate(path: string): void {
  const declarations = readDeclarations(path);
  if (declarations.isErr()) return fail(declarations.error);
  console.log(`${declarations.value.length} declarations are valid`);
}

/** Prints how a folder differs from what is in force. */
export async function diff(
  {remote, form}: Target,
  path: string,
  prune: boolean,
): Promise<void> {
  const declarations = readDeclarations(path);
  if (declarations.isErr()) return fail(declarations.error);
  const found = await diffDeclarations(remote, declarations.value, prune);
  if (found.isErr()) return fail(found.error);
  const rows = found.value.map(({action, kind, name}) => ({
    action,
    resource: `${kind}/${name}`,
  }));
  if (rows.length === 0) console.log('no differences');
  printRows(form, rows);
}

/** Applies a folder of declarations as one change. */
export async function apply(
  {remote, form}: Target,
  path: string,
  options: {dryRun: boolean; prune: boolean},
): Promise<void> {
  const declarations = readDeclarations(path);
  if (declarations.isErr()) return fail(declarations.error);
  const found = await diffDeclarations(
    remote,
    declarations.value,
    options.prune,
  );
  if (found.isErr()) return fail(found.error);
  if (found.value.length === 0) {
    console.log('no differences');
    return;
  }
  const changes = found.value.map(({kind, name, spec, expect}) => ({
    kind,
    name,
    spec,
    expect,
  }));
  const body = {changes, dryRun: options.dryRun};
  const answer = await call(remote, 'POST', '/v1/apply', body);
  if (answer.isErr()) return fail(answer.error);
  const {revision} = answer.value as {revision: number};
  const outcome = options.dryRun ? 'would apply' : `revision ${revision}`;
  printRows(
    form,
    found.value.map(({action, kind, name}) => ({
      action,
      resource: `${kind}/${name}`,
      outcome,
    })),
  );
}

/** Prints one resource, or all of a kind. */
export async function get(
  {remote, form}: Target,
  kind: string,
  name?: string,
): Promise<void> {
  const path = name ? `/v1/${kind}/${name}` : `/v1/${kind}`;
  const answer = await call(remote, 'GET', path);
  if (answer.isErr()) return fail(answer.error);
  const items = name
    ? [answer.value as Resource]
    : (answer.value as {items: Resource[]}).items;
  printRows(
    form,
    items.map(item => ({
      name: item.name,
      revision: item.revision,
      author: item.author,
      spec: item.spec,
    })),
  );
}

/** Deletes one resource. */
export async function remove(
  {remote}: Target,
  kind: string,
  name: string,
): Promise<void> {
  const answer = await call(remote, 'DELETE', `/v1/${kind}/${name}`);
  if (answer.isErr()) return fail(answer.error);
  const {revision} = answer.value as {revision: number};
  console.log(`deleted ${kind}/${name} at revision ${revision}`);
}

/** Prints each change as it is accepted. */
export async function watch({remote}: Target, since: number): Promise<void> {
  const path = `/v1/watch?since=${since}`;
  const ended = await follow(remote, path, line => console.log(line));
  if (ended.isErr()) fail(ended.error);
}

/** Prints on how many nodes the newest revision is in force. */
export async function status({remote, form}: Target): Promise<void> {
  const answer = await call(remote, 'GET', '/v1/status');
  if (answer.isErr()) return fail(answer.error);
  const {revision, inForce, listed, freshness, nodes} = answer.value as {
    revision: number;
    inForce: number;
    listed: number;
    freshness: string;
    nodes: Array<Record<string, unknown>>;
  };
  if (form === 'table')
    console.log(
      `revision ${revision} in force on ${inForce} of ${listed} nodes (${freshness})`,
    );
  printRows(form, nodes);
}

/** Prints the decisions that a request went through. */
export async function explain(
  {remote, form}: Target,
  requestId: string,
): Promise<void> {
  const path = `/v1/explain/${encodeURIComponent(requestId)}`;
  const answer = await call(remote, 'GET', path);
  if (answer.isErr()) return fail(answer.error);
  const {lines} = answer.value as {lines: Array<Record<string, unknown>>};
  printRows(
    form,
    lines.map(({decision, choice, reason, candidates}) => ({
      decision,
      choice,
      reason,
      candidates,
    })),
  );
}

/**
 * Changes one resource at the revision that was read, so that racing operators
 * never overwrite each other.
 */
async function change<K extends Kind>(
  {remote}: Target,
  kind: K,
  name: string,
  edit: (spec: Spec<K>) => Spec<K>,
): Promise<void> {
  const answer = await call(remote, 'GET', `/v1/${kind}/${name}`);
  if (answer.isErr()) return fail(answer.error);
  const {spec, revision} = answer.value as Resource<K>;
  const changes = [{kind, name, spec: edit(spec), expect: revision}];
  const written = await call(remote, 'POST', '/v1/apply', {changes});
  if (written.isErr()) return fail(written.error);
  const result = written.value as {revision: number};
  console.log(`${kind}/${name} is at revision ${result.revision}`);
}

/** Takes a failure domain out of service, or back in. */
export function domain(
  target: Target,
  state: 'out' | 'in',
  name: string,
): Promise<void> {
  return change(target, 'FailureDomain', name, spec => ({...spec, state}));
}

/** Sends an upstream no new work, or takes it back in. */
export function drain(
  target: Target,
  name: string,
  undo: boolean,
): Promise<void> {
  const state = undo ? 'in' : 'draining';
  return change(target, 'Upstream', name, spec => ({...spec, state}));
}

/** Withdraws a version: it gets no new work, from any session. */
export function withdraw(target: Target, name: string): Promise<void> {
  return change(target, 'Version', name, spec => ({
    ...spec,
    state: 'withdrawn',
  }));
}

const ROLLOUT_STATES: Readonly<Record<string, RolloutSpec['state']>> = {
  pause: 'paused',
  resume: 'running',
};

async function rollBack(target: Target, name: string): Promise<void> {
  const {remote} = target;
  const read = async <K extends Kind>(kind: K, resource: string) =>
    (await call(remote, 'GET', `/v1/${kind}/${resource}`)).map(
      value => value as Resource<K>,
    );
  const rollout = await read('Rollout', name);
  if (rollout.isErr()) return fail(rollout.error);
  const version = await read('Version', rollout.value.spec.to);
  if (version.isErr()) return fail(version.error);
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
  const written = await call(remote, 'POST', '/v1/apply', {changes});
  if (written.isErr()) return fail(written.error);
  console.log(`rolled back; ${version.value.name} is withdrawn`);
}

/** What `rollout start` is given. */
export interface RolloutStart {
  readonly model: string;
  readonly from: string;
  readonly to: string;
  readonly steps: number[];
}

async function startRollout(
  {remote}: Target,
  name: string,
  start: RolloutStart,
): Promise<void> {
  const spec = {...start, step: 0, state: 'running'};
  const changes = [{kind: 'Rollout', name, spec, expect: 0}];
  const written = await call(remote, 'POST', '/v1/apply', {changes});
  if (written.isErr()) return fail(written.error);
  console.log(`roll-out ${name} is running`);
}

/** Starts, pauses, resumes or rolls back a roll-out. */
export function rollout(
  target: Target,
  action: string,
  name: string,
  start: Partial<RolloutStart>,
): Promise<void> {
  if (action === 'roll-back') return rollBack(target, name);
  if (action === 'start') {
    const {model, from, to, steps} = start;
    if (!model || !from || !to) {
      fail(missing('rollout start needs --model, --from and --to'));
      return Promise.resolve();
    }
    const given = {model, from, to, steps: steps ?? [1, 10, 50, 100]};
    return startRollout(target, name, given);
  }
  const state = ROLLOUT_STATES[action];
  return change(target, 'Rollout', name, spec => ({...spec, state}));
}

function missing(text: string): Failure {
  process.exitCode = ExitCode.invalid;
  return failure('invalid-request', text);
}
