// Builds an executable from the router bundle as a Node.js single executable application.
import {execFileSync} from 'node:child_process';
import {chmodSync, copyFileSync, mkdirSync, writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';

/** Sentinel in the Node.js executable, fixed by Node.js, that allows injection. */
const FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';
const BINARY = 'dist/parsleyarch';
const BLOB = 'build/parsleyarch.blob';
const CONFIG = 'build/sea.json';

mkdirSync('dist', {recursive: true});
writeFileSync(
  CONFIG,
  JSON.stringify({
    main: 'build/parsleyarch.cjs',
    output: BLOB,
    disableExperimentalSEAWarning: true,
  }),
);
execFileSync(process.execPath, ['--experimental-sea-config', CONFIG], {
  stdio: 'ignore',
});
copyFileSync(process.execPath, BINARY);
chmodSync(BINARY, 0o755);
const postject = createRequire(import.meta.url).resolve('postject/dist/cli.js');
execFileSync(
  process.execPath,
  [postject, BINARY, 'NODE_SEA_BLOB', BLOB, '--sentinel-fuse', FUSE],
  {stdio: 'ignore'},
);
console.log(`built ${BINARY}`);
