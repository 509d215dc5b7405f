/** Shows operators how even the load is, as this node sees it. */
import {knowsOthers, workAt} from './load.js';
import type {EntryNode} from './node.js';
import {newsAgeMs} from './placing.js';

const MS_PER_SECOND = 1_000;

/** Work at the upstreams that get requests, by service. */
function listWork(node: EntryNode): Map<string, number[]> {
  const works = new Map<string, number[]>();
  for (const state of node.upstreams.values()) {
    const {service, draining} = state.registered;
    if (draining) continue;
    const known = works.get(service);
    if (known) known.push(workAt(node, state));
    else works.set(service, [workAt(node, state)]);
  }
  return works;
}

/** Sets the metrics; called when they are read. */
export function recordEvenness(node: EntryNode): void {
  const {busiestOverMean, loadAge} = node.metrics;
  if (knowsOthers(node)) loadAge.set(newsAgeMs(node) / MS_PER_SECOND);
  for (const [service, works] of listWork(node)) {
    const mean = works.reduce((sum, work) => sum + work, 0) / works.length;
    const ratio = mean > 0 ? Math.max(...works) / mean : 1;
    busiestOverMean.set({service}, ratio);
  }
}
