/** Types of the messages and calls that peer.proto defines. */
import type {Bill} from '@parsleyarch/protocol/bill';
import type {CreditGrant, CreditRequest} from '@parsleyarch/protocol/credit';
import type {AllocationSnapshot} from '@parsleyarch/protocol/handover';
import type {Heartbeat} from '@parsleyarch/protocol/membership';

/** Heartbeats known to a node, its own first. */
export interface Beats {
  readonly beats: readonly Heartbeat[];
}
/** Requests the log entries after a revision. */
export interface EntriesAfter {
  readonly revision: number;
}
/** Log entries, or a snapshot if the first one requested is no longer held. */
export interface Entries {
  /** Log entries in JSON, in revision order. */
  readonly entries: readonly string[];
  /** A complete configuration in JSON, or empty. */
  readonly snapshot: string;
}
/** A node's usage report and credit request for one upstream. */
export interface CreditAsk extends CreditRequest {
  readonly upstream: string;
}
/** All credit requests to one allocator, sent together. */
export interface CreditAsks {
  readonly asks: readonly CreditAsk[];
}
/** The credits that an allocator grants for one upstream. */
export interface CreditAnswer extends CreditGrant {
  readonly upstream: string;
}
/** Credit grants; omits upstreams that this node does not allocate. */
export interface CreditAnswers {
  readonly answers: readonly CreditAnswer[];
}
/** Allocation of one upstream, handed over by a stopping allocator. */
export interface AllocatedUpstream extends AllocationSnapshot {
  readonly upstream: string;
}
/** Allocations of one group, handed over by a stopping allocator. */
export interface Handover {
  readonly group: string;
  /** Epoch under which the receiver will hold the group. */
  readonly epoch: number;
  readonly upstreams: readonly AllocatedUpstream[];
}
/** A copy of part of a batch, or a notice that the batch is in the store. */
export interface BillCopy {
  readonly node: string;
  readonly incarnation: number;
  readonly sequence: number;
  readonly bills: readonly Bill[];
  /** Whether the batch is in the store, so that copies may be deleted. */
  readonly written: boolean;
}
/** Requests the pinned version of a session from the session's owner. */
export interface PinAsk {
  readonly session: string;
  readonly model: string;
  readonly proposed: string;
  /** Pinned version to replace, or empty. The pin is kept if it differs. */
  readonly replaces: string;
}
/** The version that a session is pinned to. */
export interface PinAnswer {
  readonly version: string;
}
export interface PinEntry {
  readonly session: string;
  readonly model: string;
  readonly version: string;
}
/** Pins that the receiver is to keep copies of. */
export interface PinCopy {
  readonly pins: readonly PinEntry[];
}
/** A report for all nodes, such as version outcomes or crash suspects. */
export interface Evidence {
  readonly node: string;
  readonly incarnation: number;
  /** JSON; its shape is defined by the module that shares it. */
  readonly body: string;
}
/** Requests the decisions made for a request. */
export interface ExplainAsk {
  readonly requestId: string;
}
/** Decisions for a request that are still in a node's memory. */
export interface Explanation {
  /** Decision lines in JSON, oldest first. */
  readonly lines: readonly string[];
}
/** Counts of requests sent to one upstream since a roll-out was ordered. */
export interface UpstreamTally {
  readonly upstream: string;
  /** Whether the upstream runs the version being rolled out. */
  readonly fresh: boolean;
  readonly seen: number;
  readonly failed: number;
  readonly slow: number;
  /** Sends whose latency is not known. */
  readonly untimed: number;
}
/** One node's observations of one roll-out. */
export interface RolloutReport {
  readonly service: string;
  /** Revision of the order that the counts belong to. */
  readonly order: number;
  /** Sequence number of the plan that the node applies. */
  readonly sequence: number;
  readonly tallies: readonly UpstreamTally[];
  /** Requests still running on the old version. */
  readonly oldInFlight: number;
  /**
   * Sessions that the node has seen on the old version although their bucket
   * has moved to the new one.
   */
  readonly keptSessions: readonly string[];
  /** Incarnation of the holder whose session list `keptCount` refers to. */
  readonly keptFrom: string;
  /** Number of entries of that list that the node has received. */
  readonly keptCount: number;
  /** Lower bound of the time since the order, milliseconds. */
  readonly elapsedMs: number;
}
/** One node's reports to the holder, the node with the lease on roll-outs. */
export interface Consultation {
  readonly node: string;
  readonly incarnation: string;
  readonly reports: readonly RolloutReport[];
}
/** Sessions that stay on the old version, merged from all nodes. */
export interface KeptSessions {
  readonly service: string;
  readonly order: number;
  /** Entries of the holder's list that the node has not received yet. */
  readonly sessions: readonly string[];
  /** Incarnation of the holder. */
  readonly from: string;
  /** Length of the holder's list. */
  readonly count: number;
  /** Sequence number of the newest plan on which every node has reported. */
  readonly readySequence: number;
}
/** The holder's response to a consultation. */
export interface Advice {
  readonly kept: readonly KeptSessions[];
}
/** Load that one or more nodes have placed on an upstream. */
export interface UpstreamLoad {
  readonly upstream: string;
  /** Work of requests without a response yet, in the unit of policy/work.ts. */
  readonly pending: number;
  /** Requests whose responses are being streamed to the caller. */
  readonly streaming: number;
  /** Requests with and without an answer. */
  readonly inFlight: number;
  /**
   * Decayed sum and weight of the readings of how long work takes there, relative to
   * the usual time, both times 100; absent from nodes of an earlier release.
   */
  readonly paceSum?: number;
  readonly paceWeight?: number;
  /**
   * Time since the latest answer to any of the nodes, milliseconds, at least 1; 0 or
   * absent if not known.
   */
  readonly answeredAgoMs?: number;
}
/** Requests with a shared part of a prompt, and those that repeat one of their node. */
export interface ScopedReuse {
  /** Service and model. */
  readonly scope: string;
  readonly sent: number;
  readonly repeated: number;
}
/** An upstream that said in an answer that it is shutting down. */
export interface LeavingUpstream {
  readonly upstream: string;
  readonly incarnation: number;
}
/** What an upstream last said of itself on one matter. */
export interface UpstreamStatement {
  readonly kind: string;
  readonly upstream: string;
  readonly incarnation: number;
  /** Whether it no longer makes the statement. */
  readonly ended: boolean;
  readonly value: number;
  /** Time since a node heard it, milliseconds. */
  readonly ageMs: number;
}
/** A request, or a segment of its prompt, that an upstream served when it ended. */
export interface CrashSuspect {
  readonly key: string;
  /** Whether an upstream has answered it since. */
  readonly cleared: boolean;
  /** Whether an upstream has ever answered it. */
  readonly answered: boolean;
  /** Time that it had run there, milliseconds. */
  readonly runMs: number;
  /** Higher for suspects that fewer requests share. */
  readonly specificity: number;
}
/** An upstream that ended while it served requests. */
export interface CrashedUpstream {
  /** Incarnation of the upstream. */
  readonly upstream: string;
  readonly ageMs: number;
  readonly suspects: readonly CrashSuspect[];
}
/** What a node knows of crashes. */
export interface CrashReport {
  readonly crashDigest: number;
  /** Empty if the receiver is known to have the same digest. */
  readonly crashes: readonly CrashedUpstream[];
}
/** A node that cannot connect to the upstreams of some services, or is under pressure. */
export interface CutOffNode {
  readonly node: string;
  readonly services: readonly string[];
  /** Whether it is near a limit of its machine; absent at an earlier release. */
  readonly isPressed?: boolean;
  /** Whether it wants to withdraw from the balancer. */
  readonly isAnnounced?: boolean;
  readonly isWithdrawn?: boolean;
}
/** The load that one node, or the nodes of its group, placed on each upstream. */
export interface LoadReport extends CrashReport {
  readonly node: string;
  readonly loads: readonly UpstreamLoad[];
  /** Whether the load is the sum over the nodes that report to the sender. */
  readonly isGroup: boolean;
  /** Upstreams that are leaving, as far as the sender knows. */
  readonly leaving: readonly LeavingUpstream[];
  readonly statements: readonly UpstreamStatement[];
  /** The sender, or nodes of its group, if they are cut off from upstreams. */
  readonly cutOff: readonly CutOffNode[];
  /** Mean age of the reports in the sum of a group, milliseconds. */
  readonly ageMs?: number;
  readonly promptReuse?: readonly ScopedReuse[];
}
/** How current a node's knowledge of the store is. */
export interface Confirmation {
  /** Era of the store in which the revision counts. */
  readonly era: number;
  /** Revision up to which all changes are known. */
  readonly revision: number;
  /**
   * Age of the last confirmation that no newer change was missing,
   * milliseconds.
   */
  readonly confirmedAgeMs: number;
}
/** Load per upstream, summed over the nodes whose load the reporter lacks. */
export interface LoadSummary extends Confirmation, CrashReport {
  /** Upstreams that are leaving, as far as the collector knows. */
  readonly leaving: readonly LeavingUpstream[];
  readonly statements: readonly UpstreamStatement[];
  /** Nodes that are cut off from upstreams, as far as the collector knows. */
  readonly cutOff: readonly CutOffNode[];
  readonly loads: readonly UpstreamLoad[];
  /** Mean age of the reports in the sums, milliseconds; 0 or absent if not known. */
  readonly ageMs?: number;
  readonly promptReuse?: readonly ScopedReuse[];
}
/** Requests the store's changes after a revision. */
export interface ChangesAfter {
  /** Era of the store in which the revision counts. */
  readonly era: number;
  readonly revision: number;
  /** Maximum time to wait for a change, milliseconds. */
  readonly waitMs: number;
}
/** A store item as it was written, or its removal. */
export interface ChangedItem {
  readonly key: string;
  readonly revision: number;
  readonly value: Buffer;
  readonly removed: boolean;
}
/** Changes of the store, as relayed by a node that watches it. */
export interface Changes extends Confirmation {
  /** Whether `items` is the full state rather than a list of changes. */
  readonly whole: boolean;
  readonly items: readonly ChangedItem[];
  /** Time for which the call was held open, milliseconds. */
  readonly heldMs: number;
  /**
   * Time since the store became reachable again, milliseconds; negative if no
   * outage is known.
   */
  readonly returnedAgoMs: number;
}
/** One incarnation of a registered upstream. */
export interface ProbedUpstream {
  readonly upstream: string;
  readonly incarnation: number;
}
/** How an upstream treats a new connection. */
export const ProbeResult = {
  accepted: 'accepted',
  refused: 'refused',
  /** It does not respond, or the node does not know the incarnation. */
  unknown: 'unknown',
} as const;
export type ProbeResult = (typeof ProbeResult)[keyof typeof ProbeResult];
export interface ProbeAnswer {
  readonly result: ProbeResult;
}
/** An empty message. */
export type Ack = Record<string, never>;

/** Request and response types of the calls between nodes, by call name. */
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
  announceCrashes: [CrashReport, Ack];
  probeUpstream: [ProbedUpstream, ProbeAnswer];
}

/** Name of a call between nodes. */
export type PeerCall = keyof PeerCalls;
