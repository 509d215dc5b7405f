// Shows that proofs bite: takes one mechanism out of a copy of the tree at a
// time and expects the named test to fail. Run by hand: node tools/bite.mjs [start of names]
import {spawnSync} from 'node:child_process';
import {
  cpSync,
  mkdirSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  symlinkSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join, resolve} from 'node:path';

/** Each mutation: what is taken out, where, and the test that must notice. */
const MUTATIONS = JSON.parse(readFileSync('tools/mutations.json', 'utf8'));
const COPIED = [
  'packages',
  'platform',
  'apps',
  'tools',
  'examples',
  'package.json',
  'tsconfig.json',
];
const AVA = 'node_modules/ava/entrypoints/cli.mjs';
const only = process.argv[2];

function mutate(folder, {file, from, to}) {
  const path = join(folder, file);
  const text = readFileSync(path, 'utf8');
  if (!text.includes(from)) throw new Error(`${file} does not hold: ${from}`);
  writeFileSync(path, text.replace(from, to));
}

function passes(folder, {test, match}) {
  const run = (...args) =>
    spawnSync(process.execPath, args, {cwd: folder, encoding: 'utf8'});
  const built = run('tools/bundle.mjs');
  if (built.status !== 0) throw new Error(built.stderr);
  const args = [AVA, test, '--fail-fast', '--timeout=60s'];
  if (match) args.push('--match', match);
  const result = run(...args);
  if (process.env['BITE_OUTPUT']) console.log(result.stdout, result.stderr);
  return result.status === 0;
}

/** Links every installed package but the workspace's own, which is copied. */
function linkModules(folder) {
  const modules = join(folder, 'node_modules');
  mkdirSync(modules);
  for (const name of readdirSync('node_modules')) {
    if (name === '@parsleyarch') continue;
    symlinkSync(resolve('node_modules', name), join(modules, name));
  }
  cpSync('node_modules/@parsleyarch', join(modules, '@parsleyarch'), {
    recursive: true,
    verbatimSymlinks: true,
  });
}

/** A copy of the tree that tests can run in. */
function copyTree() {
  const folder = mkdtempSync(join(tmpdir(), 'bite-'));
  for (const name of COPIED)
    cpSync(name, join(folder, name), {recursive: true});
  linkModules(folder);
  return folder;
}

/** Whether a test passes in a copy that is left as it is. */
function controlPasses(mutation) {
  const folder = copyTree();
  const passed = passes(folder, mutation);
  rmSync(folder, {recursive: true, force: true});
  return passed;
}

let silent = 0;
const controls = new Map();
for (const mutation of MUTATIONS) {
  if (only && !mutation.name.startsWith(only)) continue;
  const {test} = mutation;
  if (!controls.has(test)) controls.set(test, controlPasses(mutation));
  const folder = copyTree();
  mutate(folder, mutation);
  const bites = controls.get(test) && !passes(folder, mutation);
  if (!bites) silent += 1;
  console.log(`${bites ? 'bites ' : 'SILENT'}  ${mutation.name}`);
  rmSync(folder, {recursive: true, force: true});
}
process.exit(silent === 0 ? 0 : 1);
