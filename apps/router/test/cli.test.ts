import {OPERATOR_KEY, operate} from '@parsleyarch/standins/cluster';
import {
  closeScenario,
  startScenario,
  type Scenario,
} from '@parsleyarch/standins/scenario';
import test from 'ava';
import {execFile} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import './exit.js';

let scenario: Scenario;
const folder = mkdtempSync(join(tmpdir(), 'parsleyarch-cli-'));

test.before(async () => {
  scenario = await startScenario({
    domains: ['gulberg', 'dha'],
    engineDomains: ['gulberg'],
  });
});

test.after.always(async () => {
  await closeScenario(scenario);
  rmSync(folder, {recursive: true});
});

interface Ended {
  readonly code: number;
  readonly out: string;
  readonly err: string;
}

function run(...args: string[]): Promise<Ended> {
  const env = {...process.env, PARSLEYARCH_KEY: OPERATOR_KEY};
  return new Promise(resolve => {
    execFile(
      process.execPath,
      ['build/parsleyarch.cjs', ...args],
      {env},
      (error, out, err) =>
        resolve({code: error ? Number(error.code) : 0, out, err}),
    );
  });
}

const onNode = (index: number, ...args: string[]) =>
  run(...args, '--server', scenario.cluster.nodes[index].operators);

function declarations(name: string, content: unknown): string {
  const file = join(folder, name);
  const text = typeof content === 'string' ? content : JSON.stringify(content);
  writeFileSync(file, text);
  return file;
}

const domain = (region: string) => ({
  kind: 'FailureDomain',
  name: 'johar',
  spec: {region},
});

test.serial(
  'validate names every error with its file, and exits 2',
  async t => {
    const bad = declarations('bad.jsonc', [
      {kind: 'Upstream', name: 'x', spec: {failureDomain: 'johar'}},
      {kind: 'Nothing', name: 'y', spec: {}},
    ]);
    const ended = await run('validate', '-f', bad);
    t.is(ended.code, 2);
    t.regex(ended.err, /bad\.jsonc: Upstream\/x: address/);
    t.regex(ended.err, /bad\.jsonc: kind: expected one of/);
    const broken = declarations('broken.jsonc', '[\n{"kind" 1}]');
    t.regex((await run('validate', '-f', broken)).err, /broken\.jsonc:2/);
  },
);

test.serial('a dry run changes nothing; apply does, once', async t => {
  const file = declarations('domain.jsonc', domain('lahore'));
  const dry = await onNode(0, 'apply', '-f', file, '--dry-run');
  t.regex(dry.out, /create +FailureDomain\/johar +would apply/);
  t.is((await onNode(0, 'get', 'FailureDomain', 'johar')).code, 1);
  t.regex((await onNode(0, 'apply', '-f', file)).out, /revision \d+/);
  t.regex((await onNode(0, 'apply', '-f', file)).out, /no differences/);
  t.regex((await onNode(0, 'diff', '-f', file)).out, /no differences/);
});

test.serial('get prints JSON that names author and revision', async t => {
  const ended = await onNode(0, 'get', 'FailureDomain', 'johar', '-o', 'json');
  const [found] = JSON.parse(ended.out);
  t.is(found.author, 'operator');
  t.is(found.spec.state, 'in');
});

test.serial(
  'domain out and in, drain, withdraw and delete take effect',
  async t => {
    const spec = async (path: string) => {
      const answer = await operate(scenario.cluster.nodes[0], 'GET', path);
      return (answer.json as {spec?: {state?: string}}).spec?.state;
    };
    await onNode(0, 'domain', 'out', 'johar');
    t.is(await spec('/v1/FailureDomain/johar'), 'out');
    await onNode(0, 'domain', 'in', 'johar');
    t.is(await spec('/v1/FailureDomain/johar'), 'in');
    await onNode(0, 'upstream', 'drain', 'engine-1');
    t.is(await spec('/v1/Upstream/engine-1'), 'draining');
    await onNode(0, 'withdraw', 'announce-1');
    t.is(await spec('/v1/Version/announce-1'), 'withdrawn');
    t.is((await onNode(0, 'delete', 'FailureDomain', 'johar')).code, 0);
    t.is(await spec('/v1/FailureDomain/johar'), undefined);
  },
);

test.serial(
  'a roll-out is started, paused, resumed and rolled back',
  async t => {
    const flags = ['--model', 'hymn', '--from', 'hymn-1', '--to', 'hymn-2'];
    const missing = await onNode(0, 'rollout', 'start', 'h2');
    t.is(missing.code, 2);
    t.is((await onNode(0, 'rollout', 'start', 'h2', ...flags)).code, 0);
    const again = await onNode(0, 'rollout', 'start', 'h2', ...flags);
    t.is(again.code, 3);
    t.regex(again.err, /last changed by operator/);
    for (const action of ['pause', 'resume', 'roll-back'])
      t.is((await onNode(0, 'rollout', action, 'h2')).code, 0, action);
  },
);

test.serial(
  'a node that is away and a wrong key have their exit codes',
  async t => {
    const away = await run('status', '--server', 'http://127.0.0.1:9');
    t.is(away.code, 4);
    t.is((await onNode(0, 'status', '--key', 'wrong')).code, 1);
    t.is((await run('no-such-command')).code, 2);
  },
);

test.serial('watch prints each change as it is accepted', async t => {
  const [node] = scenario.cluster.nodes;
  const watching = execFile(
    process.execPath,
    ['build/parsleyarch.cjs', 'watch', '--server', node.operators],
    {env: {...process.env, PARSLEYARCH_KEY: OPERATOR_KEY}},
  );
  const seen = new Promise<string>(resolve => {
    let text = '';
    watching.stdout?.on('data', chunk => {
      text += chunk;
      if (text.includes('"name":"watched"')) resolve(text);
    });
  });
  const file = declarations('watched.jsonc', {
    ...domain('lahore'),
    name: 'watched',
  });
  await onNode(1, 'apply', '-f', file);
  t.regex(await seen, /"author":"operator"/);
  watching.kill();
});
