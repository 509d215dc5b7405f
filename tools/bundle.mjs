// Bundles the router and the stand-ins into one CommonJS file each.
// Usage: node tools/bundle.mjs [folder [program]]
import {renameSync} from 'node:fs';
import process from 'node:process';
import {build} from 'esbuild';

const PROGRAMS = {
  parsleyarch: 'apps/router/src/main.ts',
  standins: 'apps/standins/src/main.ts',
};

const [folder = 'build', only] = process.argv.slice(2);

for (const [name, entry] of Object.entries(PROGRAMS)) {
  if (only && name !== only) continue;
  const outfile = `${folder}/${name}.cjs`;
  const unfinished = `${outfile}.${process.pid}`;
  await build({
    entryPoints: [entry],
    outfile: unfinished,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    mainFields: ['module', 'main'],
    // CommonJS has no `import.meta.url`, so the banner provides its value.
    banner: {
      js: "const importMetaUrl = require('node:url').pathToFileURL(__filename).href;",
    },
    define: {'import.meta.url': 'importMetaUrl'},
    logLevel: 'warning',
    logOverride: {'empty-import-meta': 'silent'},
  });
  // A process that starts meanwhile reads the former bundle or this one as a whole.
  renameSync(unfinished, outfile);
}
