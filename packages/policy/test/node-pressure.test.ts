import {
  createNodePressure,
  processorUse,
  recordUse,
  shareOf,
} from '@parsleyarch/policy/node-pressure';
import test from 'ava';
import fc from 'fast-check';

const IDLE = {processor: 0.2, link: 0.1, descriptors: 0, memory: 0.5};

/** Plays processor use; returns the causes after each measurement. */
function play(use: readonly number[]): (string | undefined)[] {
  const pressure = createNodePressure();
  return use.map(processor => {
    recordUse(pressure, {...IDLE, processor});
    return pressure.cause;
  });
}

test('pressure begins after a second at the limit and ends after a second below it', t => {
  const use = [...Array(8).fill(1), ...Array(8).fill(0.3)];
  const causes = play(use);
  t.deepEqual(new Set(causes.slice(0, 4)), new Set([undefined]));
  t.is(causes[7], 'processor');
  t.is(causes[8], 'processor');
  t.is(causes[11], undefined);
});

test('short bursts at the limit are no pressure, and pressure does not alternate', t => {
  const bursts = fc.array(fc.constantFrom(0, 0.5, 1), {minLength: 40});
  const property = fc.property(bursts, use => {
    const causes = play(use.map((share, index) => (index % 2 ? share : 0.2)));
    return causes.every(cause => cause === undefined);
  });
  fc.assert(property, {seed: 43});
  const wave = Array.from(
    {length: 400},
    (_, i) => 0.85 + 0.1 * Math.sin(i / 3),
  );
  const causes = play(wave);
  const changes = causes.filter((cause, index) => cause !== causes[index - 1]);
  t.true(changes.length <= 1);
});

test('a limit that is not known is never near, and lag counts as use', t => {
  t.is(shareOf(1e9, undefined), 0);
  t.is(shareOf(3, 4), 0.75);
  t.is(processorUse(0.3, 1_000), 1);
  t.is(processorUse(0.3, 20), 0.3);
});
