/** Versions that a customer may use, and the choice of a session's version. */
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

/** Whether the customer may still use a version; checked again at dispatch. */
export function isVersionAllowed(
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

/** Percentage of session buckets that a roll-out assigns to its new version. */
export function rolloutPercent(rollout: RolloutSpec): number {
  if (rollout.state === 'done') return 100;
  if (rollout.state === 'rolled-back') return 0;
  return rollout.steps[Math.min(rollout.step, rollout.steps.length - 1)] ?? 0;
}

/** Reason for the version of a session. */
export type VersionReason =
  'pinned' | 'rollout-new' | 'rollout-old' | 'default' | 'only-allowed';

export interface VersionChoice {
  readonly version: string;
  readonly reason: VersionReason;
}

/** Session state that determines its version. */
export interface SessionContext {
  /** Version that the session used before. */
  readonly pinned?: string;
  /** Bucket of the session, in [0, 100). */
  readonly bucket: number;
  /**
   * New versions that this node no longer assigns to sessions, since it has found
   * a regression.
   */
  readonly suspended: ReadonlySet<string>;
}

/**
 * Chooses the version of a model for a session. A pin stays valid until its
 * version is withdrawn or no longer allowed. The bucket of a session is fixed,
 * so a growing roll-out only moves sessions to the new version, never back.
 */
export function chooseVersion(
  configuration: Configuration,
  customer: CustomerSpec,
  model: string,
  session: SessionContext,
): VersionChoice | undefined {
  const allowed = allowedVersions(configuration, customer, model);
  const isPermitted = (name: string | undefined) =>
    allowed.some(version => version.name === name);
  if (session.pinned && isPermitted(session.pinned))
    return {version: session.pinned, reason: 'pinned'};
  for (const {spec} of listResources(configuration, 'Rollout')) {
    if (spec.model !== model) continue;
    const isNew =
      session.bucket < rolloutPercent(spec) && !session.suspended.has(spec.to);
    if (isNew && isPermitted(spec.to))
      return {version: spec.to, reason: 'rollout-new'};
    if (isPermitted(spec.from))
      return {version: spec.from, reason: 'rollout-old'};
  }
  const preferred = findResource(configuration, 'Model', model)?.spec
    .defaultVersion;
  if (preferred && isPermitted(preferred))
    return {version: preferred, reason: 'default'};
  const [first] = allowed.filter(({name}) => !session.suspended.has(name));
  return first && {version: first.name, reason: 'only-allowed'};
}
