/**
 * What upstreams say of themselves in their answers for as long as it holds, as a
 * number. A statement belongs to one incarnation of an upstream and holds until the
 * upstream answers a later send without it. Nodes tell each other of statements, since
 * not every node gets answers of every upstream.
 */
import type {UpstreamStatement} from '@parsleyarch/peer/messages';
import type {UpstreamAnswer} from '@parsleyarch/platform/headers';
import type {RegisteredUpstream} from '@parsleyarch/resource/routing';
import type {Send} from './attempt.js';
import type {EntryNode} from './node.js';

export const StatementKind = {
  /** Requests per second that the upstream accepts from all nodes together. */
  limit: 'limit',
  /** Refusals for want of room in a second beyond which the upstream ends. */
  brittle: 'brittle',
  /** Requests that may wait at a brittle upstream, as its last refusal showed. */
  full: 'full',
} as const;
export type StatementKind = (typeof StatementKind)[keyof typeof StatementKind];

const KINDS = Object.values(StatementKind);

type StatedKind = Exclude<StatementKind, typeof StatementKind.full>;

/** Reads the statements of an answer; NaN if a field cannot be parsed. */
const READERS: Readonly<
  Record<StatedKind, (answer: UpstreamAnswer) => number | undefined>
> = {
  limit: ({limitPerSecond}) => limitPerSecond,
  brittle: ({maxRefusalsPerSecond}) => maxRefusalsPerSecond,
};
const STATED_KINDS = Object.keys(READERS) as StatedKind[];

/** The last thing that one incarnation of an upstream said on a matter. */
export interface Statement {
  readonly incarnation: RegisteredUpstream['incarnation'];
  /** Absent once the upstream no longer makes the statement. */
  readonly value?: number;
  /** When this was said, on the continuous clock, milliseconds. */
  readonly heardAt: number;
}

/** Statements by kind and upstream. */
export type Statements = Readonly<
  Record<StatementKind, Map<string, Statement>>
>;

export function createStatements(): Statements {
  return {limit: new Map(), brittle: new Map(), full: new Map()};
}

/** Status of an answer by another upstream that has taken over the address. */
const OTHER_UPSTREAM_STATUS = 421;
/** Number of upstreams whose statements are kept; the oldest are dropped. */
const MAX_STATEMENT_COUNT = 2_000;
/**
 * Time by which a relayed statement must be later than a known one of the same
 * value. A relayed time is late by the time of the call, so that nodes would
 * otherwise renew each other's statements for ever.
 */
const MIN_RELAYED_ADVANCE_MS = 500;
/** Time for which other nodes are told that a statement has ended. */
const TELL_ENDED_MS = 10_000;

/** The last statement of an upstream, also one that has ended. */
export function findStatement(
  {statements}: EntryNode,
  kind: StatementKind,
  {id, incarnation}: RegisteredUpstream,
): Statement | undefined {
  const statement = statements[kind].get(id);
  return statement?.incarnation === incarnation ? statement : undefined;
}

/** What an upstream says of itself now; `undefined` if nothing. */
export function statementOf(
  node: EntryNode,
  kind: StatementKind,
  upstream: RegisteredUpstream,
): number | undefined {
  return findStatement(node, kind, upstream)?.value;
}

/** Keeps a statement as the last one of its upstream. */
export function keepStatement(
  node: EntryNode,
  kind: StatementKind,
  id: string,
  statement: Statement,
): void {
  const known = node.statements[kind];
  const before = known.get(id);
  // Re-insertion keeps the map in order of time, so the oldest are dropped first.
  known.delete(id);
  known.set(id, statement);
  for (const oldest of known.keys()) {
    if (known.size <= MAX_STATEMENT_COUNT) break;
    known.delete(oldest);
  }
  const {value} = statement;
  if (before?.value === value) return;
  node.metrics.notices.inc({kind});
  node.logDecision(kind, {
    upstream: id,
    value,
    before: before?.value,
    members: node.members.size,
  });
}

function recordStatement(
  node: EntryNode,
  kind: StatedKind,
  {registered, startedAt}: Send,
  answer: UpstreamAnswer,
): void {
  const {id, incarnation} = registered;
  const value = READERS[kind](answer);
  if (Number.isNaN(value)) {
    node.log.warn({upstream: id, kind}, 'field cannot be parsed; ignored');
    return;
  }
  const heardAt = node.continuousClock();
  if (value === undefined) {
    const known = findStatement(node, kind, registered);
    if (known?.value === undefined || !answer.sealed) return;
    // An answer to an earlier send may have been written before the statement.
    const sinceSentMs = node.clock() - startedAt;
    if (heardAt - sinceSentMs <= known.heardAt) return;
  }
  keepStatement(node, kind, id, {incarnation, value, heardAt});
}

/** Records what an answer says of its upstream, and what it no longer says. */
export function recordStatements(
  node: EntryNode,
  send: Send,
  answer: UpstreamAnswer,
): void {
  if (answer.status === OTHER_UPSTREAM_STATUS) return;
  for (const kind of STATED_KINDS) recordStatement(node, kind, send, answer);
}

/** What this node knows of registered upstreams, for other nodes. */
export function listStatements(node: EntryNode): UpstreamStatement[] {
  const listed: UpstreamStatement[] = [];
  const now = node.continuousClock();
  for (const kind of KINDS) {
    for (const [upstream, statement] of node.statements[kind]) {
      const {incarnation, value, heardAt} = statement;
      const registered = node.upstreams.get(upstream)?.registered;
      if (registered?.incarnation !== incarnation) continue;
      const ageMs = now - heardAt;
      const ended = value === undefined;
      if (ended && ageMs > TELL_ENDED_MS) continue;
      listed.push({
        kind,
        upstream,
        incarnation,
        ended,
        value: value ?? 0,
        ageMs,
      });
    }
  }
  return listed;
}

function isKind(kind: string): kind is StatementKind {
  return (KINDS as readonly string[]).includes(kind);
}

/** Records what other nodes know of upstreams, where it is later. */
export function recordRelayedStatements(
  node: EntryNode,
  relayed: readonly UpstreamStatement[],
): void {
  const now = node.continuousClock();
  for (const {kind, upstream, incarnation, ended, ...statement} of relayed) {
    if (!isKind(kind)) continue;
    const value = ended ? undefined : statement.value;
    const heardAt = now - statement.ageMs;
    const known = node.statements[kind].get(upstream);
    if (known && known.incarnation > incarnation) continue;
    if (known?.incarnation === incarnation) {
      const advanceMs = known.value === value ? MIN_RELAYED_ADVANCE_MS : 0;
      if (heardAt <= known.heardAt + advanceMs) continue;
    } else if (ended) continue;
    keepStatement(node, kind, upstream, {incarnation, value, heardAt});
  }
}
