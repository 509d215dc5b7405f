import {
  seal,
  type Script,
  type SeenRequest,
} from '@parsleyarch/standins/runner';
import test from 'ava';
import type {ClientRequest, ServerResponse} from 'node:http';
import '../exit.js';
import {
  call,
  closeSite,
  configure,
  route,
  startNode,
  startSite,
  until,
  type Site,
} from './site.js';

const EVENTS = 12;
let site: Site;

test.before(async () => {
  site = await startSite(3);
  const stream = {
    kind: 'stream',
    goal_ms: 1_000,
    gap_aim_ms: 300,
    max_attempts: 3,
  };
  const models = {
    services: [
      {
        name: 'api',
        health_path: '/healthz',
        engine: {
          models: [
            {name: 'small', cost: 0.1},
            {name: 'large', cost: 1},
          ],
        },
      },
    ],
  };
  configure(
    site,
    [
      route({...stream, resumable: true}),
      route({...stream, name: 'plain', path_prefix: '/plain/'}),
      route({
        ...stream,
        name: 'sized',
        path_prefix: '/sized/',
        resumable: true,
        sizes: ['small', 'large'],
      }),
    ],
    models,
  );
  await startNode(site);
});
test.after.always(() => closeSite(site));

const event = (id: number) => `id: ${id}\ndata: e${id}\n\n`;
const firstOf = ({headers}: SeenRequest) =>
  Number(headers['last-event-id'] ?? 0) + 1;

function open(seen: SeenRequest, response: ServerResponse, extra = {}) {
  response.writeHead(200, {
    ...seal(seen),
    'content-type': 'text/event-stream',
    ...extra,
  });
}

/** Sends all events from where the request asks to go on. */
const sendAll: Script = (seen, response) => {
  open(seen, response);
  for (let id = firstOf(seen); id <= EVENTS; id += 1) response.write(event(id));
  response.end();
};

/** Breaks the first stream with `breakAt`; later ones are whole. */
function breakFirst(breakAt: (response: ServerResponse) => void): void {
  let broken = false;
  for (const runner of site.runners)
    runner.script = (seen, response, self) => {
      if (broken) return sendAll(seen, response, self);
      broken = true;
      open(seen, response);
      for (let id = 1; id <= 4; id += 1) response.write(event(id));
      setTimeout(() => breakAt(response), 30);
      return undefined;
    };
}

const whole = Array.from({length: EVENTS}, (_x, i) => event(i + 1)).join('');
const post = (path = '/a/x', headers = {}) =>
  call(site.entries[0], {method: 'POST', path, headers, body: 'p'});

for (const [label, breakAt] of Object.entries({
  'in the middle of an event': (response: ServerResponse): void => {
    response.write('id: 5\nda', () => response.socket!.resetAndDestroy());
  },
  'between events': (response: ServerResponse) =>
    response.socket!.resetAndDestroy(),
  'by going silent': () => {},
}))
  test.serial(
    `a resumable stream that breaks ${label} goes on without gap or repeat`,
    async t => {
      breakFirst(breakAt);
      const answer = await post();
      t.is(answer.body, whole);
      t.true(answer.complete);
    },
  );

test.serial(
  'a stream that may not be resumed never looks whole when it breaks',
  async t => {
    breakFirst(response => response.socket!.resetAndDestroy());
    const answer = await post('/plain/x');
    t.false(answer.complete);
    t.is(answer.body, [1, 2, 3, 4].map(event).join(''));
  },
);

test.serial('a caller that resumes gets the events after its own', async t => {
  for (const runner of site.runners) runner.script = sendAll;
  const answer = await post('/a/x', {'last-event-id': '7'});
  t.is(answer.body, [8, 9, 10, 11, 12].map(event).join(''));
});

test.serial(
  'a caller that leaves in the middle ends the upstream work',
  async t => {
    for (const runner of site.runners)
      runner.script = (seen, response) => {
        open(seen, response);
        response.write(event(1));
      };
    let caller: ClientRequest | undefined;
    const before = site.runners.flatMap(runner => runner.seen);
    await call(site.entries[0], {
      method: 'POST',
      onSent: request => (caller = request),
      onBytes: () => caller!.destroy(),
    });
    const seen = () =>
      site.runners
        .flatMap(runner => runner.seen)
        .filter(s => !before.includes(s));
    await until(() => seen().length === 1 && seen()[0].gone);
    t.pass();
  },
);

/** Answers with a confidence by model, and notes which models were asked. */
function scriptModels(confidence: Record<string, number>): string[] {
  const asked: string[] = [];
  for (const runner of site.runners)
    runner.script = (seen, response) => {
      const model = String(seen.headers['x-parsleyarch-model']);
      asked.push(model);
      open(seen, response, {
        'X-Parsleyarch-Confidence': String(confidence[model]),
      });
      response.end(event(1) + `id: 2\ndata: ${model}\n\n`);
    };
  return asked;
}

test.serial(
  'an unsure small model is replaced before anything goes out',
  async t => {
    const asked = scriptModels({small: 10, large: 90});
    const answer = await post('/sized/x', {'x-parsleyarch-model': '*'});
    t.deepEqual(asked, ['small', 'large']);
    t.true(answer.body.includes('large') && !answer.body.includes('small'));
  },
);

test.serial('a sure small model answers alone', async t => {
  const asked = scriptModels({small: 95, large: 90});
  await post('/sized/x', {'x-parsleyarch-model': '*'});
  t.deepEqual(asked, ['small']);
});

test.serial('a model that the caller names is left as it is', async t => {
  const asked = scriptModels({small: 10, large: 90});
  await post('/sized/x', {'x-parsleyarch-model': 'small'});
  t.deepEqual(asked, ['small']);
});
