/** Immutable snapshot of the configuration: all resources at one log revision. */
import type {Kind, Resource} from './schema.js';

type Tables = {readonly [K in Kind]: ReadonlyMap<string, Resource<K>>};

/** All resources as of one revision of the configuration log. */
export interface Configuration {
  readonly revision: number;
  readonly tables: Tables;
}

/** The configuration before the first log entry. */
export const EMPTY_CONFIGURATION: Configuration = {
  revision: 0,
  tables: {
    Customer: new Map(),
    Model: new Map(),
    Version: new Map(),
    Rollout: new Map(),
    FailureDomain: new Map(),
    Upstream: new Map(),
    Service: new Map(),
    Allocator: new Map(),
  },
};

export function findResource<K extends Kind>(
  configuration: Configuration,
  kind: K,
  name: string,
): Resource<K> | undefined {
  const table: ReadonlyMap<string, Resource<K>> = configuration.tables[kind];
  return table.get(name);
}

/** Returns all resources of a kind, sorted by name. */
export function listResources<K extends Kind>(
  configuration: Configuration,
  kind: K,
): Array<Resource<K>> {
  const table: ReadonlyMap<string, Resource<K>> = configuration.tables[kind];
  return [...table.values()].sort((a, b) => (a.name < b.name ? -1 : 1));
}

/** Returns a copy at a new revision with resources added, replaced and removed. */
export function withChanges(
  configuration: Configuration,
  revision: number,
  resources: readonly Resource[],
  removed: ReadonlyArray<Pick<Resource, 'kind' | 'name'>>,
): Configuration {
  const tables = {...configuration.tables} as Record<
    Kind,
    ReadonlyMap<string, Resource>
  >;
  for (const {kind, name} of removed) {
    const table = new Map(tables[kind]);
    table.delete(name);
    tables[kind] = table;
  }
  for (const resource of resources) {
    const table = new Map(tables[resource.kind]);
    table.set(resource.name, resource);
    tables[resource.kind] = table;
  }
  return {revision, tables: tables as unknown as Tables};
}
