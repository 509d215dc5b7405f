/** Prometheus metrics of a router node. */
import {Counter, Gauge, Histogram, Registry} from 'prom-client';

/** The metrics that a router node exposes, and their registry. */
export interface Metrics {
  readonly registry: Registry;
  readonly requests: Counter<'outcome' | 'model'>;
  readonly refusals: Counter<'kind'>;
  readonly firstTokenSeconds: Histogram<'model'>;
  readonly tokens: Counter<'version'>;
  readonly bills: Counter<'path'>;
  readonly storeCalls: Gauge<'call'>;
  readonly configRevision: Gauge;
  readonly inFlight: Gauge;
  readonly upstreamLimit: Gauge<'upstream'>;
}

const FIRST_TOKEN_BUCKETS_SECONDS = [0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4];

/** Creates the metrics in a new registry. */
export function createMetrics(): Metrics {
  const registry = new Registry();
  const registers = [registry];
  return {
    registry,
    requests: new Counter({
      name: 'parsleyarch_requests_total',
      help: 'Requests by outcome',
      labelNames: ['outcome', 'model'],
      registers,
    }),
    refusals: new Counter({
      name: 'parsleyarch_refusals_total',
      help: 'Refused or broken requests by error kind',
      labelNames: ['kind'],
      registers,
    }),
    firstTokenSeconds: new Histogram({
      name: 'parsleyarch_first_token_seconds',
      help: 'Time from arrival to the first token',
      labelNames: ['model'],
      buckets: FIRST_TOKEN_BUCKETS_SECONDS,
      registers,
    }),
    tokens: new Counter({
      name: 'parsleyarch_tokens_total',
      help: 'Generated tokens by version',
      labelNames: ['version'],
      registers,
    }),
    bills: new Counter({
      name: 'parsleyarch_bills_total',
      help: 'Bills by the path on which they became durable',
      labelNames: ['path'],
      registers,
    }),
    storeCalls: new Gauge({
      name: 'parsleyarch_store_calls',
      help: 'Store calls made since the start',
      labelNames: ['call'],
      registers,
    }),
    configRevision: new Gauge({
      name: 'parsleyarch_config_revision',
      help: 'Revision of the configuration in force',
      registers,
    }),
    inFlight: new Gauge({
      name: 'parsleyarch_in_flight',
      help: 'Requests now being served',
      registers,
    }),
    upstreamLimit: new Gauge({
      name: 'parsleyarch_upstream_limit',
      help: 'Concurrency allowed by the allocator, by upstream',
      labelNames: ['upstream'],
      registers,
    }),
  };
}
