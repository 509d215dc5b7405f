import {
  createManager,
  registerResource,
  stopAll,
} from '@parsleyarch/lifecycle/manager';
import test from 'ava';

test('resources stop in reverse order, and one that fails stops no other', async t => {
  const stopped: string[] = [];
  const manager = createManager((name, error) =>
    stopped.push(error === undefined ? name : `${name} failed`),
  );
  registerResource(manager, 'first', () => {});
  registerResource(manager, 'second', () => {
    throw new Error('stuck');
  });
  registerResource(manager, 'third', () => {});
  await stopAll(manager);
  t.deepEqual(stopped, ['third', 'second failed', 'first']);
});

test('a resource whose start ends during the shutdown is stopped at once', async t => {
  const stopped: string[] = [];
  const manager = createManager(name => stopped.push(name));
  registerResource(manager, 'early', () => {
    registerResource(manager, 'late', () => {});
  });
  await stopAll(manager);
  t.deepEqual(stopped.sort(), ['early', 'late']);
});
