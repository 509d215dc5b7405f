/** A cluster with upstreams and declared resources, for tests and measurements. */
import {
  closeCluster,
  applyChanges,
  hashKey,
  waitForRevision,
  startCluster,
  type Cluster,
  type ClusterOptions,
} from './cluster.js';
import {
  startEngines,
  startServices,
  type Declaration,
  type Pool,
} from './deployment.js';
import type {EngineOptions, EngineStandIn} from './engine.js';
import type {ServiceStandIn} from './service.js';

/** Key of the scenario's large customer, and of a small one. */
export const CUSTOMER_KEY = 'key-of-choir';
export const SMALL_CUSTOMER_KEY = 'key-of-chapel';

/** Versions of the scenario: two of `hymn`, one of the cheap `announce`. */
export const VERSIONS = ['hymn-1', 'hymn-2', 'announce-1'] as const;

export interface ScenarioOptions extends Partial<ClusterOptions> {
  readonly domains: readonly string[];
  /** Failure domain of each engine, and of each service instance. */
  readonly engineDomains: readonly string[];
  readonly serviceDomains?: readonly string[];
  readonly engine?: Partial<EngineOptions>;
  /** Declared address of an engine. */
  readonly engineAddress?: (engine: EngineStandIn) => Promise<string>;
  /** Declared cold limit of the engines; default: their actual one. */
  readonly declaredColdLimit?: number;
  readonly requestsPerSecond?: number;
}

export interface Scenario {
  readonly cluster: Cluster;
  readonly engines: Pool<EngineStandIn>;
  readonly services: Pool<ServiceStandIn>;
  /** Revision of the declarations. */
  readonly revision: number;
}

function declareCustomer(
  name: string,
  key: string,
  rate: number,
  weight: number,
) {
  const spec = {
    keyHashes: [hashKey(key)],
    models: [{model: 'hymn'}, {model: 'announce'}],
    services: ['board'],
    requestsPerSecond: rate,
    weight,
  };
  return {kind: 'Customer', name, spec};
}

/** Declarations of all resources except upstreams. */
export function baseDeclarations(options: ScenarioOptions): Declaration[] {
  const failureDomains = new Set([
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
    ...[...failureDomains].map(name => ({
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
    declareCustomer('choir', CUSTOMER_KEY, rate, 4),
    declareCustomer('chapel', SMALL_CUSTOMER_KEY, rate, 1),
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
      ...(options.declaredColdLimit && {coldLimit: options.declaredColdLimit}),
    },
  }));
  const revision = await applyChanges(cluster.nodes[0], [
    ...baseDeclarations(options),
    ...upstreams,
    ...services.declarations,
  ]);
  await waitForRevision(cluster, revision);
  return {cluster, engines, services, revision};
}

/** Closes the cluster and the upstreams. */
export async function closeScenario(scenario: Scenario): Promise<void> {
  await closeCluster(scenario.cluster);
  for (const pool of [scenario.engines, scenario.services])
    for (const instance of pool.instances.values())
      await instance.server.close();
}
