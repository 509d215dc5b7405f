// Bundles the scripts of the cases, with the stand-ins that they start.
import {existsSync, readdirSync} from 'node:fs';
import {build} from 'esbuild';

for (const name of readdirSync('review')) {
  const entry = `review/${name}/case.mjs`;
  if (!existsSync(entry)) continue;
  await build({
    entryPoints: [entry],
    outfile: `target/review/case-${name}.mjs`,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'esm',
    logLevel: 'warning',
  });
}
