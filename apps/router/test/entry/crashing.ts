/** Upstreams that end when they run certain requests, and start again. */
import {
  createSeal,
  startRunner,
  type ReceivedRequest,
} from '@parsleyarch/standins/runner';
import type {Site} from './site.js';

/** Time from the end of an upstream to the start of its next incarnation. */
const RESTART_MS = 300;

/** How upstreams run requests, and how long they are away after an end. */
export interface CrashingOptions {
  /** Time for which a request runs before its answer begins. */
  readonly prefillMs?: () => number;
  readonly restartMs?: number;
}

/** Upstreams that ended so far, and the requests that they ended under. */
export interface CrashingUpstreams {
  readonly ended: ReceivedRequest[];
  /** When they ended, by `performance.now()`. */
  readonly endedAt: number[];
  /** All requests that reached upstreams and end them. */
  readonly received: ReceivedRequest[];
}

/**
 * Starts upstreams that end when they begin an answer to a request that `crashes`
 * selects. Each starts again with a new id while its old entry is still there.
 */
export async function startCrashingUpstreams(
  site: Site,
  count: number,
  crashes: (request: ReceivedRequest) => boolean,
  {prefillMs = () => 0, restartMs = RESTART_MS}: CrashingOptions = {},
): Promise<CrashingUpstreams> {
  const upstreams: CrashingUpstreams = {ended: [], endedAt: [], received: []};
  let closed = false;
  const start = async (name: string) => {
    const runner = await startRunner(site.store, name);
    if (closed) return runner.close();
    site.runners.push(runner);
    let hasEnded = false;
    runner.script = async (request, response) => {
      if (crashes(request)) upstreams.received.push(request);
      await new Promise(resolve => setTimeout(resolve, prefillMs()));
      if (!crashes(request)) {
        response.writeHead(200, createSeal(request));
        return void response.end('sound');
      }
      response.writeHead(200, createSeal(request));
      response.write('begun');
      if (hasEnded) return;
      hasEnded = true;
      upstreams.endedAt.push(performance.now());
      await runner.server.stop();
      upstreams.ended.push(request);
      setTimeout(() => {
        runner.deregister();
        void start(`${name}+`);
      }, restartMs).unref();
    };
    runner.register();
  };
  const close = site.store.close;
  Object.assign(site.store, {
    close: () => {
      closed = true;
      return close();
    },
  });
  for (let index = 0; index < count; index += 1) await start(`i-${index}`);
  return upstreams;
}
