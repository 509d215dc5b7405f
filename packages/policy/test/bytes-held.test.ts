import {
  addHolding,
  createBytesHeld,
  HoldingKind,
  pressureOf,
  removeHolding,
  resizeHolding,
  type Holding,
} from '@parsleyarch/policy/bytes-held';
import test from 'ava';
import fc from 'fast-check';

const KB = 1 << 10;
const MB = 1 << 20;
const noop = () => {};

test('ordinary requests fit beside bodies that never end', t => {
  const held = createBytesHeld(32 * MB);
  const crowd: Holding[] = [];
  const ordinary: {holding: Holding; endsAt: number}[] = [];
  for (let now = 0; now < 20_000; now += 10) {
    if (now % 20 === 0)
      crowd.push(addHolding(held, HoldingKind.incoming, now, noop));
    for (const body of crowd.slice(-50))
      resizeHolding(held, body, body.bytes + 64 * KB, now);
    const holding = addHolding(held, HoldingKind.incoming, now, noop);
    t.true(resizeHolding(held, holding, 20 * KB, now).fits);
    holding.kind = HoldingKind.accepted;
    ordinary.push({holding, endsAt: now + 500});
    while (ordinary[0].endsAt <= now)
      removeHolding(held, ordinary.shift()!.holding);
  }
  t.true(held.bytes <= held.maxBytes);
});

test('the slowest and largest holding gives up first, and what is served never does', t => {
  const held = createBytesHeld(10 * MB);
  const add = (kind: HoldingKind, bytes: number, since: number) => {
    const holding = addHolding(held, kind, since, noop);
    resizeHolding(held, holding, bytes, since);
    return holding;
  };
  add(HoldingKind.accepted, MB, 0);
  add(HoldingKind.incoming, MB, 8_000);
  const slow = add(HoldingKind.incoming, MB, 0);
  const large = add(HoldingKind.incoming, 2 * MB, 4_000);
  const added = addHolding(held, HoldingKind.incoming, 9_000, noop);
  const first = resizeHolding(held, added, 2 * MB, 9_000);
  t.deepEqual(first, {fits: true, givenUp: [large]});
  const second = resizeHolding(held, added, 4 * MB, 9_000);
  t.deepEqual(second, {fits: true, givenUp: [slow]});
});

test('callers that have not read for a second give way to answers', t => {
  const held = createBytesHeld(10 * MB);
  const unread = addHolding(held, HoldingKind.unread, 0, noop);
  resizeHolding(held, unread, 8 * MB, 0);
  const answer = addHolding(held, HoldingKind.answer, 0, noop);
  t.deepEqual(resizeHolding(held, answer, MB, 900), {
    fits: false,
    givenUp: [],
  });
  t.deepEqual(resizeHolding(held, answer, MB, 1_000), {
    fits: true,
    givenUp: [unread],
  });
});

test('the account is the sum of its holdings, and only what is held already exceeds it', t => {
  const kinds = fc.constantFrom(...Object.values(HoldingKind));
  const change = fc.tuple(fc.nat(8), kinds, fc.nat(4 * MB), fc.boolean());
  fc.assert(
    fc.property(fc.array(change), changes => {
      const held = createBytesHeld(8 * MB);
      const holdings = new Map<number, Holding>();
      for (const [now, [key, kind, bytes, ends]] of changes.entries()) {
        const holding = holdings.get(key) ?? addHolding(held, kind, now, noop);
        holdings.set(key, holding);
        const before = held.bytes;
        const {fits} = resizeHolding(held, holding, bytes, now);
        if (ends) removeHolding(held, holding);
        if (ends) holdings.delete(key);
        const sum = [...held.holdings].reduce((total, h) => total + h.bytes, 0);
        const isForced = ['accepted', 'unread'].includes(holding.kind);
        if (held.bytes !== sum) return false;
        if (!isForced && !fits && held.bytes > before) return false;
        if (fits && !isForced && held.bytes > Math.max(before, 8 * MB))
          return false;
      }
      return pressureOf(held) >= 0 && pressureOf(held) <= 1;
    }),
    {seed: 45},
  );
  t.pass();
});
