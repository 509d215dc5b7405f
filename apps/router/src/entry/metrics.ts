/** Prometheus metrics of an entry node. */
import {Counter, Gauge, Histogram, Registry} from 'prom-client';

export interface EntryMetrics {
  readonly registry: Registry;
  readonly answers: Counter<'route' | 'status'>;
  readonly attempts: Counter<'service' | 'outcome'>;
  readonly firstByte: Histogram<'route'>;
  readonly models: Counter<'model' | 'use'>;
  readonly notices: Counter<'kind'>;
  readonly crashes: Counter<'service'>;
  readonly delegations: Counter<'outcome'>;
  readonly restorations: Counter;
  readonly unreadableLoads: Counter;
  readonly loadAge: Gauge;
  readonly busiestOverMean: Gauge<'service'>;
  readonly clientLimits: Counter<'limit'>;
  readonly heldBytes: Gauge;
  readonly loopLag: Gauge;
  readonly pressure: Gauge<'resource'>;
  readonly earlyRefusals: Counter;
  readonly withdrawals: Counter;
  readonly waiting: Gauge;
  readonly waitSeconds: Histogram<'route'>;
  readonly refusals: Counter<'kind'>;
  readonly inFlight: Gauge;
  readonly configuration: Gauge;
  readonly droppedLines: Counter;
}

const FIRST_BYTE_BUCKETS_SECONDS = [
  0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.6, 2, 3, 5, 10,
];

const WAIT_BUCKETS_SECONDS = [0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5];

/** Creates the metrics of a node in a separate registry. */
export function createEntryMetrics(): EntryMetrics {
  const registry = new Registry();
  const registers = [registry];
  return {
    registry,
    answers: new Counter({
      name: 'parsleyarch_entry_answers_total',
      help: 'Answers to callers by route and status; 0 is a closed connection',
      labelNames: ['route', 'status'],
      registers,
    }),
    attempts: new Counter({
      name: 'parsleyarch_entry_attempts_total',
      help: 'Sends to upstreams by service and outcome',
      labelNames: ['service', 'outcome'],
      registers,
    }),
    firstByte: new Histogram({
      name: 'parsleyarch_entry_first_byte_seconds',
      help: 'Time from a request to the first byte of its answer, by route',
      labelNames: ['route'],
      buckets: FIRST_BYTE_BUCKETS_SECONDS,
      registers,
    }),
    crashes: new Counter({
      name: 'parsleyarch_entry_broken_by_crash_total',
      help: 'Answers broken off by upstreams that ended, by service',
      labelNames: ['service'],
      registers,
    }),
    delegations: new Counter({
      name: 'parsleyarch_entry_delegations_total',
      help: 'Requests sent to other nodes, by outcome',
      labelNames: ['outcome'],
      registers,
    }),
    restorations: new Counter({
      name: 'parsleyarch_entry_store_restorations_total',
      help: 'Times that the store was found restored from a copy',
      registers,
    }),
    notices: new Counter({
      name: 'parsleyarch_entry_upstream_notices_total',
      help: 'Notices of upstreams that they leave, want a pause or change their limit',
      labelNames: ['kind'],
      registers,
    }),
    models: new Counter({
      name: 'parsleyarch_entry_models_total',
      help: 'Answers of models by whether they were passed on or dropped',
      labelNames: ['model', 'use'],
      registers,
    }),
    loadAge: new Gauge({
      name: 'parsleyarch_entry_load_age_seconds',
      help: 'Mean age of what is known of the load of other nodes',
      registers,
    }),
    busiestOverMean: new Gauge({
      name: 'parsleyarch_entry_busiest_over_mean',
      help: 'Work at the busiest upstream of a service over the mean of its upstreams',
      labelNames: ['service'],
      registers,
    }),
    unreadableLoads: new Counter({
      name: 'parsleyarch_entry_unreadable_loads_total',
      help: 'Load fields of upstreams that could not be read',
      registers,
    }),
    clientLimits: new Counter({
      name: 'parsleyarch_entry_client_limits_total',
      help: 'Uses of the limits on clients, by limit',
      labelNames: ['limit'],
      registers,
    }),
    heldBytes: new Gauge({
      name: 'parsleyarch_entry_held_bytes',
      help: 'Bytes held for callers and upstreams',
      registers,
    }),
    loopLag: new Gauge({
      name: 'parsleyarch_entry_loop_lag_seconds',
      help: 'Time for which events wait for the event loop',
      registers,
    }),
    pressure: new Gauge({
      name: 'parsleyarch_entry_used_share',
      help: 'Smoothed share of a limit of the machine that is used, by resource',
      labelNames: ['resource'],
      registers,
    }),
    earlyRefusals: new Counter({
      name: 'parsleyarch_entry_early_refusals_total',
      help: 'Requests refused because the event loop is behind',
      registers,
    }),
    withdrawals: new Counter({
      name: 'parsleyarch_entry_withdrawals_total',
      help: 'Times that the node reported itself not ready under pressure',
      registers,
    }),
    waiting: new Gauge({
      name: 'parsleyarch_entry_waiting',
      help: 'Requests that now wait for an upstream',
      registers,
    }),
    waitSeconds: new Histogram({
      name: 'parsleyarch_entry_wait_seconds',
      help: 'Time for which requests waited for an upstream, by route',
      labelNames: ['route'],
      buckets: WAIT_BUCKETS_SECONDS,
      registers,
    }),
    refusals: new Counter({
      name: 'parsleyarch_entry_refusals_total',
      help: 'Requests refused after their route was found, by kind of failure',
      labelNames: ['kind'],
      registers,
    }),
    inFlight: new Gauge({
      name: 'parsleyarch_entry_in_flight',
      help: 'Requests now being served',
      registers,
    }),
    configuration: new Gauge({
      name: 'parsleyarch_entry_configuration_version',
      help: 'Version of the configuration in force',
      registers,
    }),
    droppedLines: new Counter({
      name: 'parsleyarch_entry_dropped_lines_total',
      help: 'Log lines dropped by the rate limit',
      registers,
    }),
  };
}
