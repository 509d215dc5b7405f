/** Starts upstream stand-ins and builds their declarations. */
import {startEngine, type EngineOptions, type EngineStandIn} from './engine.js';
import {startService, type ServiceStandIn} from './service.js';

/** A resource to declare. */
export interface Declaration {
  readonly kind: string;
  readonly name: string;
  readonly spec: Readonly<Record<string, unknown>>;
}

/** A running pool of engines or service instances. */
export interface Pool<T> {
  readonly instances: Map<string, T>;
  readonly declarations: Declaration[];
}

/** Starts one engine for each failure domain in the list. */
export async function startEngines(
  prefix: string,
  domains: readonly string[],
  options: Partial<EngineOptions> & {versions: readonly string[]},
  addressOf: (engine: EngineStandIn) => string | Promise<string> = engine =>
    engine.server.address,
): Promise<Pool<EngineStandIn>> {
  const instances = new Map<string, EngineStandIn>();
  const declarations: Declaration[] = [];
  for (const [index, failureDomain] of domains.entries()) {
    const engine = await startEngine(options);
    const name = `${prefix}-${index + 1}`;
    instances.set(name, engine);
    const {coldLimit, warmLimit, slots, checksOrders} = engine.options;
    const spec = {
      failureDomain,
      address: await addressOf(engine),
      vm: `vm-of-${name}`,
      versions: slots ? [] : engine.options.versions,
      coldLimit,
      warmLimit,
      checksOrders,
      ...(slots > 0 && {slots}),
    };
    declarations.push({kind: 'Upstream', name, spec});
  }
  return {instances, declarations};
}

/** Starts one instance of a service for each failure domain in the list. */
export async function startServices(
  service: string,
  domains: readonly string[],
): Promise<Pool<ServiceStandIn>> {
  const instances = new Map<string, ServiceStandIn>();
  const declarations: Declaration[] = [];
  const runs = new Map<string, number>();
  for (const [index, failureDomain] of domains.entries()) {
    const instance = await startService(runs);
    const name = `${service}-${index + 1}`;
    instances.set(name, instance);
    const {address} = instance.server;
    const spec = {
      failureDomain,
      address,
      service,
      coldLimit: 4,
      warmLimit: 16,
    };
    declarations.push({kind: 'Upstream', name, spec});
  }
  return {instances, declarations};
}
