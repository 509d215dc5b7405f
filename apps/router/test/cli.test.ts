import {OPERATOR_KEY, sendOperatorRequest} from '@parsleyarch/standins/cluster';
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
const directory = mkdtempSync(join(tmpdir(), 'parsleyarch-cli-'));

test.before(async () => {
  scenario = await startScenario({
    domains: ['gulberg', 'dha'],
    engineDomains: ['gulberg'],
  });
});

test.after.always(async () => {
  await closeScenario(scenario);
  rmSync(directory, {recursive: true});
});

interface CommandResult {
  readonly code: number;
  readonly out: string;
  readonly err: string;
}

function runCommand(...args: string[]): Promise<CommandResult> {
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

const runOnNode = (index: number, ...args: string[]) =>
  runCommand(...args, '--server', scenario.cluster.nodes[index].operators);

function writeDeclarations(name: string, content: unknown): string {
  const file = join(directory, name);
  const text = typeof content === 'string' ? content : JSON.stringify(content);
  writeFileSync(file, text);
  return file;
}

const domainDeclaration = (region: string) => ({
  kind: 'FailureDomain',
  name: 'johar',
  spec: {region},
});

test.serial(
  'validate reports every error with its file and exits with 2',
  async t => {
    const invalid = writeDeclarations('bad.jsonc', [
      {kind: 'Upstream', name: 'x', spec: {failureDomain: 'johar'}},
      {kind: 'Nothing', name: 'y', spec: {}},
    ]);
    const result = await runCommand('validate', '-f', invalid);
    t.is(result.code, 2);
    t.regex(result.err, /bad\.jsonc: Upstream\/x: address/);
    t.regex(result.err, /bad\.jsonc: kind: expected one of/);
    const broken = writeDeclarations('broken.jsonc', '[\n{"kind" 1}]');
    t.regex(
      (await runCommand('validate', '-f', broken)).err,
      /broken\.jsonc:2/,
    );
  },
);

test.serial(
  'a dry run changes nothing, and a repeated apply finds no differences',
  async t => {
    const file = writeDeclarations('domain.jsonc', domainDeclaration('lahore'));
    const dryRun = await runOnNode(0, 'apply', '-f', file, '--dry-run');
    t.regex(dryRun.out, /create +FailureDomain\/johar +would apply/);
    t.is((await runOnNode(0, 'get', 'FailureDomain', 'johar')).code, 1);
    t.regex((await runOnNode(0, 'apply', '-f', file)).out, /revision \d+/);
    t.regex((await runOnNode(0, 'apply', '-f', file)).out, /no differences/);
    t.regex((await runOnNode(0, 'diff', '-f', file)).out, /no differences/);
  },
);

test.serial('get prints author and spec as JSON', async t => {
  const result = await runOnNode(
    0,
    'get',
    'FailureDomain',
    'johar',
    '-o',
    'json',
  );
  const [found] = JSON.parse(result.out);
  t.is(found.author, 'operator');
  t.is(found.spec.state, 'in');
});

test.serial(
  'domain, drain, withdraw and delete change the configuration',
  async t => {
    const stateOf = async (path: string) => {
      const answer = await sendOperatorRequest(
        scenario.cluster.nodes[0],
        'GET',
        path,
      );
      return (answer.json as {spec?: {state?: string}}).spec?.state;
    };
    await runOnNode(0, 'domain', 'out', 'johar');
    t.is(await stateOf('/v1/FailureDomain/johar'), 'out');
    await runOnNode(0, 'domain', 'in', 'johar');
    t.is(await stateOf('/v1/FailureDomain/johar'), 'in');
    await runOnNode(0, 'upstream', 'drain', 'engine-1');
    t.is(await stateOf('/v1/Upstream/engine-1'), 'draining');
    await runOnNode(0, 'withdraw', 'announce-1');
    t.is(await stateOf('/v1/Version/announce-1'), 'withdrawn');
    t.is((await runOnNode(0, 'delete', 'FailureDomain', 'johar')).code, 0);
    t.is(await stateOf('/v1/FailureDomain/johar'), undefined);
  },
);

test.serial(
  'a roll-out is started, paused, resumed and rolled back',
  async t => {
    const flags = ['--model', 'hymn', '--from', 'hymn-1', '--to', 'hymn-2'];
    const missing = await runOnNode(0, 'rollout', 'start', 'h2');
    t.is(missing.code, 2);
    t.is((await runOnNode(0, 'rollout', 'start', 'h2', ...flags)).code, 0);
    const repeated = await runOnNode(0, 'rollout', 'start', 'h2', ...flags);
    t.is(repeated.code, 3);
    t.regex(repeated.err, /last changed by operator/);
    for (const action of ['pause', 'resume', 'roll-back'])
      t.is((await runOnNode(0, 'rollout', action, 'h2')).code, 0, action);
  },
);

test.serial(
  'an unreachable node, a wrong key and an unknown command set the exit code',
  async t => {
    const unreachable = await runCommand(
      'status',
      '--server',
      'http://127.0.0.1:9',
    );
    t.is(unreachable.code, 4);
    t.is((await runOnNode(0, 'status', '--key', 'wrong')).code, 1);
    t.is((await runCommand('no-such-command')).code, 2);
  },
);

test.serial('watch prints each change as it is accepted', async t => {
  const [node] = scenario.cluster.nodes;
  const watchProcess = execFile(
    process.execPath,
    ['build/parsleyarch.cjs', 'watch', '--server', node.operators],
    {env: {...process.env, PARSLEYARCH_KEY: OPERATOR_KEY}},
  );
  const watchOutput = new Promise<string>(resolve => {
    let text = '';
    watchProcess.stdout?.on('data', chunk => {
      text += chunk;
      if (text.includes('"name":"watched"')) resolve(text);
    });
  });
  const file = writeDeclarations('watched.jsonc', {
    ...domainDeclaration('lahore'),
    name: 'watched',
  });
  await runOnNode(1, 'apply', '-f', file);
  t.regex(await watchOutput, /"author":"operator"/);
  watchProcess.kill();
});
