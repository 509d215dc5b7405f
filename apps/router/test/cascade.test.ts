import {chat} from '@parsleyarch/standins/client';
import {sendOperatorRequest, until} from '@parsleyarch/standins/cluster';
import {
  closeScenario,
  CUSTOMER_KEY,
  startScenario,
  type Scenario,
} from '@parsleyarch/standins/scenario';
import test from 'ava';
import './exit.js';

let scenario: Scenario;

test.before(async () => {
  scenario = await startScenario({
    domains: ['gulberg', 'dha'],
    engineDomains: ['gulberg', 'dha'],
    engine: {coldLimit: 8, warmLimit: 8},
  });
});

test.after.always(() => closeScenario(scenario));

const ask = (target: string, taskClass: string, index: number) =>
  chat(scenario.cluster.nodes[index % 2].callers, CUSTOMER_KEY, `q ${index}`, {
    model: 'auto',
    headers: {'x-quality-target': target, 'x-task-class': taskClass},
  });

/** Version that a cascade check chose for an answer, if there was a check. */
async function findCheckedVersion({
  headers,
}: Awaited<ReturnType<typeof ask>>): Promise<string | undefined> {
  const explained = await sendOperatorRequest(
    scenario.cluster.nodes[0],
    'GET',
    `/v1/explain/${encodeURIComponent(String(headers['x-request-id']))}`,
  );
  const {lines = []} = explained.json as {
    lines?: Array<{decision: string; choice: string}>;
  };
  return lines.find(({decision}) => decision === 'cascade-check')?.choice;
}

/** Some of these explore the cheap model, whose answer must pass a check then. */
const HIGH_TARGET_COUNT = 20;

test.serial(
  'a low quality target uses the cheap model, a high one an expensive model',
  async t => {
    const low = await ask('0.5', 'general', 0);
    t.is(low.headers['x-version'], 'announce-1');
    let expensive = 0;
    for (let index = 1; index <= HIGH_TARGET_COUNT; index += 1) {
      const high = await ask('0.8', 'general', index);
      if (high.headers['x-version'] !== 'announce-1') expensive += 1;
      else t.is(await findCheckedVersion(high), 'announce-1');
    }
    t.true(expensive > HIGH_TARGET_COUNT / 2);
  },
);

test.serial('ratings make all nodes choose the cheap model', async t => {
  // The cheap model declares a quality of 0.6 and is rated far better here.
  scenario.cluster.rater.quality = () => 0.92;
  let index = 0;
  await until('the cheap model to be chosen on both nodes', async () => {
    const answers = await Promise.all(
      Array.from({length: 10}, () => ask('0.75', 'status', (index += 1))),
    );
    const versions = answers.map(answer => answer.headers['x-version']);
    return versions.every(version => version === 'announce-1');
  });
  t.pass();
});

test.serial(
  'a failed cascade check gives the expensive answer and is explained',
  async t => {
    scenario.cluster.rater.quality = version =>
      version === 'announce-1' ? 0.2 : 0.95;
    let index = 1_000;
    await until('a failed check', async () => {
      const answer = await ask('0.75', 'status', (index += 1));
      const checked = await findCheckedVersion(answer);
      if (!checked || checked === 'announce-1') return false;
      t.true(answer.complete);
      t.is(answer.headers['x-version'], checked);
      return true;
    });
  },
);

test.serial(
  'no refusal reports "not-run" after the first version has run',
  async t => {
    scenario.cluster.rater.quality = () => 0.2;
    for (const engine of scenario.engines.instances.values()) {
      engine.loadedVersions.delete('hymn-1');
      engine.loadedVersions.delete('hymn-2');
    }
    const begun = () =>
      [...scenario.engines.instances.values()].reduce(
        (sum, engine) => sum + (engine.startedJobs.get('announce-1') ?? 0),
        0,
      );
    let index = 2_000;
    await until('a cascade whose second version refuses', async () => {
      const before = begun();
      const answer = await ask('0.75', 'status', (index += 1));
      if (!answer.error || begun() === before) return false;
      t.not(answer.error.run, 'not-run');
      return true;
    });
  },
);
