/** Stand-in for a plain service that accepts orders and returns their status. */
import {
  readJson,
  sendJson,
  startServer,
  streamReports,
  type StandInServer,
} from './http.js';

export interface ServiceStandIn {
  readonly server: StandInServer;
  /** Number of executions of each order, by its id. */
  readonly runs: Map<string, number>;
  /** Whether to close the connection instead of responding after an execution. */
  cutAfterRun: () => boolean;
  /** Time to execute an order, in milliseconds. */
  processingMs: number;
  incarnation: number;
  running: number;
  /** Requested paths except `/report`, oldest first. */
  readonly paths: string[];
}

const REPORT_INTERVAL_MS = 200;

/** Starts an instance; instances that share `runs` share their counts. */
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
      return streamReports(response, report, REPORT_INTERVAL_MS);
    }
    service.paths.push(url.pathname);
    const headers = {'x-request-id': String(request.headers['x-request-id'])};
    if (request.method === 'GET')
      return sendJson(response, 200, {status: 'on its way'}, headers);
    const {id} = await readJson(request);
    service.running += 1;
    await new Promise(resolve => setTimeout(resolve, service.processingMs));
    service.running -= 1;
    const count = (runs.get(String(id)) ?? 0) + 1;
    runs.set(String(id), count);
    if (service.cutAfterRun()) return void request.socket.destroy();
    sendJson(response, 200, {id, confirmed: true, count}, headers);
  });
  const service: ServiceStandIn = {
    server,
    runs,
    cutAfterRun: () => false,
    processingMs: 10,
    incarnation: Date.now(),
    running: 0,
    paths: [],
  };
  return service;
}
