/** Messages between nodes, as peer.proto defines them. */
import type {Bill} from '@parsleyarch/protocol/bill';
import type {CreditGrant, CreditRequest} from '@parsleyarch/protocol/credit';
import type {ToldStewardship} from '@parsleyarch/protocol/handover';
import type {Heartbeat} from '@parsleyarch/protocol/membership';

export interface Beats {
  readonly beats: readonly Heartbeat[];
}
export interface EntriesAfter {
  readonly revision: number;
}
export interface Entries {
  /** Log entries in JSON, in order. */
  readonly entries: readonly string[];
  /** A whole configuration in JSON, or empty. */
  readonly snapshot: string;
}
export interface CreditAsk extends CreditRequest {
  readonly upstream: string;
}
export interface CreditAsks {
  readonly asks: readonly CreditAsk[];
}
export interface CreditAnswer extends CreditGrant {
  readonly upstream: string;
}
export interface CreditAnswers {
  readonly answers: readonly CreditAnswer[];
}
export interface StewardedUpstream extends ToldStewardship {
  readonly upstream: string;
}
export interface Handover {
  readonly group: string;
  /** Epoch with which the receiver will hold the group. */
  readonly epoch: number;
  readonly upstreams: readonly StewardedUpstream[];
}
export interface BillCopy {
  readonly node: string;
  readonly incarnation: number;
  readonly sequence: number;
  readonly bills: readonly Bill[];
  /** Whether the batch stands in the store, so that copies may go. */
  readonly written: boolean;
}
export interface PinAsk {
  readonly session: string;
  readonly model: string;
  readonly proposed: string;
  /** Version whose pin is to be replaced, or empty. */
  readonly replaces: string;
}
export interface PinAnswer {
  readonly version: string;
}
export interface PinEntry {
  readonly session: string;
  readonly model: string;
  readonly version: string;
}
export interface PinCopy {
  readonly pins: readonly PinEntry[];
}
export interface Evidence {
  readonly node: string;
  readonly incarnation: number;
  /** JSON; its shape belongs to the decision that shares it. */
  readonly body: string;
}
export interface ExplainAsk {
  readonly requestId: string;
}
export interface Explanation {
  /** Decision lines in JSON, oldest first. */
  readonly lines: readonly string[];
}
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
}

export type PeerCall = keyof PeerCalls;
