/** Checks declarations one by one and against the rest of the configuration. */
import {failure, type Failure} from '@parsleyarch/errors/failure';
import {err, ok, type Result} from 'neverthrow';
import {find, list, type Configuration} from './configuration.js';
import {KINDS, Name, SCHEMAS, type Kind, type Spec} from './schema.js';

/** One resource as an operator declares it. */
export interface Declaration<K extends Kind = Kind> {
  readonly kind: K;
  readonly name: string;
  readonly spec: Spec<K>;
}

/** Checks the shape of one declaration and fills in defaults. */
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

/** Lists references to resources that the configuration does not hold. */
export function danglingReferences(configuration: Configuration): string[] {
  const problems: string[] = [];
  const require = (owner: string, kind: Kind, name: string) => {
    if (find(configuration, kind, name)) return;
    problems.push(`${owner} refers to ${kind}/${name}, which does not exist`);
  };
  for (const {name, spec} of list(configuration, 'Customer')) {
    for (const {model} of spec.models)
      require(`Customer/${name}`, 'Model', model);
    for (const service of spec.services)
      require(`Customer/${name}`, 'Service', service);
  }
  for (const {name, spec} of list(configuration, 'Model')) {
    require(`Model/${name}`, 'Version', spec.defaultVersion);
  }
  for (const {name, spec} of list(configuration, 'Version')) {
    require(`Version/${name}`, 'Model', spec.model);
  }
  for (const {name, spec} of list(configuration, 'Rollout')) {
    require(`Rollout/${name}`, 'Version', spec.from);
    require(`Rollout/${name}`, 'Version', spec.to);
  }
  for (const {name, spec} of list(configuration, 'Upstream')) {
    require(`Upstream/${name}`, 'FailureDomain', spec.failureDomain);
    for (const version of spec.versions)
      require(`Upstream/${name}`, 'Version', version);
    if (spec.service) require(`Upstream/${name}`, 'Service', spec.service);
  }
  return problems;
}
