import {mkdtempSync, readFileSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import test from 'ava';
import fc from 'fast-check';
import {loadEntrySettings} from '../src/entry/settings.js';
import {parseSettings} from '../src/settings.js';

const VALID = `{
  // One entry VM.
  "node": "vm-1",
  "failureDomain": "gulberg",
  "callers": {"host": "127.0.0.1", "port": 7001},
  "operators": {"host": "127.0.0.1", "port": 7002},
  "peers": {"host": "127.0.0.1", "port": 7003},
  "store": {"address": "http://127.0.0.1:7100"},
  "vmList": {"address": "http://127.0.0.1:7101"},
  "peerKey": "0123456789abcdef",
  "sessionKey": "0123456789abcdef",
  "operatorKeys": [{"author": "ada", "keyHash": "${'0'.repeat(64)}"}],
}`;

test('settings may have comments, and defaults are applied', t => {
  const settings = parseSettings(VALID, 'node.jsonc')._unsafeUnwrap();
  t.is(settings.node, 'vm-1');
  t.is(settings.store.writesPerSecond, 30);
});

test('every error is reported with its line and the expected type', t => {
  const broken = VALID.replace('7001', '"seven"').replace(
    '"failureDomain": "gulberg",',
    '"failureDomian": "gulberg",',
  );
  const {message} = parseSettings(broken, 'node.jsonc')._unsafeUnwrapErr();
  t.regex(message, /node\.jsonc:5: callers\.port: .*number/);
  t.regex(message, /failureDomain: .*string/);
  t.regex(message, /failureDomian/);
});

test('a syntax error is reported with its line', t => {
  const {message} = parseSettings('{\n  "node" 1\n}', 'x')._unsafeUnwrapErr();
  t.regex(message, /^x:2: /);
});

test('parseSettings does not throw on arbitrary text', t => {
  const token = fc.constantFrom('{', '}', '"node"', ':', '1', ',', '[', '//');
  const text = fc.oneof(
    fc.string(),
    fc.array(token).map(tokens => tokens.join('')),
    fc.json(),
  );
  fc.assert(
    fc.property(text, input => parseSettings(input, 'x').isErr()),
    {seed: 20_261_203, numRuns: 500},
  );
  t.pass();
});

test('the limits of the machine are optional settings of an entry node', t => {
  const template = readFileSync('deploy/settings.jsonc', 'utf8');
  const load = (text: string) => {
    const file = path.join(
      mkdtempSync(path.join(tmpdir(), 'entry-')),
      's.jsonc',
    );
    writeFileSync(file, text);
    return loadEntrySettings(file)._unsafeUnwrap().machine;
  };
  const filled = template
    .replace(/"\{\{ip\}\}:(\{\{[^}]*\}\}|\d+)"/g, '"10.1.0.1:7000"')
    .replace(/\{\{listen[^}]*\}\}/g, '"10.1.0.1:8000"')
    .replace('{{provider.addr}}', '10.200.1.7:8223')
    .replace('{{bounds.fail_closed|json}}', 'true')
    .replace('{{bounds.expose_share}}', '0.1')
    .replace(/\{\{(node|zone)\|json\}\}/g, '"a"')
    .replace(/\{\{[^}]*\}\}/g, '8');
  t.is(load(filled).memoryMb, 8);
  const withoutMachine = filled.replace(/"machine": \{[^}]*\},/, '');
  t.deepEqual(load(withoutMachine), {});
});
