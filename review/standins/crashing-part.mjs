/**
 * One part of a prompt crashes each runner that begins to write an answer on it. Sound
 * requests that share the caller and the other parts must still be served.
 */
import * as http from 'node:http';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {clearTimeout, setTimeout} from 'node:timers';
import {createSeal} from '../../apps/standins/src/runner.ts';
import {send, startSite, TROUBLE, wait} from './site.mjs';

const HOST = 'hymns.example';
const ZONES = ['bayanzurkh', 'sukhbaatar', 'khan-uul'];
const KEY = 'n2ctnfzs989anu6wsjnb';
const RUNNER_COUNT = 6;
const CONTACT_MS = 3_000;
/** Time until a crashed runner is back. */
const BACK_MS = 3_000;
/** Time of silence after which the platform removes an entry: three heartbeats. */
const LAPSE_MS = 3_600;
const EVENT_INTERVAL_MS = 150;
const SOUND_PER_SECOND = 15;
const CRASHING_PER_SECOND = 2;
const CRASHING_AT_MS = 10_000;

const createConfiguration = timeoutMs => ({
  version: 3,
  routes: [
    {
      name: 'service-order',
      host: HOST,
      path_prefix: '/order/',
      kind: 'stream',
      resumable: true,
      timeout_ms: timeoutMs,
      goal_ms: 2_000,
      gap_aim_ms: 800,
      priority: 1,
      service: 'hymn-model',
      max_attempts: 3,
      sticky: true,
    },
  ],
  services: [
    {name: 'hymn-model', health_path: '/healthz', engine: {models: []}},
  ],
  tenants: [{name: 'parish', api_keys: [KEY]}],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 1_000_000,
    header_timeout_ms: 5_000,
    idle_timeout_ms: 10_000,
  },
});

const isCrashing = ({headers}) =>
  String(headers['x-parsleyarch-prompt-prefix']).includes('dead:');

/** A runner that ends when it begins to write an answer on the part `dead`. */
function playRunner(runner, record, crashes, {isFramed, eventCount}) {
  let born = Date.now();
  let isUp = true;
  const crash = async attempt => {
    isUp = false;
    crashes.push(performance.now());
    record(`runner ${runner.id}: ${attempt} crashes it`);
    await runner.server.stop();
    const lapse = setTimeout(() => runner.deregister(), LAPSE_MS);
    await wait(BACK_MS);
    clearTimeout(lapse);
    born = Date.now();
    await runner.server.restart();
    isUp = true;
    runner.register({born});
    record(`runner ${runner.id}: is back`);
  };
  runner.register({born});
  runner.script = async (request, response) => {
    const {attempt, headers} = request;
    record(`runner ${runner.id}: ${attempt} is read`);
    await wait(150 + Math.random() * 200);
    if (response.destroyed || !isUp) return;
    if (isCrashing(request)) return crash(attempt);
    if (!isFramed) response.useChunkedEncodingByDefault = false;
    response.writeHead(200, {
      ...createSeal(request),
      'Content-Type': 'text/event-stream',
      ...(isFramed ? {} : {Connection: 'close'}),
    });
    const first = Number(headers['last-event-id'] ?? 0) + 1;
    for (let id = first; id <= eventCount; id += 1) {
      if (response.destroyed) return;
      response.write(`id: ${id}\ndata: verse ${id}\n\n`);
      await wait(EVENT_INTERVAL_MS);
    }
    response.end();
    record(`runner ${runner.id}: ${attempt} ran to its end`);
  };
}

/**
 * Plays the traffic and returns whether the rule was broken. `crashingMs` is how long
 * the requests with the crashing part come, and `endMs` how long the sound ones do.
 */
export async function playCrashingPart(record, options) {
  const {timeoutMs, crashingMs, endMs} = options;
  const runners = {};
  for (let i = 1; i <= RUNNER_COUNT; i += 1)
    runners[`i-${i}`] = {
      service: 'hymn-model',
      zone: ZONES[i % ZONES.length],
      slots: 64,
    };
  const site = await startSite({
    record,
    // A crashed runner refuses connections, as its port has no listener.
    isDirect: true,
    nodes: Object.fromEntries(ZONES.map(zone => [`front-${zone}`, zone])),
    runners,
    configuration: createConfiguration(timeoutMs),
  });
  const crashes = [];
  for (const runner of site.runners)
    playRunner(runner, record, crashes, options);
  const agent = new http.Agent({keepAlive: true});
  const startedAt = performance.now();
  const sinceStart = () => performance.now() - startedAt;
  const calls = [];
  let count = 0;
  const sendAtRate = async (rate, untilMs, crashing) => {
    for (let turn = 0; sinceStart() < untilMs; turn += 1) {
      count += 1;
      // The last part belongs to the request itself; the others are shared.
      const parts = ['aa01:200', 'cc02:100', `${count.toString(16)}:100`];
      if (crashing) parts.splice(1, 0, 'dead:100');
      const at = performance.now();
      const answer = send(site, site.nodes[turn % site.nodes.length], {
        agent,
        path: '/order/today',
        headers: {
          host: HOST,
          authorization: `Bearer ${KEY}`,
          'x-parsleyarch-deadline-ms': String(timeoutMs),
          'x-parsleyarch-token-count': '400,100',
          'x-parsleyarch-prompt-prefix': parts.join(','),
        },
        body: `{"order":${count}}`,
      });
      calls.push(answer.then(result => ({...result, crashing, at})));
      await wait(1_000 / rate);
    }
  };
  const sound = sendAtRate(SOUND_PER_SECOND, endMs, false);
  await wait(CRASHING_AT_MS);
  record('requests with the crashing part begin');
  const crashingUntil = CRASHING_AT_MS + crashingMs;
  if (TROUBLE) await sendAtRate(CRASHING_PER_SECOND, crashingUntil, true);
  await sound;
  const answers = await Promise.all(calls);
  // The fifth crash, or the last one if there are fewer.
  const crashAt =
    crashes[4] ?? crashes.at(-1) ?? startedAt + CRASHING_AT_MS - CONTACT_MS;
  const shareOf = isIn => {
    const sent = answers.filter(({crashing, at}) => !crashing && isIn(at));
    const begun = sent.filter(
      ({status, text}) => status === 200 && text.includes('data:'),
    );
    return {sent: sent.length, begun: begun.length};
  };
  // Requests of the last second may still have been in flight.
  const before = shareOf(at => at < startedAt + CRASHING_AT_MS - 1_000);
  // While requests with the crashing part still come.
  const endAt = startedAt + crashingUntil;
  const after = shareOf(at => at > crashAt + 2 * CONTACT_MS && at < endAt);
  const statuses = {};
  for (const {crashing, status} of answers) {
    const name = `${crashing ? 'crashing' : 'sound'} ${status || 'closed'}`;
    statuses[name] = (statuses[name] ?? 0) + 1;
  }
  const summary = `${crashes.length} crashes; sound requests begun before: ${before.begun} of ${before.sent}, after: ${after.begun} of ${after.sent}; ${JSON.stringify(statuses)}`;
  record(summary);
  process.stdout.write(`${summary}\n`);
  await site.close();
  if (before.begun < 20 || after.sent < 20) throw new Error('too few requests');
  return after.begun / after.sent < before.begun / before.sent / 2;
}
