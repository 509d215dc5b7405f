import {
  createSeal,
  type Script,
  type ReceivedRequest,
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

const EVENT_COUNT = 12;
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
const firstEventId = ({headers}: ReceivedRequest) =>
  Number(headers['last-event-id'] ?? 0) + 1;

function openStream(
  seen: ReceivedRequest,
  response: ServerResponse,
  extra = {},
) {
  response.writeHead(200, {
    ...createSeal(seen),
    'content-type': 'text/event-stream',
    ...extra,
  });
}

/** Sends all events after the one that the request names. */
const sendAll: Script = (seen, response) => {
  openStream(seen, response);
  for (let id = firstEventId(seen); id <= EVENT_COUNT; id += 1)
    response.write(event(id));
  response.end();
};

/** Breaks the first stream after 4 events; later ones are complete. */
function breakFirstStream(
  breakStream: (response: ServerResponse) => void,
): void {
  let hasBroken = false;
  for (const runner of site.runners)
    runner.script = (seen, response, self) => {
      if (hasBroken) return sendAll(seen, response, self);
      hasBroken = true;
      openStream(seen, response);
      for (let id = 1; id <= 4; id += 1) response.write(event(id));
      setTimeout(() => breakStream(response), 30);
      return undefined;
    };
}

const allEvents = Array.from({length: EVENT_COUNT}, (_x, i) =>
  event(i + 1),
).join('');
const post = (path = '/a/x', headers = {}) =>
  call(site.entries[0], {method: 'POST', path, headers, body: 'p'});

for (const [label, breakStream] of Object.entries({
  'in the middle of an event': (response: ServerResponse): void => {
    response.write('id: 5\nda', () => response.socket!.resetAndDestroy());
  },
  'between events': (response: ServerResponse) =>
    response.socket!.resetAndDestroy(),
  'by stalling': () => {},
}))
  test.serial(
    `a resumable stream that breaks ${label} is resumed without gaps or duplicates`,
    async t => {
      breakFirstStream(breakStream);
      const answer = await post();
      t.is(answer.body, allEvents);
      t.true(answer.complete);
    },
  );

test.serial(
  'a broken stream that may not be resumed is never relayed as complete',
  async t => {
    breakFirstStream(response => response.socket!.resetAndDestroy());
    const answer = await post('/plain/x');
    t.false(answer.complete);
    t.is(answer.body, [1, 2, 3, 4].map(event).join(''));
  },
);

/** Streams bytes without a length or chunks, and ends with the connection. */
const closeDelimited =
  (text: string): Script =>
  (seen, response) => {
    response.useChunkedEncodingByDefault = false;
    openStream(seen, response, {connection: 'close'});
    response.end(text);
  };

/** Answers the first request by one script and later ones by another. */
function answerInTurn(first: Script, later: Script): void {
  let count = 0;
  for (const runner of site.runners)
    runner.script = (...request) => {
      count += 1;
      return (count === 1 ? first : later)(...request);
    };
}

for (const [label, text] of Object.entries({
  'inside an event': `${event(1)}id: 2\ndata: e`,
  'before its first event': '',
}))
  test.serial(
    `a stream without a length that ends ${label} is resumed`,
    async t => {
      answerInTurn(closeDelimited(text), sendAll);
      const answer = await post();
      t.is(answer.body, allEvents);
      t.true(answer.complete);
      answerInTurn(closeDelimited(text), sendAll);
      t.false((await post('/plain/x')).complete);
    },
  );

test.serial(
  'a stream without a length that ends after an event is complete',
  async t => {
    for (const runner of site.runners)
      runner.script = closeDelimited(allEvents);
    for (const path of ['/a/x', '/plain/x']) {
      const answer = await post(path);
      t.is(answer.body, allEvents);
      t.true(answer.complete);
    }
  },
);

const ERROR_TEXT = '{"error":"overloaded"}\n\n';

/** Answers with an error that has the upstream's seal. */
const fail: Script = (seen, response) =>
  void response.writeHead(500, createSeal(seen)).end(ERROR_TEXT);

/** Breaks a stream after 4 events. */
const breakOff: Script = (seen, response) => {
  openStream(seen, response);
  for (let id = 1; id <= 4; id += 1) response.write(event(id));
  setTimeout(() => response.socket!.resetAndDestroy(), 30);
};

for (const [label, scripts] of Object.entries({
  'before it': [fail, breakOff],
  'after it': [breakOff, fail],
  'before and after it': [fail, breakOff, fail],
}))
  test.serial(
    `a stream that breaks, with an error of another upstream ${label}, ends incomplete without that error`,
    async t => {
      let count = 0;
      for (const runner of site.runners)
        runner.script = (...request) => {
          const script = scripts[Math.min(count, scripts.length - 1)];
          count += 1;
          return script(...request);
        };
      const lines: Record<string, unknown>[] = [];
      const {node} = site.entries[0];
      const {logDecision} = node;
      Object.assign(node, {
        logDecision: (decision: string, fields: Record<string, unknown>) =>
          lines.push({decision, ...fields}),
      });
      const answer = await post();
      Object.assign(node, {logDecision});
      t.is(answer.status, 200);
      t.is(answer.body, [1, 2, 3, 4].map(event).join(''));
      t.false(answer.complete);
      const answers = lines.filter(({decision}) => decision === 'answer');
      t.is(answers.length, 1);
      t.is(answers[0].status, 0);
    },
  );

test.serial(
  'a stream that goes on without a length and ends before an event is not complete',
  async t => {
    answerInTurn(breakOff, closeDelimited(''));
    const answer = await post();
    t.is(answer.body, [1, 2, 3, 4].map(event).join(''));
    t.false(answer.complete);
  },
);

test.serial(
  'an upstream that begins a resumed stream anew repeats no event',
  async t => {
    for (const runner of site.runners) runner.script = breakOff;
    const answer = await post();
    t.is(answer.body, [1, 2, 3, 4].map(event).join(''));
    t.false(answer.complete);
  },
);

test.serial(
  'an answer of another type never goes on with a stream that broke',
  async t => {
    answerInTurn(breakOff, (seen, response) => {
      openStream(seen, response, {'content-type': 'application/json'});
      response.end(ERROR_TEXT);
    });
    const answer = await post();
    t.is(answer.body, [1, 2, 3, 4].map(event).join(''));
    t.false(answer.complete);
  },
);

test.serial('a resuming caller gets the events after its last', async t => {
  for (const runner of site.runners) runner.script = sendAll;
  const answer = await post('/a/x', {'last-event-id': '7'});
  t.is(answer.body, [8, 9, 10, 11, 12].map(event).join(''));
});

test.serial(
  'a caller that disconnects in mid-stream ends the work of the upstream',
  async t => {
    for (const runner of site.runners)
      runner.script = (seen, response) => {
        openStream(seen, response);
        response.write(event(1));
      };
    let caller: ClientRequest | undefined;
    const earlier = site.runners.flatMap(runner => runner.requests);
    await call(site.entries[0], {
      method: 'POST',
      onSent: request => (caller = request),
      onBytes: () => caller!.destroy(),
    });
    const seen = () =>
      site.runners
        .flatMap(runner => runner.requests)
        .filter(s => !earlier.includes(s));
    await until(() => seen().length === 1 && seen()[0].aborted);
    t.pass();
  },
);

/** Answers with a confidence by model; returns the list of requested models. */
function scriptModels(confidence: Record<string, number>): string[] {
  const requestedModels: string[] = [];
  for (const runner of site.runners)
    runner.script = (seen, response) => {
      const model = String(seen.headers['x-parsleyarch-model']);
      requestedModels.push(model);
      openStream(seen, response, {
        'X-Parsleyarch-Confidence': String(confidence[model]),
      });
      response.end(event(1) + `id: 2\ndata: ${model}\n\n`);
    };
  return requestedModels;
}

test.serial(
  'a small model with low confidence is replaced before any event is relayed',
  async t => {
    const requestedModels = scriptModels({small: 10, large: 90});
    const answer = await post('/sized/x', {'x-parsleyarch-model': '*'});
    t.deepEqual(requestedModels, ['small', 'large']);
    t.true(answer.body.includes('large') && !answer.body.includes('small'));
  },
);

test.serial('a small model with high confidence answers alone', async t => {
  const requestedModels = scriptModels({small: 95, large: 90});
  await post('/sized/x', {'x-parsleyarch-model': '*'});
  t.deepEqual(requestedModels, ['small']);
});

test.serial('a model that the caller names is not replaced', async t => {
  const requestedModels = scriptModels({small: 10, large: 90});
  await post('/sized/x', {'x-parsleyarch-model': 'small'});
  t.deepEqual(requestedModels, ['small']);
});
