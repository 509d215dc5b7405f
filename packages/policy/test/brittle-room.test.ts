import {mayPlace, learnWaitingRoom} from '@parsleyarch/policy/brittle-room';
import test from 'ava';
import fc from 'fast-check';

const ENGINE = {isEngine: true, slots: 64, refusedRecently: false};
const SERVICE = {isEngine: false, slots: 6, refusedRecently: false};

const SINGLE = {
  node: 0,
  nodeCount: 1,
  upstream: 0,
  upstreamCount: 1,
  number: 0,
};
const placed = (count: number, ownRecent = 0, turn = {}) => ({
  placed: count,
  ownRecent,
  turn: {...SINGLE, ...turn},
});

test('a plain service gets as many requests as it has slots', t => {
  t.true(mayPlace(SERVICE, placed(5)));
  t.false(mayPlace(SERVICE, placed(6)));
});

test('an engine gets few requests that wait, however many it runs', t => {
  t.true(mayPlace(ENGINE, placed(5)));
  t.false(mayPlace(ENGINE, placed(6)));
  t.false(mayPlace({...ENGINE, waitingRoom: 2}, placed(2)));
});

test('one request may be placed at an empty upstream, however small its room', t => {
  for (const upstream of [ENGINE, SERVICE])
    t.true(mayPlace({...upstream, waitingRoom: -9}, placed(0)));
});

test('nodes that send at the same time fill no more than the room', t => {
  const property = fc.property(
    fc.integer({min: 1, max: 200}),
    fc.integer({min: 0, max: 40}),
    fc.integer({min: 1, max: 40}),
    fc.integer({min: 1, max: 6}),
    fc.nat(1_000),
    (nodeCount, known, slots, upstreamCount, number) => {
      const room = {...SERVICE, slots};
      for (let upstream = 0; upstream < upstreamCount; upstream += 1) {
        let sent = 0;
        for (let node = 0; node < nodeCount; node += 1) {
          const turn = {node, nodeCount, upstream, upstreamCount, number};
          let own = 0;
          while (mayPlace(room, placed(known + own, own, turn))) own += 1;
          sent += own;
        }
        if (sent > Math.max(0, slots - known)) return false;
      }
      return true;
    },
  );
  fc.assert(property);
  t.pass();
});

test('each node has a place at one of the upstreams, or gets one in turn', t => {
  const property = fc.property(
    fc.integer({min: 1, max: 200}),
    fc.integer({min: 1, max: 12}),
    fc.integer({min: 1, max: 8}),
    (nodeCount, upstreamCount, slots) => {
      const room = {...SERVICE, slots};
      const places = upstreamCount * slots;
      const turns = places >= nodeCount ? 1 : 2 * Math.ceil(nodeCount / slots);
      for (let node = 0; node < nodeCount; node += 1) {
        let hasPlace = false;
        for (let number = 0; number < turns && !hasPlace; number += 1) {
          for (let upstream = 0; upstream < upstreamCount; upstream += 1) {
            const turn = {node, nodeCount, upstream, upstreamCount, number};
            hasPlace ||= mayPlace(room, placed(0, 0, turn));
          }
        }
        if (!hasPlace) return false;
      }
      return true;
    },
  );
  fc.assert(property);
  t.pass();
});

test('a refusal shows how many may wait, and leaves no more than assumed', t => {
  t.is(learnWaitingRoom(ENGINE, 20), 6);
  t.is(learnWaitingRoom(ENGINE, 3), 3);
  t.is(learnWaitingRoom({...ENGINE, waitingRoom: 2}, 5), 2);
  t.is(learnWaitingRoom(SERVICE, undefined), -1);
});

test('for some time after a refusal the room is smaller', t => {
  const refusing = {...SERVICE, refusedRecently: true};
  t.true(mayPlace(refusing, placed(4)));
  t.false(mayPlace(refusing, placed(5)));
});
