// Checks each specification exhaustively, and that each of its mutants fails.
import {spawnSync} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {dirname, join, resolve} from 'node:path';
import {fileURLToPath} from 'node:url';

const HERE = dirname(fileURLToPath(import.meta.url));
const SPECIFICATIONS = ['log', 'once', 'allocator', 'bill'];
const DEPTH = 100_000;

function run(command, args, cwd) {
  const result = spawnSync(command, args, {cwd, encoding: 'utf8'});
  if (result.error) {
    console.error(`${command} cannot be run: ${result.error.message}`);
    console.error('install it first, on Debian: apt-get install spin gcc');
    process.exit(2);
  }
  return result;
}

/** Explores every state; returns the errors found and the states stored. */
function explore(file, defines) {
  const folder = mkdtempSync(join(tmpdir(), 'spec-'));
  const flags = defines.map(name => `-D${name}`);
  const made = run('spin', [...flags, '-a', file], folder);
  if (made.status !== 0) throw new Error(made.stdout + made.stderr);
  const built = run(
    'gcc',
    ['-O2', '-w', '-DSAFETY', '-DNOCLAIM', '-DCOLLAPSE', '-o', 'pan', 'pan.c'],
    folder,
  );
  if (built.status !== 0) throw new Error(built.stderr);
  const {stdout} = run('./pan', [`-m${DEPTH}`, '-E'], folder);
  rmSync(folder, {recursive: true, force: true});
  const errors = Number(/errors: (\d+)/.exec(stdout)?.[1] ?? -1);
  const states = Number(/(\d+) states, stored/.exec(stdout)?.[1] ?? 0);
  const complete = !/max search depth too small|out of memory/.test(stdout);
  return {errors, states, complete};
}

let failures = 0;
for (const name of SPECIFICATIONS) {
  const file = resolve(HERE, `${name}.pml`);
  const mutants = new Set(
    readFileSync(file, 'utf8').match(/MUTANT_[A-Z_]*[A-Z]/g),
  );
  const {errors, states, complete} = explore(file, []);
  const holds = errors === 0 && complete;
  if (!holds) failures += 1;
  console.log(
    `${holds ? 'holds' : 'FAILS'}  ${name}: ${states} states, ${errors} errors${complete ? '' : ', incomplete'}`,
  );
  for (const mutant of mutants) {
    const caught = explore(file, [mutant]).errors > 0;
    if (!caught) failures += 1;
    console.log(`${caught ? 'caught' : 'MISSED'} ${name} with ${mutant}`);
  }
}
console.log(
  `protocol: ${failures === 0 ? 'all specifications hold, all mutants are caught' : `${failures} failures`}`,
);
process.exit(failures === 0 ? 0 : 1);
