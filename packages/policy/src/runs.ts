/**
 * How often a request may have run. Each send needs a permit, and a permit counts as
 * runs from before the send until it is known that none took place. A request whose
 * earlier outcome is not known can therefore not be sent again beyond its limit.
 */
import {err, ok, type Result} from 'neverthrow';

/** Permission to run a request, for one upstream or for another node. */
export interface RunPermit {
  /** Runs that the receiver may make. */
  readonly runs: number;
  /** Runs that may have taken place before. */
  readonly runsBefore: number;
}

/** The runs of one request. */
export interface RunRecord {
  /** Whether it may run more than once. */
  readonly repeatable: boolean;
  readonly maxRuns: number;
  /** Permits under which it may have run. */
  readonly permits: Set<RunPermit>;
}

export function createRunRecord(
  repeatable: boolean,
  maxRuns: number,
): RunRecord {
  return {repeatable, maxRuns, permits: new Set()};
}

/** Number of runs that may have taken place. */
export function countRuns({permits}: RunRecord): number {
  let runs = 0;
  for (const permit of permits) runs += permit.runs;
  return runs;
}

/** Returns why a request may not be sent, or `undefined` if it may. */
export function findRunDenial(record: RunRecord): string | undefined {
  const runs = countRuns(record);
  if (runs > 0 && !record.repeatable) return 'may not be repeated';
  return runs >= record.maxRuns ? 'no attempts left' : undefined;
}

function createPermit(
  record: RunRecord,
  runs: number,
): Result<RunPermit, string> {
  const denial = findRunDenial(record);
  if (denial) return err(denial);
  const permit = {runs, runsBefore: countRuns(record)};
  record.permits.add(permit);
  return ok(permit);
}

/** Permits one send to an upstream, or returns why there is none. */
export function permitRun(record: RunRecord): Result<RunPermit, string> {
  return createPermit(record, 1);
}

/** Permits another node all runs that are left, or returns why there are none. */
export function permitRemainingRuns(
  record: RunRecord,
): Result<RunPermit, string> {
  return createPermit(record, record.maxRuns - countRuns(record));
}

/** Records that the request has not run under a permit, and never will. */
export function returnPermit(record: RunRecord, permit: RunPermit): void {
  record.permits.delete(permit);
}
