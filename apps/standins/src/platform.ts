/** Stand-ins for the platform's VM list and rating service. */
import {createHash} from 'node:crypto';
import {readJson, sendJson, startServer, type StandInServer} from './http.js';

export interface Vm {
  readonly node: string;
  readonly address: string;
  readonly failureDomain: string;
  state: 'live' | 'leaving';
  /** Default: entry. */
  readonly role?: 'entry' | 'upstream';
}

export interface VmListStandIn {
  readonly server: StandInServer;
  readonly vms: Map<string, Vm>;
}

/** Starts an empty VM list. */
export async function startVmList(port = 0): Promise<VmListStandIn> {
  const vms = new Map<string, Vm>();
  const server = await startServer(port, (_request, response) =>
    sendJson(response, 200, {vms: [...vms.values()]}),
  );
  return {server, vms};
}

export interface RaterStandIn {
  readonly server: StandInServer;
  /** Mean quality of a version in a task class. */
  quality: (version: string, taskClass: string) => number;
  /** Delay of a rating, in milliseconds. */
  delayMs: number;
  /** Probability that a request gets no rating. */
  noRatingRate: number;
}

/** A rating differs from the mean by at most half of this. */
const RATING_NOISE_SPREAD = 0.2;

export async function startRater(port = 0): Promise<RaterStandIn> {
  const server = await startServer(port, async (request, response) => {
    const body = await readJson(request);
    const [version, taskClass] = [body['version'], body['taskClass']];
    await new Promise(resolve => setTimeout(resolve, rater.delayMs));
    if (Math.random() < rater.noRatingRate) return sendJson(response, 204, {});
    const hash = createHash('sha1').update(JSON.stringify(body)).digest();
    const noise =
      (hash.readUInt32BE(0) / 0xffff_ffff - 0.5) * RATING_NOISE_SPREAD;
    const mean = rater.quality(String(version), String(taskClass));
    sendJson(response, 200, {rating: Math.min(1, Math.max(0, mean + noise))});
  });
  const rater: RaterStandIn = {
    server,
    quality: () => 0.8,
    delayMs: 20,
    noRatingRate: 0,
  };
  return rater;
}
