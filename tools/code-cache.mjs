// Writes the code cache of the bundle in a folder, from a run of the program that has
// answered requests, so that it holds the functions that a start needs.
// Usage: node [V8 options of the program] tools/code-cache.mjs FOLDER
import {build} from 'esbuild';
import {Buffer} from 'node:buffer';
import {mkdtempSync, renameSync, rmSync, writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {join, resolve} from 'node:path';
import process from 'node:process';

const folder = resolve(process.argv[2]);
const {CACHE, compileBundle} = createRequire(import.meta.url)(
  join(folder, 'launch.cjs'),
);

const scratch = mkdtempSync(join(folder, 'code-cache-'));
process.on('exit', () => rmSync(scratch, {recursive: true}));
const outfile = join(scratch, 'warm-up.mjs');
await build({
  entryPoints: ['apps/standins/src/warm-up.ts'],
  outfile,
  bundle: true,
  platform: 'node',
  format: 'esm',
  logLevel: 'warning',
});
const {serveWarmUp} = await import(outfile);

const {script, identity, run} = compileBundle(folder, false);
await serveWarmUp(scratch, settingsFile => {
  process.argv = [process.execPath, folder, 'route', '-s', settingsFile];
  run();
});
const cache = join(folder, CACHE);
const unfinished = `${cache}.${process.pid}`;
writeFileSync(
  unfinished,
  Buffer.concat([Buffer.from(identity, 'latin1'), script.createCachedData()]),
);
renameSync(unfinished, cache);
process.exit(0);
