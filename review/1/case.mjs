/**
 * One node is cut off from all runners for 4 s, several times, while runners lose some
 * of the answers to requests that they ran. No request may run twice.
 */
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout} from 'node:timers';
import {createSeal} from '../../apps/standins/src/runner.ts';
import {
  createRecord,
  runCase,
  send,
  startSite,
  TROUBLE,
  wait,
} from '../standins/site.mjs';

const HOST = 'board.example';
const WORK_MS = 43;
/** Requests a second that each node gets. */
const RATES = {'front-a': 20, 'front-b': 5, 'front-c': 5};
const RUNNER_COUNT = 5;
/** Runners that lose answers, and the share of their answers that is lost. */
const LOSING_COUNT = 3;
const LOST_SHARE = 0.4;
const ROUNDS = 11;
const CUT_MS = 4_000;
/** How long answers are lost, and how long before the end of the cut that begins. */
const LOSS_MS = 2_000;
const LOSS_LEAD_MS = 200;

function createConfiguration() {
  return {
    version: 7,
    routes: [
      {
        name: 'board-set',
        host: HOST,
        path_prefix: '/set/',
        kind: 'non_idempotent',
        timeout_ms: 1_200,
        goal_ms: 193,
        priority: 2,
        service: 'board-api',
        max_attempts: 1,
      },
    ],
    services: [{name: 'board-api', health_path: '/healthz'}],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 1_000_000,
      header_timeout_ms: 5_000,
      idle_timeout_ms: 10_000,
    },
  };
}

async function play() {
  const record = createRecord('review/1/record.txt');
  const zones = ['bayanzurkh', 'sukhbaatar', 'khan-uul'];
  const runners = {};
  for (let i = 1; i <= RUNNER_COUNT; i += 1)
    runners[`i-${i}`] = {
      service: 'board-api',
      zone: zones[i % zones.length],
      slots: 6,
    };
  const site = await startSite({
    record,
    nodes: {
      'front-a': zones[0],
      'front-b': zones[1],
      'front-c': zones[2],
    },
    runners,
    configuration: createConfiguration(),
  });
  /** Runners that ran a request, by its id. */
  const runs = new Map();
  let losing = false;
  let runCount = 0;
  let lostCount = 0;
  site.runners.forEach((runner, index) => {
    let debt = 0;
    runner.script = async (request, response) => {
      const {attempt} = request;
      record(`runner ${runner.id}: ${attempt} runs`);
      runCount += 1;
      runs.set(attempt, [...(runs.get(attempt) ?? []), runner.id]);
      await wait(WORK_MS);
      if (losing && index < LOSING_COUNT) {
        debt += LOST_SHARE;
        if (debt >= 1) {
          debt -= 1;
          lostCount += 1;
          record(`runner ${runner.id}: ${attempt} ran, its answer is lost`);
          response.socket?.resetAndDestroy();
          return;
        }
      }
      record(`runner ${runner.id}: ${attempt} ran, 200`);
      response.writeHead(200, createSeal(request)).end(`set by ${attempt}`);
    };
  });

  const [cutNode] = site.nodes;
  let stopped = false;
  const calls = [];
  const sendAtRate = async node => {
    while (!stopped) {
      calls.push(
        send(site, node, {
          path: '/set/board',
          headers: {host: HOST, 'x-parsleyarch-deadline-ms': '2500'},
          body: '{"hymn":42}',
        }),
      );
      await wait(1_000 / RATES[node.name]);
    }
  };
  const traffic = site.nodes.map(sendAtRate);
  await wait(2_000);
  for (let round = 0; round < ROUNDS; round += 1) {
    const nextAt = performance.now() + 8_500;
    if (TROUBLE) {
      await cutNode.cutFromRunners();
      setTimeout(() => {
        losing = true;
        setTimeout(() => (losing = false), LOSS_MS);
      }, CUT_MS - LOSS_LEAD_MS);
      await wait(CUT_MS);
      await cutNode.reachRunners();
    }
    await wait(nextAt - performance.now());
  }
  stopped = true;
  await Promise.all(traffic);
  const answers = await Promise.all(calls);
  const twice = [...runs].filter(([, ran]) => ran.length > 1);
  const denied = answers.filter(
    ({attempt, status}) => runs.has(attempt) && [429, 503].includes(status),
  );
  for (const [attempt, ran] of twice)
    record(`TWICE: ${attempt} ran on ${ran.join(' and ')}`);
  for (const {attempt, status} of denied)
    record(`REFUSED: ${attempt} was answered ${status} and has run`);
  const served = answers.filter(({status}) => status === 200).length;
  const summary = `${answers.length} requests, ${served} served, ${runCount} runs, ${lostCount} answers lost, ${twice.length} ran twice, ${denied.length} refused though run`;
  record(summary);
  process.stdout.write(`${summary}\n`);
  await site.close();
  if (served < answers.length / 2) throw new Error('hardly anything is served');
  return twice.length > 0 || denied.length > 0;
}

await runCase(play);
