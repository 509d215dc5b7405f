import test from 'ava';
import fc from 'fast-check';
import type {IncomingMessage} from 'node:http';
import {Readable} from 'node:stream';
import {readFrames, type Frame} from '../src/frames.js';

const SETTINGS = {seed: 20_261_203, numRuns: 300};

/** A response whose body comes in the given pieces. */
function responseOf(pieces: readonly Buffer[]): IncomingMessage {
  const body = Readable.from(pieces, {objectMode: false});
  return Object.assign(body, {complete: true}) as unknown as IncomingMessage;
}

async function collect(pieces: readonly Buffer[]): Promise<Frame[]> {
  const frames: Frame[] = [];
  for await (const frame of readFrames(responseOf(pieces))) frames.push(frame);
  return frames;
}

function cut(bytes: Buffer, sizes: readonly number[]): Buffer[] {
  const pieces: Buffer[] = [];
  let at = 0;
  for (const size of sizes) {
    if (at >= bytes.length) break;
    pieces.push(bytes.subarray(at, at + size));
    at += size;
  }
  if (at < bytes.length) pieces.push(bytes.subarray(at));
  return pieces;
}

test('frames are the same however the bytes are cut, within characters too', async t => {
  const text = fc.string({unit: 'grapheme', maxLength: 30});
  const sizes = fc.array(fc.integer({min: 1, max: 7}), {maxLength: 200});
  await fc.assert(
    fc.asyncProperty(
      fc.array(text, {maxLength: 8}),
      sizes,
      async (texts, by) => {
        const frames = texts.map(each => `data: ${JSON.stringify(each)}\n\n`);
        const found = await collect(cut(Buffer.from(frames.join('')), by));
        const read = found.map(frame => JSON.parse(frame.data));
        return JSON.stringify(read) === JSON.stringify(texts);
      },
    ),
    SETTINGS,
  );
  t.pass();
});

test('noise gives no frame or some, and never hangs', async t => {
  await fc.assert(
    fc.asyncProperty(fc.uint8Array({maxLength: 400}), async bytes => {
      const frames = await collect([Buffer.from(bytes)]);
      return Array.isArray(frames);
    }),
    SETTINGS,
  );
  t.pass();
});

test('a frame without an end is bounded', async t => {
  const piece = Buffer.alloc(64 * 1024, 'x');
  const endless = Array.from({length: 40}, () => piece);
  await t.throwsAsync(collect(endless), {message: /too large/});
});

test('a response that was cut is not taken for a whole one', async t => {
  const body = Readable.from([Buffer.from('data: 1\n\n')], {objectMode: false});
  const response = Object.assign(body, {complete: false});
  const frames = readFrames(response as unknown as IncomingMessage);
  t.is((await frames.next()).value?.data, '1');
  await t.throwsAsync(frames.next(), {message: /cut/});
});
