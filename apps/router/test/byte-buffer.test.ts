import {
  appendBytes,
  capacityWith,
  createByteBuffer,
  takeBytes,
} from '@parsleyarch/router/byte-buffer';
import test from 'ava';
import fc from 'fast-check';

test('a buffer joins its chunks and takes at most twice their size', t => {
  const chunks = fc.array(fc.uint8Array({minLength: 1, maxLength: 9_000}));
  fc.assert(
    fc.property(chunks, fc.boolean(), (parts, isExpected) => {
      const whole = Buffer.concat(parts);
      const buffer = createByteBuffer(isExpected ? whole.length : 1 << 20);
      for (const part of parts) {
        const capacity = capacityWith(buffer, part.length);
        appendBytes(buffer, Buffer.from(part));
        if (buffer.bytes.length !== capacity) return false;
        if (capacity > Math.max(4_096, 2 * buffer.length)) return false;
        if (capacity > buffer.maxBytes) return false;
      }
      return takeBytes(buffer).equals(whole);
    }),
    {seed: 45},
  );
  t.pass();
});
