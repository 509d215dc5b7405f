// Mutation testing: disables one mechanism at a time in a copy of the tree and
// expects the named test to fail. Run by hand: node tools/bite.mjs [prefix of names]
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

/** Mutations: the replaced code, its file, and the test that must fail. */
const MUTATIONS = JSON.parse(readFileSync('tools/mutations.json', 'utf8'));
const COPIED = [
  'packages',
  'platform',
  'apps',
  'tools',
  'examples',
  'package.json',
  'ava.config.js',
  'tsconfig.json',
];
const AVA = 'node_modules/ava/entrypoints/cli.mjs';
const namePrefix = process.argv[2];

function mutate(folder, {file, from, to}) {
  const path = join(folder, file);
  const text = readFileSync(path, 'utf8');
  if (!text.includes(from))
    throw new Error(`${file} does not contain: ${from}`);
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

/**
 * Links the installed packages. Links to the workspace's own packages are
 * copied, so that they point into the copied tree.
 */
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

/** Copies the tree to a folder in which tests can run. */
function copyTree() {
  const folder = mkdtempSync(join(tmpdir(), 'bite-'));
  for (const name of COPIED)
    cpSync(name, join(folder, name), {recursive: true});
  linkModules(folder);
  return folder;
}

/** Runs the test in an unmodified copy of the tree. */
function controlPasses(mutation) {
  const folder = copyTree();
  const passed = passes(folder, mutation);
  rmSync(folder, {recursive: true, force: true});
  return passed;
}

let survivedCount = 0;
const controls = new Map();
for (const mutation of MUTATIONS) {
  if (namePrefix && !mutation.name.startsWith(namePrefix)) continue;
  const {test} = mutation;
  if (!controls.has(test)) controls.set(test, controlPasses(mutation));
  const folder = copyTree();
  mutate(folder, mutation);
  const killed = controls.get(test) && !passes(folder, mutation);
  if (!killed) survivedCount += 1;
  console.log(`${killed ? 'killed  ' : 'SURVIVED'}  ${mutation.name}`);
  rmSync(folder, {recursive: true, force: true});
}
process.exit(survivedCount === 0 ? 0 : 1);
