/** Reads declarations and compares them with the configuration in force. */
import {failure, type Failure} from '@parsleyarch/errors/failure';
import {KINDS, type Kind, type Resource} from '@parsleyarch/resource/schema';
import {
  parseDeclaration,
  type Declaration,
} from '@parsleyarch/resource/validate';
import {parse, printParseErrorCode, type ParseError} from 'jsonc-parser';
import {err, ok, type Result} from 'neverthrow';
import {readdirSync, readFileSync, statSync} from 'node:fs';
import {join} from 'node:path';
import {isDeepStrictEqual} from 'node:util';
import {callNode, type Remote} from './remote.js';

const FILE_SUFFIXES = ['.json', '.jsonc'];

function listFiles(path: string): string[] {
  if (!statSync(path).isDirectory()) return [path];
  return readdirSync(path, {recursive: true, encoding: 'utf8'})
    .filter(name => FILE_SUFFIXES.some(suffix => name.endsWith(suffix)))
    .sort()
    .map(name => join(path, name));
}

function readDeclarationFile(file: string): Result<unknown[], string> {
  const errors: ParseError[] = [];
  const text = readFileSync(file, 'utf8');
  const input: unknown = parse(text, errors, {allowTrailingComma: true});
  if (errors.length > 0) {
    const [{error, offset}] = errors;
    const line = text.slice(0, offset).split('\n').length;
    return err(`${file}:${line}: ${printParseErrorCode(error)}`);
  }
  return ok(Array.isArray(input) ? input : [input]);
}

/** Reads and validates all declarations; reports every error with its file. */
export function readDeclarations(path: string): Result<Declaration[], Failure> {
  const problems: string[] = [];
  const declarations: Declaration[] = [];
  for (const file of listFiles(path)) {
    const items = readDeclarationFile(file);
    if (items.isErr()) {
      problems.push(items.error);
      continue;
    }
    for (const item of items.value) {
      const parsed = parseDeclaration(item);
      if (parsed.isErr()) problems.push(`${file}: ${parsed.error.message}`);
      else declarations.push(parsed.value);
    }
  }
  if (problems.length > 0)
    return err(failure('invalid-request', problems.join('\n')));
  return ok(declarations);
}

/** One difference between declarations and the configuration in force. */
export interface Difference {
  readonly action: 'create' | 'change' | 'delete';
  readonly kind: Kind;
  readonly name: string;
  readonly spec?: unknown;
  /** Current revision of the resource; 0 if it does not exist. */
  readonly expect: number;
}

async function listRemote(
  remote: Remote,
): Promise<Result<Resource[], Failure>> {
  const found: Resource[] = [];
  for (const kind of KINDS) {
    if (kind === 'Allocator') continue;
    const answer = await callNode(remote, 'GET', `/v1/${kind}`);
    if (answer.isErr()) return err(answer.error);
    found.push(...(answer.value as {items: Resource[]}).items);
  }
  return ok(found);
}

/**
 * Compares declarations with the resources of a node. With `prune`, resources
 * that are not declared are differences to delete.
 */
export async function diffDeclarations(
  remote: Remote,
  declarations: readonly Declaration[],
  prune: boolean,
): Promise<Result<Difference[], Failure>> {
  const resources = await listRemote(remote);
  if (resources.isErr()) return err(resources.error);
  const key = ({kind, name}: Pick<Resource, 'kind' | 'name'>) =>
    `${kind}/${name}`;
  const undeclared = new Map(resources.value.map(item => [key(item), item]));
  const differences: Difference[] = [];
  for (const declared of declarations) {
    const current = undeclared.get(key(declared));
    undeclared.delete(key(declared));
    if (!current) differences.push({action: 'create', ...declared, expect: 0});
    else if (!isDeepStrictEqual(current.spec, declared.spec)) {
      const expect = current.revision;
      differences.push({action: 'change', ...declared, expect});
    }
  }
  if (!prune) return ok(differences);
  for (const {kind, name, revision} of undeclared.values())
    differences.push({action: 'delete', kind, name, expect: revision});
  return ok(differences);
}
