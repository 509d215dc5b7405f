import {listSources, listWatchers} from '@parsleyarch/policy/watchers';
import test from 'ava';
import fc from 'fast-check';

const node = (name: string, failureDomain: string) => ({name, failureDomain});

test('the first node of each failure domain watches', t => {
  const nodes = [node('b', 'x'), node('a', 'x'), node('c', 'y')];
  t.deepEqual(
    listWatchers(nodes).map(({name}) => name),
    ['a', 'c'],
  );
});

test('two nodes watch where there is one failure domain', t => {
  const nodes = [node('c', 'x'), node('b', 'x'), node('a', 'x')];
  t.deepEqual(
    listWatchers(nodes).map(({name}) => name),
    ['a', 'b'],
  );
});

test('other nodes follow watchers of their own domain first', t => {
  const nodes = [node('a', 'x'), node('b', 'y'), node('c', 'y')];
  t.deepEqual(listSources(nodes, node('c', 'y')), ['b', 'a']);
  t.deepEqual(listSources(nodes, node('a', 'x')), []);
});

test('every node either watches or follows watchers, whatever the node order', t => {
  const names = fc.uniqueArray(fc.stringMatching(/^[a-z]{1,4}$/), {
    minLength: 1,
    maxLength: 40,
  });
  fc.assert(
    fc.property(names, fc.integer({min: 1, max: 5}), (listed, domains) => {
      const nodes = listed.map((name, i) => node(name, `d${i % domains}`));
      const watchers = new Set(listWatchers(nodes).map(({name}) => name));
      return nodes.every(self => {
        const sources = listSources([...nodes].reverse(), self);
        if (watchers.has(self.name)) return sources.length === 0;
        return sources.length > 0 && sources.every(name => watchers.has(name));
      });
    }),
  );
  t.pass();
});

test('small nodes watch only where no larger ones are, and by name where sizes are unknown', t => {
  const sized = (name: string, failureDomain: string, cores?: number) => ({
    ...node(name, failureDomain),
    cores,
  });
  const nodes = [
    sized('a', 'x', 0.2),
    sized('b', 'x', 0.7),
    sized('c', 'x', 1.3),
    sized('d', 'y', 0.2),
  ];
  const watchersOf = (listed: typeof nodes) =>
    listWatchers(listed).map(({name}) => name);
  t.deepEqual(watchersOf(nodes), ['b', 'd']);
  t.deepEqual(watchersOf([...nodes, sized('e', 'y')]), ['a', 'd']);
});
