// Bundles the two programs, router and stand-ins, into one CommonJS file each.
import {build} from 'esbuild';

const PROGRAMS = {
  parsleyarch: 'apps/router/src/main.ts',
  standins: 'apps/standins/src/main.ts',
};

for (const [name, entry] of Object.entries(PROGRAMS)) {
  await build({
    entryPoints: [entry],
    outfile: `build/${name}.cjs`,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    mainFields: ['module', 'main'],
    banner: {
      js: "const importMetaUrl = require('node:url').pathToFileURL(__filename).href;",
    },
    define: {'import.meta.url': 'importMetaUrl'},
    logLevel: 'warning',
    logOverride: {'empty-import-meta': 'silent'},
  });
}
