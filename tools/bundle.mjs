// Bundles the router and the stand-ins into one CommonJS file each, and writes a
// code cache of the router with its launcher, `launch.cjs`.
// Usage: node [V8 options of the router] tools/bundle.mjs [folder [program]]
import {spawnSync} from 'node:child_process';
import {createHash} from 'node:crypto';
import {copyFileSync, mkdirSync, renameSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';

const PROGRAMS = {
  parsleyarch: 'apps/router/src/main.ts',
  standins: 'apps/standins/src/main.ts',
};

const [folder = 'build', only] = process.argv.slice(2);

/** Writes a file under another name first: readers get the former one or this one. */
function replaceFile(file, write) {
  const unfinished = `${file}.${process.pid}`;
  write(unfinished);
  renameSync(unfinished, file);
}

async function bundleProgram(entry) {
  const {
    outputFiles: [{text}],
  } = await build({
    entryPoints: [entry],
    write: false,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    charset: 'ascii',
    mainFields: ['module', 'main'],
    // CommonJS has no `import.meta.url`, so the banner provides its value.
    banner: {
      js: "const importMetaUrl = require('node:url').pathToFileURL(__filename).href;",
    },
    define: {'import.meta.url': 'importMetaUrl'},
    logLevel: 'warning',
    logOverride: {'empty-import-meta': 'silent'},
  });
  // The first line identifies the bundle to the launcher, in 64 bytes.
  const digest = createHash('sha256').update(text).digest('hex');
  return `//${digest.slice(0, 62)}\n${text}`;
}

/** Without a cache the program starts more slowly, so its absence is only reported. */
function writeCodeCache() {
  const args = [...process.execArgv, 'tools/code-cache.mjs', folder];
  const stdio = ['ignore', 'ignore', 'inherit'];
  const {status} = spawnSync(process.execPath, args, {stdio, timeout: 60_000});
  if (status !== 0) console.warn('no code cache was written');
}

mkdirSync(folder, {recursive: true});
for (const [name, entry] of Object.entries(PROGRAMS)) {
  if (only && name !== only) continue;
  const text = await bundleProgram(entry);
  replaceFile(join(folder, `${name}.cjs`), file => writeFileSync(file, text));
}
replaceFile(join(folder, 'launch.cjs'), file =>
  copyFileSync('tools/launcher.cjs', file),
);
if (!only || only === 'parsleyarch') writeCodeCache();
