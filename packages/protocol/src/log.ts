/**
 * The configuration log: entries with consecutive numbers, created only when
 * absent, so that the store orders racing writers. Pure functions only.
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

/** Writes or removes one resource, optionally only at a known revision. */
export interface Change<K extends Kind = Kind> {
  readonly kind: K;
  readonly name: string;
  /** The new declaration; absent to delete the resource. */
  readonly spec?: Spec<K>;
  /** Revision that the resource must have; 0 means that it must not exist. */
  readonly expect?: number;
}

/** What a writer wants to append. */
export interface Proposal {
  /** Unique for each proposal; tells whether a slot holds our own write. */
  readonly changeId: string;
  readonly author: string;
  readonly changes: readonly Change[];
}

/** A proposal in its slot of the log. */
export interface Entry extends Proposal {
  /** Slot number, from 1, without gaps. */
  readonly number: number;
  /** Writer's wall clock, milliseconds since the epoch; for people only. */
  readonly at: number;
}

/** Checks preconditions and references of a proposal against a configuration. */
export function checkProposal(
  configuration: Configuration,
  proposal: Proposal,
): Result<void, Failure> {
  for (const {kind, name, expect} of proposal.changes) {
    if (expect === undefined) continue;
    const current = findResource(configuration, kind, name);
    if ((current?.revision ?? 0) === expect) continue;
    const holder = current
      ? `is at revision ${current.revision}, last changed by ${current.author}`
      : 'does not exist';
    return raise(
      'conflict',
      `${kind}/${name} ${holder}; expected revision ${expect}`,
    );
  }
  const next = applyChanges(configuration, configuration.revision, proposal);
  const before = new Set(listDanglingReferences(configuration));
  const added = listDanglingReferences(next).filter(text => !before.has(text));
  if (added.length > 0)
    return err(failure('invalid-request', added.join('; ')));
  return ok(undefined);
}

function applyChanges(
  configuration: Configuration,
  revision: number,
  {author, changes}: Proposal,
): Configuration {
  const puts: Resource[] = [];
  const removed: Array<Pick<Resource, 'kind' | 'name'>> = [];
  for (const {kind, name, spec} of changes) {
    if (spec) puts.push({kind, name, spec, revision, author} as Resource);
    else removed.push({kind, name});
  }
  return withChanges(configuration, revision, puts, removed);
}

/**
 * Applies the next entry. Entries at or below the current revision change
 * nothing, and a gap is left for the caller to fetch: a configuration never
 * moves back and never skips.
 */
export function applyEntry(
  configuration: Configuration,
  entry: Entry,
): Configuration {
  if (entry.number !== configuration.revision + 1) return configuration;
  return applyChanges(configuration, entry.number, entry);
}

/** What the store said to a create in a slot. */
export const CreateOutcome = {
  created: 'created',
  exists: 'exists',
  /** No answer: the write may or may not have taken effect. */
  lost: 'lost',
  /** The store refused the call before doing anything. */
  refused: 'refused',
} as const;
export type CreateOutcome = (typeof CreateOutcome)[keyof typeof CreateOutcome];

/** What a writer does next. */
export const AppendStep = {
  accepted: 'accepted',
  /** Read the slot to learn whose entry it holds. */
  read: 'read',
  /** Another entry holds the slot: apply it, check again, use the next slot. */
  advance: 'advance',
  /** The slot is still empty: create again in the same slot. */
  retry: 'retry',
} as const;
export type AppendStep = (typeof AppendStep)[keyof typeof AppendStep];

const AFTER_CREATE: Readonly<Record<CreateOutcome, AppendStep>> = {
  created: AppendStep.accepted,
  exists: AppendStep.read,
  lost: AppendStep.read,
  refused: AppendStep.retry,
};

/** Decides after the answer to a create. */
export function afterCreate(outcome: CreateOutcome): AppendStep {
  return AFTER_CREATE[outcome];
}

/**
 * Decides after a slot has been read. An empty slot is retried and never
 * passed over, since a lost create may still land in it.
 */
export function afterRead(
  slot: Entry | undefined,
  changeId: string,
): AppendStep {
  if (!slot) return AppendStep.retry;
  return slot.changeId === changeId ? AppendStep.accepted : AppendStep.advance;
}
