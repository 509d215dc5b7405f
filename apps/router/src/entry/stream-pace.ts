/** Measures the gaps between the events of a stream for the comparison of versions. */
import type {AnswerBody} from './attempt.js';
import type {Exchange} from './exchange.js';
import type {EntryNode} from './node.js';
import {recordStreamGaps} from './version-tallies.js';

export interface PaceWatch {
  /** Tells how many events have arrived in all. */
  readonly update: (eventCount: number) => void;
  /** Excludes a time in which the caller did not read, milliseconds. */
  readonly exclude: (waitedMs: number) => void;
  /** Tells that no event follows; a stream that stalled has a last, open gap. */
  readonly end: (hasStalled: boolean) => void;
}

/** Watches the events of an answer until its pace is known. */
export function watchPace(
  node: EntryNode,
  exchange: Exchange,
  body: AnswerBody,
  model: string | undefined,
): PaceWatch {
  let startedAt = node.clock();
  let lastEventAt = startedAt;
  let eventCount = 0;
  let isKnown = false;
  const record = (gapCount: number, until: number, isOver: boolean) => {
    if (isKnown) return;
    const gaps = {count: gapCount, totalMs: until - startedAt};
    isKnown = recordStreamGaps(node, exchange, body, model, {gaps, isOver});
  };
  return {
    update: count => {
      if (count === eventCount) return;
      lastEventAt = node.clock();
      if (eventCount === 0) startedAt = lastEventAt;
      eventCount = count;
      record(eventCount - 1, lastEventAt, false);
    },
    exclude: waitedMs => {
      startedAt += waitedMs;
      lastEventAt += waitedMs;
    },
    end: hasStalled => {
      if (hasStalled) record(Math.max(1, eventCount), node.clock(), true);
      else if (eventCount > 0) record(eventCount - 1, lastEventAt, true);
    },
  };
}
