/** Tests of entries that another writer has left among those of the upstreams. */
import test, {type ExecutionContext} from 'ava';
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

const APPLY_MS = 2_000;
const REQUEST_COUNT = 20;

const entry = (fields: Record<string, unknown>) =>
  JSON.stringify({
    service: 'api',
    addr: '127.0.0.1:9',
    zone: 'gulberg',
    version: 'v1',
    slots: 8,
    state: 'ready',
    cold_left_ms: 0,
    seq: 1,
    born: 1,
    ...fields,
  });
const nested = (open: string, close: string, depth: number) =>
  open.repeat(depth) + '1' + close.repeat(depth);
/** An entry with the text of a number in place of one that JSON.stringify writes. */
const withNumber = (field: string, text: string) =>
  entry({[field]: '#'}).replace('"#"', text);

const ODD_VALUES: Readonly<Record<string, string>> = {
  'nested lists': nested('[', ']', 300_000),
  'nested objects': nested('{"service":', '}', 60_000),
  'a nested list in a field': entry({}).replace(
    '"api"',
    nested('[', ']', 200_000),
  ),
  'a nested list in a field of no meaning': entry({}).replace(
    '{',
    `{"extra":${nested('[', ']', 200_000)},`,
  ),
  'a cold time beyond all numbers': withNumber('cold_left_ms', '1e999'),
  'a cold time of years': withNumber('cold_left_ms', '1e300'),
  'a negative cold time': withNumber('cold_left_ms', '-1e300'),
  'slots beyond all numbers': withNumber('slots', '1e400'),
  'more slots than an integer holds': withNumber('slots', '1e30'),
  'a start beyond all numbers': withNumber('born', '9e999'),
  'a start of many digits': withNumber('born', '9'.repeat(400)),
  'a port out of range': entry({addr: '127.0.0.1:65536'}),
  'a port of many digits': entry({addr: `127.0.0.1:${'9'.repeat(40)}`}),
  'an address out of range': entry({addr: '999.999.999.999:80'}),
  'an address of too few parts': entry({addr: '127.1:80'}),
  'bytes that are no text': '\u0000\ufffd\u0001',
  'no bytes': '',
  'a list': '[1, 2, 3]',
  'a field that names the prototype': '{"__proto__": {"service": "api"}}',
};

/** Two nodes that watch the store and one that follows them. */
async function start(t: ExecutionContext): Promise<Site> {
  const site = await startSite(2);
  t.teardown(() => closeSite(site));
  configure(site, [route()]);
  for (let index = 0; index < 3; index += 1) await startNode(site);
  await until(() => site.entries[2].node.following.source !== undefined);
  return site;
}

const putText = ({store}: Site, key: string, text: string) =>
  store.putBytes(key, Buffer.from(text));

test('odd entries end no node, and the others go on being followed', async t => {
  const site = await start(t);
  for (const [name, text] of Object.entries(ODD_VALUES)) {
    putText(site, 'servers/i-odd', text);
    const changedAt = performance.now();
    const prefix = `/${name.replaceAll(' ', '-')}/`;
    configure(site, [route(), route({name: 'r2', path_prefix: prefix})]);
    const knows = site.entries.map(({node}) =>
      until(() => node.routes?.table.routes.at(-1)?.pathPrefix === prefix),
    );
    await Promise.all(knows);
    t.true(performance.now() - changedAt < APPLY_MS, name);
    for (const {node} of site.entries)
      t.deepEqual([...node.upstreams.keys()].sort(), ['i-0', 'i-1'], name);
  }
  const calls = site.entries.flatMap(node =>
    Array.from({length: REQUEST_COUNT}, () => call(node)),
  );
  for (const {status} of await Promise.all(calls)) t.is(status, 200);
});

test('entries under odd keys name no upstream that ends a node', async t => {
  const site = await start(t);
  const keys = ['', '__proto__', 'constructor', 'a/b', 'ü'.repeat(90)];
  for (const key of keys) putText(site, `servers/${key}`, entry({slots: 'x'}));
  configure(site, [route({path_prefix: '/after/'})]);
  for (const {node} of site.entries) {
    await until(() => node.routes?.table.routes[0].pathPrefix === '/after/');
    t.is(node.upstreams.size, 2);
  }
  t.is((await call(site.entries[2], {path: '/after/x'})).status, 200);
});

test('an entry that cannot be applied holds up no later change and no other subscriber', async t => {
  const site = await start(t);
  for (const {node} of site.entries) {
    node.feed.subscribers.unshift({
      prefix: 'servers/i-odd',
      reset: items => {
        if (items.length > 0) throw new Error('cannot be applied');
      },
      change: () => {
        throw new Error('cannot be applied');
      },
    });
  }
  putText(site, 'servers/i-odd', entry({}));
  configure(site, [route({path_prefix: '/after/'})]);
  for (const {node} of site.entries) {
    await until(() => node.routes?.table.routes[0].pathPrefix === '/after/');
    t.true(node.upstreams.has('i-odd'));
  }
});
