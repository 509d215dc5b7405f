/** Stand-ins of the platform's VM list and rating service. */
import {createHash} from 'node:crypto';
import {readJson, reply, startServer, type StandInServer} from './http.js';

/** One VM of the list. */
export interface Vm {
  readonly node: string;
  readonly address: string;
  readonly failureDomain: string;
  state: 'live' | 'leaving';
  /** What runs there; an entry VM unless said otherwise. */
  readonly role?: 'entry' | 'upstream';
}

/** A running VM list. */
export interface VmListStandIn {
  readonly server: StandInServer;
  readonly vms: Map<string, Vm>;
}

/** Starts an empty VM list. */
export async function startVmList(port = 0): Promise<VmListStandIn> {
  const vms = new Map<string, Vm>();
  const server = await startServer(port, (_request, response) =>
    reply(response, 200, {vms: [...vms.values()]}),
  );
  return {server, vms};
}

/** A running rating service. */
export interface RaterStandIn {
  readonly server: StandInServer;
  /** Mean quality of a version in a task class. */
  quality: (version: string, taskClass: string) => number;
  /** Time until a rating comes, milliseconds. */
  delayMs: number;
  /** Chance that no rating comes. */
  silent: number;
}

const NOISE = 0.2;

/** Starts a rating service. */
export async function startRater(port = 0): Promise<RaterStandIn> {
  const server = await startServer(port, async (request, response) => {
    const body = await readJson(request);
    const [version, taskClass] = [body['version'], body['taskClass']];
    await new Promise(resolve => setTimeout(resolve, rater.delayMs));
    if (Math.random() < rater.silent) return reply(response, 204, {});
    const hash = createHash('sha1').update(JSON.stringify(body)).digest();
    const noise = (hash.readUInt32BE(0) / 0xffff_ffff - 0.5) * NOISE;
    const mean = rater.quality(String(version), String(taskClass));
    reply(response, 200, {rating: Math.min(1, Math.max(0, mean + noise))});
  });
  const rater: RaterStandIn = {
    server,
    quality: () => 0.8,
    delayMs: 20,
    silent: 0,
  };
  return rater;
}
