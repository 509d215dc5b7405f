/**
 * The configuration log: entries with consecutive numbers. Each is created only
 * if absent, so that the store orders concurrent writers. Pure functions only.
 */
import {failure, raise, type Failure} from '@parsleyarch/errors/failure';
import {
  findResource,
  withChanges,
  type Configuration,
} from '@parsleyarch/resource/configuration';
import type {Kind, Resource, Spec} from '@parsleyarch/resource/schema';
import {listDanglingReferences} from '@parsleyarch/resource/validate';
import {err, ok, type Result} from 'neverthrow';

/** Writes or deletes one resource, optionally only at an expected revision. */
export interface Change<K extends Kind = Kind> {
  readonly kind: K;
  readonly name: string;
  /** The new declaration; absent to delete the resource. */
  readonly spec?: Spec<K>;
  /** Revision that the resource must have; 0 means that it must not exist. */
  readonly expect?: number;
}

/** Changes that a writer attempts to append to the log. */
export interface Proposal {
  /** Unique ID by which a writer recognizes its own entry in a slot. */
  readonly changeId: string;
  readonly author: string;
  readonly changes: readonly Change[];
}

/** A proposal in its slot of the log. */
export interface LogEntry extends Proposal {
  /** Slot number, starting at 1, without gaps. */
  readonly number: number;
  /** Writer's wall clock, Unix milliseconds; informational only. */
  readonly at: number;
}

/** Checks the expected revisions and the references of a proposal. */
export function checkProposal(
  configuration: Configuration,
  proposal: Proposal,
): Result<void, Failure> {
  for (const {kind, name, expect} of proposal.changes) {
    if (expect === undefined) continue;
    const current = findResource(configuration, kind, name);
    if ((current?.revision ?? 0) === expect) continue;
    const actual = current
      ? `is at revision ${current.revision}, last changed by ${current.author}`
      : 'does not exist';
    return raise(
      'conflict',
      `${kind}/${name} ${actual}; expected revision ${expect}`,
    );
  }
  const updated = applyChanges(configuration, configuration.revision, proposal);
  const danglingBefore = new Set(listDanglingReferences(configuration));
  const newlyDangling = listDanglingReferences(updated).filter(
    text => !danglingBefore.has(text),
  );
  if (newlyDangling.length > 0)
    return err(failure('invalid-request', newlyDangling.join('; ')));
  return ok(undefined);
}

function applyChanges(
  configuration: Configuration,
  revision: number,
  {author, changes}: Proposal,
): Configuration {
  const written: Resource[] = [];
  const removed: Array<Pick<Resource, 'kind' | 'name'>> = [];
  for (const {kind, name, spec} of changes) {
    if (spec) written.push({kind, name, spec, revision, author} as Resource);
    else removed.push({kind, name});
  }
  return withChanges(configuration, revision, written, removed);
}

/**
 * Applies the next entry. Entries at or below the current revision are ignored,
 * and so are entries after a gap, which the caller has to fetch: a
 * configuration never goes back and never skips an entry.
 */
export function applyEntry(
  configuration: Configuration,
  entry: LogEntry,
): Configuration {
  if (entry.number !== configuration.revision + 1) return configuration;
  return applyChanges(configuration, entry.number, entry);
}

/** Result of an attempt to create a key in the store. */
export const CreateOutcome = {
  created: 'created',
  exists: 'exists',
  /** No response: the write may or may not have taken effect. */
  lost: 'lost',
  /** The store rejected the call without any effect. */
  refused: 'refused',
} as const;
export type CreateOutcome = (typeof CreateOutcome)[keyof typeof CreateOutcome];

/** Next step of a writer that appends a proposal. */
export const AppendStep = {
  accepted: 'accepted',
  /** Read the slot to find out whose entry it holds. */
  read: 'read',
  /**
   * The slot holds another writer's entry: apply it, check the proposal again
   * and use the next slot.
   */
  advance: 'advance',
  /**
   * The slot is empty, or the store refused the call: create again in the same
   * slot.
   */
  retry: 'retry',
} as const;
export type AppendStep = (typeof AppendStep)[keyof typeof AppendStep];

const STEP_AFTER_CREATE: Readonly<Record<CreateOutcome, AppendStep>> = {
  created: AppendStep.accepted,
  exists: AppendStep.read,
  lost: AppendStep.read,
  refused: AppendStep.retry,
};

export function decideAfterCreate(outcome: CreateOutcome): AppendStep {
  return STEP_AFTER_CREATE[outcome];
}

/**
 * Decides the next step after reading a slot. An empty slot is retried and
 * never skipped, since a create without a response may still take effect in it.
 */
export function decideAfterRead(
  slot: LogEntry | undefined,
  changeId: string,
): AppendStep {
  if (!slot) return AppendStep.retry;
  return slot.changeId === changeId ? AppendStep.accepted : AppendStep.advance;
}
