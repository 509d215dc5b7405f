/** Validates single declarations, and references within a configuration. */
import {failure, type Failure} from '@parsleyarch/errors/failure';
import {err, ok, type Result} from 'neverthrow';
import {
  findResource,
  listResources,
  type Configuration,
} from './configuration.js';
import {KINDS, Name, SCHEMAS, type Kind, type Spec} from './schema.js';

/** One resource as an operator declares it. */
export interface Declaration<K extends Kind = Kind> {
  readonly kind: K;
  readonly name: string;
  readonly spec: Spec<K>;
}

/** Validates one declaration against its schema and fills in defaults. */
export function parseDeclaration(input: unknown): Result<Declaration, Failure> {
  const {kind, name, spec} = (input ?? {}) as Record<string, unknown>;
  if (!KINDS.includes(kind as Kind)) {
    return err(
      failure('invalid-request', `kind: expected one of ${KINDS.join(', ')}`),
    );
  }
  const parsedName = Name.safeParse(name);
  if (!parsedName.success) {
    return err(failure('invalid-request', `${String(kind)}: invalid name`));
  }
  const parsed = SCHEMAS[kind as Kind].safeParse(spec);
  if (!parsed.success) {
    const problems = parsed.error.issues.map(
      issue => `${issue.path.join('.') || 'spec'}: ${issue.message}`,
    );
    return err(
      failure(
        'invalid-request',
        `${String(kind)}/${parsedName.data}: ${problems.join('; ')}`,
      ),
    );
  }
  return ok({kind: kind as Kind, name: parsedName.data, spec: parsed.data});
}

/** Describes each reference to a resource that the configuration does not contain. */
export function listDanglingReferences(configuration: Configuration): string[] {
  const problems: string[] = [];
  const checkExists = (referrer: string, kind: Kind, name: string) => {
    if (findResource(configuration, kind, name)) return;
    problems.push(
      `${referrer} refers to ${kind}/${name}, which does not exist`,
    );
  };
  for (const {name, spec} of listResources(configuration, 'Customer')) {
    for (const {model} of spec.models)
      checkExists(`Customer/${name}`, 'Model', model);
    for (const service of spec.services)
      checkExists(`Customer/${name}`, 'Service', service);
  }
  for (const {name, spec} of listResources(configuration, 'Model')) {
    checkExists(`Model/${name}`, 'Version', spec.defaultVersion);
  }
  for (const {name, spec} of listResources(configuration, 'Version')) {
    checkExists(`Version/${name}`, 'Model', spec.model);
  }
  for (const {name, spec} of listResources(configuration, 'Rollout')) {
    checkExists(`Rollout/${name}`, 'Version', spec.from);
    checkExists(`Rollout/${name}`, 'Version', spec.to);
  }
  for (const {name, spec} of listResources(configuration, 'Upstream')) {
    checkExists(`Upstream/${name}`, 'FailureDomain', spec.failureDomain);
    for (const version of spec.versions)
      checkExists(`Upstream/${name}`, 'Version', version);
    if (spec.service) checkExists(`Upstream/${name}`, 'Service', spec.service);
  }
  return problems;
}
