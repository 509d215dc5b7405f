// Bundles the project's stand-in of the store for the scripts of cases 6 to 10.
import {build} from 'esbuild';

await build({
  entryPoints: ['apps/standins/src/keyspace.ts'],
  outfile: 'build/review-2/keyspace.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  logLevel: 'warning',
});
