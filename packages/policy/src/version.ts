/** Which versions a customer may use, and which one a session gets. */
import {
  findResource,
  listResources,
  type Configuration,
} from '@parsleyarch/resource/configuration';
import type {
  CustomerSpec,
  RolloutSpec,
  VersionSpec,
} from '@parsleyarch/resource/schema';

/** A version with its declaration. */
export interface NamedVersion {
  readonly name: string;
  readonly spec: VersionSpec;
}

/** Versions of a model that the customer may use and that are not withdrawn. */
export function allowedVersions(
  configuration: Configuration,
  customer: CustomerSpec,
  model: string,
): NamedVersion[] {
  const grant = customer.models.find(entry => entry.model === model);
  if (!grant) return [];
  return listResources(configuration, 'Version').filter(({name, spec}) => {
    if (spec.model !== model || spec.state !== 'active') return false;
    return !grant.versions || grant.versions.includes(name);
  });
}

/** Whether one version may still be given work; checked again at dispatch. */
export function isAllowed(
  configuration: Configuration,
  customer: CustomerSpec,
  version: string,
): boolean {
  const spec = findResource(configuration, 'Version', version)?.spec;
  if (!spec || spec.state !== 'active') return false;
  const grant = customer.models.find(entry => entry.model === spec.model);
  if (!grant) return false;
  return !grant.versions || grant.versions.includes(version);
}

/** Share of session buckets that a roll-out gives to its new version, percent. */
export function rolloutShare(rollout: RolloutSpec): number {
  if (rollout.state === 'done') return 100;
  if (rollout.state === 'rolled-back') return 0;
  return rollout.steps[Math.min(rollout.step, rollout.steps.length - 1)] ?? 0;
}

/** Why a session got its version. */
export type VersionReason =
  'pinned' | 'rollout-new' | 'rollout-old' | 'default' | 'only-allowed';

/** The version of a session. */
export interface VersionChoice {
  readonly version: string;
  readonly reason: VersionReason;
}

/** What decides a session's version. */
export interface SessionFacts {
  /** Version that the session had before. */
  readonly pinned?: string;
  /** Place of the session in [0, 100). */
  readonly bucket: number;
  /** New versions that this node gives to no further sessions. */
  readonly braked: ReadonlySet<string>;
}

/**
 * Chooses the version of a model for a session. A pin holds until its version
 * is withdrawn or no longer allowed; the bucket of a session is fixed, so that
 * a growing roll-out only ever moves sessions to the new version.
 */
export function chooseVersion(
  configuration: Configuration,
  customer: CustomerSpec,
  model: string,
  session: SessionFacts,
): VersionChoice | undefined {
  const allowed = allowedVersions(configuration, customer, model);
  const has = (name: string | undefined) =>
    allowed.some(version => version.name === name);
  if (session.pinned && has(session.pinned))
    return {version: session.pinned, reason: 'pinned'};
  for (const {spec} of listResources(configuration, 'Rollout')) {
    if (spec.model !== model) continue;
    const isNew =
      session.bucket < rolloutShare(spec) && !session.braked.has(spec.to);
    if (isNew && has(spec.to)) return {version: spec.to, reason: 'rollout-new'};
    if (has(spec.from)) return {version: spec.from, reason: 'rollout-old'};
  }
  const preferred = findResource(configuration, 'Model', model)?.spec
    .defaultVersion;
  if (preferred && has(preferred))
    return {version: preferred, reason: 'default'};
  const [first] = allowed.filter(({name}) => !session.braked.has(name));
  return first && {version: first.name, reason: 'only-allowed'};
}
