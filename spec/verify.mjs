// Checks each specification exhaustively with Spin, and that each of its mutants
// violates an assertion.
import {spawnSync} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {dirname, join, resolve} from 'node:path';
import {fileURLToPath} from 'node:url';

const SPEC_FOLDER = dirname(fileURLToPath(import.meta.url));
const SPECIFICATIONS = ['log', 'once', 'allocator', 'bill'];
const MAX_DEPTH_STEPS = 100_000;

function run(command, args, cwd) {
  const result = spawnSync(command, args, {cwd, encoding: 'utf8'});
  if (result.error) {
    console.error(`${command} cannot be run: ${result.error.message}`);
    console.error('install it first, on Debian: apt-get install spin gcc');
    process.exit(2);
  }
  return result;
}

/** Explores all states of a specification with some macros defined. */
function explore(file, defines) {
  const folder = mkdtempSync(join(tmpdir(), 'spec-'));
  const flags = defines.map(name => `-D${name}`);
  const generated = run('spin', [...flags, '-a', file], folder);
  if (generated.status !== 0)
    throw new Error(generated.stdout + generated.stderr);
  const compiled = run(
    'gcc',
    ['-O2', '-w', '-DSAFETY', '-DNOCLAIM', '-DCOLLAPSE', '-o', 'pan', 'pan.c'],
    folder,
  );
  if (compiled.status !== 0) throw new Error(compiled.stderr);
  const {stdout} = run('./pan', [`-m${MAX_DEPTH_STEPS}`, '-E'], folder);
  rmSync(folder, {recursive: true, force: true});
  const errors = Number(/errors: (\d+)/.exec(stdout)?.[1] ?? -1);
  const states = Number(/(\d+) states, stored/.exec(stdout)?.[1] ?? 0);
  const complete = !/max search depth too small|out of memory/.test(stdout);
  return {errors, states, complete};
}

let failures = 0;
for (const name of SPECIFICATIONS) {
  const file = resolve(SPEC_FOLDER, `${name}.pml`);
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
