// Bundles the router as of an earlier commit, for tests that run two builds side by
// side: OLD_BUNDLE=$(node tools/old-build.mjs COMMIT) npx ava ...replacement.test.ts
import {execFileSync} from 'node:child_process';
import {
  cpSync,
  mkdirSync,
  mkdtempSync,
  readdirSync,
  rmSync,
  symlinkSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join, resolve} from 'node:path';

const [commit] = process.argv.slice(2);
if (!commit) throw new Error('usage: node tools/old-build.mjs COMMIT');

const folder = mkdtempSync(join(tmpdir(), 'old-build-'));
const archive = execFileSync('git', ['archive', commit], {
  maxBuffer: 1 << 30,
});
execFileSync('tar', ['-x', '-C', folder], {input: archive});

// Links to the workspace's own packages are copied, so that they point into the
// extracted tree.
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

const output = resolve('build', commit);
execFileSync(process.execPath, ['tools/bundle.mjs', output, 'parsleyarch'], {
  cwd: folder,
  stdio: ['ignore', 2, 2],
});
rmSync(folder, {recursive: true, force: true});
console.log(join(output, 'parsleyarch.cjs'));
