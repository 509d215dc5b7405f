/** Stand-in of a plain service that takes orders and tells their status. */
import {
  readJson,
  reply,
  startServer,
  streamReports,
  type StandInServer,
} from './http.js';

/** A running service instance. */
export interface ServiceStandIn {
  readonly server: StandInServer;
  /** How often each order was carried out, by its id. */
  readonly runs: Map<string, number>;
  /** Cuts the connection after an order was carried out. */
  cutAfterRun: () => boolean;
  /** Time that an order takes, milliseconds. */
  workMs: number;
  incarnation: number;
  running: number;
  /** Paths that were called, in order. */
  readonly paths: string[];
}

const REPORT_MS = 200;

/** Starts an instance; instances that share `runs` count together. */
export async function startService(
  runs: Map<string, number> = new Map(),
  port = 0,
): Promise<ServiceStandIn> {
  const server = await startServer(port, async (request, response, url) => {
    if (url.pathname === '/report') {
      const report = () => ({
        incarnation: service.incarnation,
        running: service.running,
        waiting: 0,
        versions: [],
      });
      return streamReports(response, report, REPORT_MS);
    }
    service.paths.push(url.pathname);
    const headers = {'x-request-id': String(request.headers['x-request-id'])};
    if (request.method === 'GET')
      return reply(response, 200, {status: 'on its way'}, headers);
    const {id} = await readJson(request);
    service.running += 1;
    await new Promise(resolve => setTimeout(resolve, service.workMs));
    service.running -= 1;
    const count = (runs.get(String(id)) ?? 0) + 1;
    runs.set(String(id), count);
    if (service.cutAfterRun()) return void request.socket.destroy();
    reply(response, 200, {id, confirmed: true, count}, headers);
  });
  const service: ServiceStandIn = {
    server,
    runs,
    cutAfterRun: () => false,
    workMs: 10,
    incarnation: Date.now(),
    running: 0,
    paths: [],
  };
  return service;
}
