/** A cluster with upstreams and declarations in force, for tests and measures. */
import {
  closeCluster,
  declare,
  hashKey,
  inForce,
  startCluster,
  type Cluster,
  type ClusterOptions,
} from './cluster.js';
import {
  startEngines,
  startServices,
  type Declared,
  type Pool,
} from './deployment.js';
import type {EngineOptions, EngineStandIn} from './engine.js';
import type {ServiceStandIn} from './service.js';

/** Key of the scenario's large customer, and of a small one. */
export const CUSTOMER_KEY = 'key-of-choir';
export const SMALL_KEY = 'key-of-chapel';

/** Versions of the scenario: two of `hymn`, one of the cheap `announce`. */
export const VERSIONS = ['hymn-1', 'hymn-2', 'announce-1'] as const;

/** What a scenario is made of. */
export interface ScenarioOptions extends Partial<ClusterOptions> {
  readonly domains: readonly string[];
  /** Failure domain of each engine, and of each service instance. */
  readonly engineDomains: readonly string[];
  readonly serviceDomains?: readonly string[];
  readonly engine?: Partial<EngineOptions>;
  /** Address under which an engine is declared. */
  readonly engineAddress?: (engine: EngineStandIn) => Promise<string>;
  /** Cold limit that is declared; default: what engines bear when cold. */
  readonly declaredCold?: number;
  readonly requestsPerSecond?: number;
}

/** A running scenario. */
export interface Scenario {
  readonly cluster: Cluster;
  readonly engines: Pool<EngineStandIn>;
  readonly services: Pool<ServiceStandIn>;
  /** Revision with which all was declared. */
  readonly revision: number;
}

function customer(name: string, key: string, rate: number, weight: number) {
  const spec = {
    keyHashes: [hashKey(key)],
    models: [{model: 'hymn'}, {model: 'announce'}],
    services: ['board'],
    requestsPerSecond: rate,
    weight,
  };
  return {kind: 'Customer', name, spec};
}

/** Declarations of everything but upstreams. */
export function baseDeclarations(options: ScenarioOptions): Declared[] {
  const places = new Set([
    ...options.domains,
    ...options.engineDomains,
    ...(options.serviceDomains ?? []),
  ]);
  const rate = options.requestsPerSecond ?? 10_000;
  const version = (model: string, tokenCost: number, general: number) => ({
    model,
    tokenCost,
    quality: {general},
    firstTokenMs: 50,
    tokenMs: 5,
  });
  const calls = [
    {method: 'GET', pathPrefix: '/', repeatable: true},
    {method: 'POST', pathPrefix: '/orders', repeatable: false},
  ];
  return [
    ...[...places].map(name => ({
      kind: 'FailureDomain',
      name,
      spec: {region: 'ulaanbaatar'},
    })),
    {kind: 'Model', name: 'hymn', spec: {defaultVersion: 'hymn-1'}},
    {kind: 'Model', name: 'announce', spec: {defaultVersion: 'announce-1'}},
    {kind: 'Version', name: 'hymn-1', spec: version('hymn', 20, 0.9)},
    {kind: 'Version', name: 'hymn-2', spec: version('hymn', 18, 0.9)},
    {kind: 'Version', name: 'announce-1', spec: version('announce', 2, 0.6)},
    {kind: 'Service', name: 'board', spec: {calls}},
    customer('choir', CUSTOMER_KEY, rate, 4),
    customer('chapel', SMALL_KEY, rate, 1),
  ];
}

/** Starts a scenario; resolves when its declarations are in force everywhere. */
export async function startScenario(
  options: ScenarioOptions,
): Promise<Scenario> {
  const cluster = await startCluster(options);
  const engines = await startEngines(
    'engine',
    options.engineDomains,
    {versions: VERSIONS, ...options.engine},
    options.engineAddress,
  );
  const services = await startServices('board', options.serviceDomains ?? []);
  const upstreams = engines.declarations.map(declared => ({
    ...declared,
    spec: {
      ...declared.spec,
      ...(options.declaredCold && {coldLimit: options.declaredCold}),
    },
  }));
  const revision = await declare(cluster.nodes[0], [
    ...baseDeclarations(options),
    ...upstreams,
    ...services.declarations,
  ]);
  await inForce(cluster, revision);
  return {cluster, engines, services, revision};
}

/** Ends everything that a scenario started. */
export async function closeScenario(scenario: Scenario): Promise<void> {
  await closeCluster(scenario.cluster);
  for (const pool of [scenario.engines, scenario.services])
    for (const instance of pool.instances.values())
      await instance.server.close();
}
