import test from 'ava';
import fc from 'fast-check';
import type {IncomingMessage} from 'node:http';
import {Readable} from 'node:stream';
import {readFrames, type Frame} from '../src/frames.js';

const PROPERTY_OPTIONS = {seed: 20_261_203, numRuns: 300};

/** A response whose body arrives in the given chunks. */
function responseOf(pieces: readonly Buffer[]): IncomingMessage {
  const body = Readable.from(pieces, {objectMode: false});
  return Object.assign(body, {complete: true}) as unknown as IncomingMessage;
}

async function collect(pieces: readonly Buffer[]): Promise<Frame[]> {
  const frames: Frame[] = [];
  for await (const frame of readFrames(responseOf(pieces))) frames.push(frame);
  return frames;
}

function splitBytes(bytes: Buffer, sizes: readonly number[]): Buffer[] {
  const pieces: Buffer[] = [];
  let offset = 0;
  for (const size of sizes) {
    if (offset >= bytes.length) break;
    pieces.push(bytes.subarray(offset, offset + size));
    offset += size;
  }
  if (offset < bytes.length) pieces.push(bytes.subarray(offset));
  return pieces;
}

test('chunk boundaries do not change the frames, even within a character', async t => {
  const text = fc.string({unit: 'grapheme', maxLength: 30});
  const sizes = fc.array(fc.integer({min: 1, max: 7}), {maxLength: 200});
  await fc.assert(
    fc.asyncProperty(
      fc.array(text, {maxLength: 8}),
      sizes,
      async (texts, splitSizes) => {
        const frames = texts.map(
          content => `data: ${JSON.stringify(content)}\n\n`,
        );
        const found = await collect(
          splitBytes(Buffer.from(frames.join('')), splitSizes),
        );
        const read = found.map(frame => JSON.parse(frame.data));
        return JSON.stringify(read) === JSON.stringify(texts);
      },
    ),
    PROPERTY_OPTIONS,
  );
  t.pass();
});

test('random bytes neither throw nor hang', async t => {
  await fc.assert(
    fc.asyncProperty(fc.uint8Array({maxLength: 400}), async bytes => {
      const frames = await collect([Buffer.from(bytes)]);
      return Array.isArray(frames);
    }),
    PROPERTY_OPTIONS,
  );
  t.pass();
});

test('a frame that never ends is rejected once it exceeds the size limit', async t => {
  const piece = Buffer.alloc(64 * 1024, 'x');
  const endless = Array.from({length: 40}, () => piece);
  await t.throwsAsync(collect(endless), {message: /too large/});
});

test('a truncated response throws after its last complete frame', async t => {
  const body = Readable.from([Buffer.from('data: 1\n\n')], {objectMode: false});
  const response = Object.assign(body, {complete: false});
  const frames = readFrames(response as unknown as IncomingMessage);
  t.is((await frames.next()).value?.data, '1');
  await t.throwsAsync(frames.next(), {message: /cut/});
});
