import {createSeal} from '@parsleyarch/standins/runner';
import test from 'ava';
import type {ClientRequest} from 'node:http';
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

let site: Site;
test.before(async () => {
  site = await startSite(2);
  configure(site, [
    route(),
    route({name: 'once', path_prefix: '/once/', kind: 'non_idempotent'}),
  ]);
  await startNode(site);
});
test.after.always(() => closeSite(site));

/** Sets the same script for all upstreams. */
function scriptAll(script: (typeof site.runners)[number]['script']) {
  for (const runner of site.runners) runner.script = script;
}

test.serial('a complete answer is relayed with its seal', async t => {
  scriptAll(undefined);
  const answer = await call(site.entries[0]);
  t.is(answer.status, 200);
  t.truthy(answer.headers['x-parsleyarch-runner-seal']);
  t.regex(answer.body, /ran attempt/);
});

test.serial(
  'a reset answer without a length is never relayed as complete',
  async t => {
    scriptAll((seen, response) => {
      response.socket!.write(
        `HTTP/1.1 200 OK\r\nX-Parsleyarch-Attempt-Id: ${seen.attempt}\r\n` +
          'X-Parsleyarch-Runner-Seal: s\r\nConnection: close\r\n\r\npart',
      );
      setTimeout(() => response.socket!.resetAndDestroy(), 50);
    });
    const answer = await call(site.entries[0], {
      path: '/once/x',
      method: 'POST',
    });
    t.not(answer.status, 200);
  },
);

test.serial(
  'an answer reset together with its last bytes is never relayed as complete',
  async t => {
    scriptAll((seen, response) => {
      const {socket} = response;
      const head =
        `HTTP/1.1 200 OK\r\nX-Parsleyarch-Attempt-Id: ${seen.attempt}\r\n` +
        'X-Parsleyarch-Runner-Seal: s\r\nConnection: close\r\n\r\npart';
      // Data and reset reach the node before its event loop reads either.
      socket!.write(head, () => socket!.resetAndDestroy());
    });
    const answer = await call(site.entries[0], {
      path: '/once/x',
      method: 'POST',
    });
    t.not(answer.status, 200);
  },
);

test.serial('an answer without a length that ends is complete', async t => {
  scriptAll((seen, response) => {
    response.socket!.end(
      `HTTP/1.1 200 OK\r\nX-Parsleyarch-Attempt-Id: ${seen.attempt}\r\n` +
        'X-Parsleyarch-Runner-Seal: s\r\nConnection: close\r\n\r\nall of it',
    );
  });
  const answer = await call(site.entries[0], {
    path: '/once/x',
    method: 'POST',
  });
  t.is(answer.status, 200);
  t.is(answer.body, 'all of it');
  t.true(answer.complete);
});

for (const [label, headers] of Object.entries({
  'to another request': {
    'X-Parsleyarch-Attempt-Id': 'other',
    'X-Parsleyarch-Runner-Seal': 's',
  },
  'without a seal': {'X-Parsleyarch-Seal': 'no'},
  'with an encoded body': {'Content-Encoding': 'gzip'},
}))
  test.serial(`an answer ${label} is not relayed`, async t => {
    scriptAll((seen, response) => {
      const sealHeaders =
        label === 'without a seal'
          ? {'X-Parsleyarch-Attempt-Id': seen.attempt}
          : createSeal(seen);
      response.writeHead(200, {...sealHeaders, ...headers}).end('x');
    });
    const answer = await call(site.entries[0], {
      path: '/once/x',
      method: 'POST',
    });
    t.is(answer.status, 502);
  });

test.serial(
  'a request that may not be repeated runs once when its answer is lost',
  async t => {
    scriptAll((_seen, response) => void response.socket!.resetAndDestroy());
    const before = site.runners.flatMap(({requests}) => requests).length;
    const answer = await call(site.entries[0], {
      path: '/once/x',
      method: 'POST',
      body: 'b',
    });
    t.is(answer.status, 502);
    t.is(site.runners.flatMap(({requests}) => requests).length, before + 1);
  },
);

test.serial('an idempotent request is retried at another upstream', async t => {
  let isFirst = true;
  scriptAll((seen, response) => {
    if (isFirst) {
      isFirst = false;
      return void response.writeHead(500, createSeal(seen)).end('broken');
    }
    return void response.writeHead(200, createSeal(seen)).end('fine');
  });
  const answer = await call(site.entries[0]);
  t.is(answer.status, 200);
  t.is(answer.body, 'fine');
});

test.serial('not-run refusals are retried, then end with 503', async t => {
  let refusals = 0;
  scriptAll((seen, response) => {
    if (refusals === 0) {
      refusals += 1;
      return void response.writeHead(503, {'X-Parsleyarch-Not-Run': '1'}).end();
    }
    return void response.writeHead(200, createSeal(seen)).end('ran');
  });
  const answer = await call(site.entries[0], {
    path: '/once/x',
    method: 'POST',
  });
  t.is(answer.status, 200);
  refusals = 0;
  scriptAll(
    (_seen, response) =>
      void response.writeHead(503, {'X-Parsleyarch-Not-Run': '1'}).end(),
  );
  const refused = await call(site.entries[0], {
    path: '/once/x',
    method: 'POST',
  });
  t.is(refused.status, 503);
  t.truthy(refused.headers['retry-after']);
});

test.serial('a 503 without a not-run header becomes a 502', async t => {
  scriptAll(
    (seen, response) => void response.writeHead(503, createSeal(seen)).end(),
  );
  const answer = await call(site.entries[0], {path: '/once/x', method: 'POST'});
  t.is(answer.status, 502);
});

test.serial('a caller that disconnects ends the upstream work', async t => {
  scriptAll(() => {});
  const seen = () => site.runners.flatMap(runner => runner.requests);
  const before = seen().length;
  let caller: ClientRequest | undefined;
  const answer = call(site.entries[0], {
    path: '/once/x',
    method: 'POST',
    onSent: request => (caller = request),
  });
  await until(() => seen().length > before);
  caller!.destroy();
  await answer;
  await until(() => seen().some(({aborted, at}) => aborted && at > 0));
  t.is(seen().length, before + 1);
});

test.serial(
  'a request without an answer ends with 504 at its deadline',
  async t => {
    scriptAll(() => {});
    const answer = await call(site.entries[0], {
      path: '/once/x',
      method: 'POST',
      headers: {'x-parsleyarch-deadline-ms': '300'},
    });
    t.is(answer.status, 504);
    t.true(answer.tookMs < 800);
  },
);
