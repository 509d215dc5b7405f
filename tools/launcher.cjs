// Starts the program with the code cache that was built with it, which saves most of
// its compilation. Without a cache for just this bundle, V8 and its options, the
// bundle is compiled as usual. Copied beside the bundle by bundle.mjs.
'use strict';
const {readFileSync} = require('node:fs');
const {join} = require('node:path');
const {Script} = require('node:vm');

const BUNDLE = 'parsleyarch.cjs';
const CACHE = 'parsleyarch.cache';
/** Bytes of the identity with which both the bundle and its cache begin. */
const IDENTITY_BYTES = 64;

/** Code cache of a bundle; `undefined` if there is none or it belongs to another. */
function readCache(folder, text) {
  try {
    const bytes = readFileSync(join(folder, CACHE));
    const identity = bytes.toString('latin1', 0, IDENTITY_BYTES);
    // V8 itself compares only the length of the source.
    return text.startsWith(identity)
      ? bytes.subarray(IDENTITY_BYTES)
      : undefined;
  } catch {
    return undefined;
  }
}

/** Compiles the bundle of a folder, as a function of a module's variables. */
function compileBundle(folder, usesCache = true) {
  const filename = join(folder, BUNDLE);
  // The bundle is ASCII, which Latin-1 decodes without a copy.
  const text = readFileSync(filename, 'latin1');
  const cachedData = usesCache ? readCache(folder, text) : undefined;
  const source = `(function (exports, require, module, __filename, __dirname) {${text}\n})`;
  const script = new Script(source, {filename, cachedData});
  const run = () =>
    script.runInThisContext()(exports, require, module, filename, folder);
  return {script, identity: text.slice(0, IDENTITY_BYTES), run};
}

module.exports = {CACHE, compileBundle};

if (require.main === module) compileBundle(module.path).run();
