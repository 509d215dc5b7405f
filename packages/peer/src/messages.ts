/** Messages between nodes, as peer.proto defines them. */
import type {Bill} from '@parsleyarch/protocol/bill';
import type {CreditGrant, CreditRequest} from '@parsleyarch/protocol/credit';
import type {AllocationSnapshot} from '@parsleyarch/protocol/handover';
import type {Heartbeat} from '@parsleyarch/protocol/membership';

/** Heartbeats that a node knows, its own first. */
export interface Beats {
  readonly beats: readonly Heartbeat[];
}
/** Asks for the log entries after a revision. */
export interface EntriesAfter {
  readonly revision: number;
}
/** Log entries, or a snapshot when the first ones are gone. */
export interface Entries {
  /** Log entries in JSON, in order. */
  readonly entries: readonly string[];
  /** A whole configuration in JSON, or empty. */
  readonly snapshot: string;
}
/** A report and wish for one upstream. */
export interface CreditAsk extends CreditRequest {
  readonly upstream: string;
}
/** Asks of one round to one allocator. */
export interface CreditAsks {
  readonly asks: readonly CreditAsk[];
}
/** An allocator's answer for one upstream. */
export interface CreditAnswer extends CreditGrant {
  readonly upstream: string;
}
/** Answers; upstreams that the node does not hold are left out. */
export interface CreditAnswers {
  readonly answers: readonly CreditAnswer[];
}
/** What a leaving allocator tells of one upstream. */
export interface AllocatedUpstream extends AllocationSnapshot {
  readonly upstream: string;
}
/** What a leaving allocator tells of one group. */
export interface Handover {
  readonly group: string;
  /** Epoch with which the receiver will hold the group. */
  readonly epoch: number;
  readonly upstreams: readonly AllocatedUpstream[];
}
/** A copy of part of a batch, or word that it is written. */
export interface BillCopy {
  readonly node: string;
  readonly incarnation: number;
  readonly sequence: number;
  readonly bills: readonly Bill[];
  /** Whether the batch stands in the store, so that copies may go. */
  readonly written: boolean;
}
/** Asks a session's owner for its version. */
export interface PinAsk {
  readonly session: string;
  readonly model: string;
  readonly proposed: string;
  /** Version whose pin is to be replaced, or empty. */
  readonly replaces: string;
}
/** The version that a session is pinned to. */
export interface PinAnswer {
  readonly version: string;
}
/** One pin. */
export interface PinEntry {
  readonly session: string;
  readonly model: string;
  readonly version: string;
}
/** Pins to keep copies of. */
export interface PinCopy {
  readonly pins: readonly PinEntry[];
}
/** News for all nodes. */
export interface Evidence {
  readonly node: string;
  readonly incarnation: number;
  /** JSON; its shape belongs to the decision that shares it. */
  readonly body: string;
}
/** Asks for the decisions of a request. */
export interface ExplainAsk {
  readonly requestId: string;
}
/** Decisions that a node remembers of a request. */
export interface Explanation {
  /** Decision lines in JSON, oldest first. */
  readonly lines: readonly string[];
}
/** Sends to one upstream since a roll-out was ordered. */
export interface UpstreamTally {
  readonly upstream: string;
  /** Whether it runs the version that is rolled out. */
  readonly fresh: boolean;
  readonly seen: number;
  readonly failed: number;
  readonly slow: number;
}
/** What one node sees of one roll-out. */
export interface RolloutReport {
  readonly service: string;
  /** Revision of the order that the counts belong to. */
  readonly order: number;
  /** Sequence number of the plan that the node follows. */
  readonly sequence: number;
  readonly tallies: readonly UpstreamTally[];
  /** Requests that still run on the old version. */
  readonly oldInFlight: number;
  /** Sessions that the node has seen on the old version in a moved bucket. */
  readonly keptSessions: readonly string[];
  /** Incarnation of the holder whose list of sessions the node knows. */
  readonly keptFrom: string;
  /** How many of that list it knows. */
  readonly keptCount: number;
  /** Time since the order, as far as the node knows, milliseconds. */
  readonly elapsedMs: number;
}
/** What one node tells the holder of roll-outs. */
export interface Consultation {
  readonly node: string;
  readonly incarnation: string;
  readonly reports: readonly RolloutReport[];
}
/** Sessions of all nodes that stay on the old version. */
export interface KeptSessions {
  readonly service: string;
  readonly order: number;
  /** What the node does not know yet of the holder's list. */
  readonly sessions: readonly string[];
  /** Incarnation of the holder. */
  readonly from: string;
  /** Length of the holder's list. */
  readonly count: number;
  /** Sequence number of the newest plan of which every node has told. */
  readonly readySequence: number;
}
/** The holder's answer. */
export interface Advice {
  readonly kept: readonly KeptSessions[];
}
/** What one node, or several, have sent to an upstream. */
export interface UpstreamLoad {
  readonly upstream: string;
  /** Work of requests without an answer yet; see policy/work.ts. */
  readonly pending: number;
  /** Requests whose answers are being passed on. */
  readonly streaming: number;
}
/** What one node has sent where. */
export interface LoadReport {
  readonly node: string;
  readonly loads: readonly UpstreamLoad[];
}
/** Sums over the other nodes. */
export interface LoadSummary {
  readonly loads: readonly UpstreamLoad[];
}
/** Asks for the store's changes after a revision. */
export interface ChangesAfter {
  readonly revision: number;
  /** Longest wait for a change, milliseconds. */
  readonly waitMs: number;
}
/** An item of the store as it was written, or its removal. */
export interface ChangedItem {
  readonly key: string;
  readonly revision: number;
  readonly value: Buffer;
  readonly removed: boolean;
}
/** Changes of the store as a node that watches it knows them. */
export interface Changes {
  /** Revision up to which the changes reach. */
  readonly revision: number;
  /** Whether the items are all that there are, in place of changes. */
  readonly whole: boolean;
  readonly items: readonly ChangedItem[];
  /** Age of the confirmation that nothing newer was missing, milliseconds. */
  readonly confirmedAgeMs: number;
  /** For how long the call was kept waiting, milliseconds. */
  readonly heldMs: number;
  /** Time since the store was reached again; negative: long ago. */
  readonly returnedAgoMs: number;
}
/** An answer without content. */
export type Ack = Record<string, never>;

/** Every call between nodes, by name. */
export interface PeerCalls {
  beats: [Ack, Beats];
  fetchEntries: [EntriesAfter, Entries];
  askCredits: [CreditAsks, CreditAnswers];
  handOver: [Handover, Ack];
  copyBills: [BillCopy, Ack];
  pin: [PinAsk, PinAnswer];
  copyPins: [PinCopy, Ack];
  shareEvidence: [Evidence, Ack];
  explain: [ExplainAsk, Explanation];
  consult: [Consultation, Advice];
  shareLoad: [LoadReport, LoadSummary];
  followChanges: [ChangesAfter, Changes];
}

/** Name of a call between nodes. */
export type PeerCall = keyof PeerCalls;
