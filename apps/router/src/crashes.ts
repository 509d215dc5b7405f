/** Tracks upstream crashes and the requests suspected of causing them. */
import {callPeer} from '@parsleyarch/peer/client';
import {
  clearSuspect,
  getPoisonStatus,
  recordCrash,
  type Crash,
  type PoisonStatus,
} from '@parsleyarch/policy/poison';
import {mergeShard, type CounterShard} from '@parsleyarch/protocol/evidence';
import {createHash} from 'node:crypto';
import {recordDecision} from './decisions.js';
import type {RouterNode} from './node.js';

const EVIDENCE_CALL_TIMEOUT_MS = 500;
const FINGERPRINT_CHAR_COUNT = 24;

/** Message to all peers, sent as the JSON body of `shareEvidence`. */
export type SharedEvidence =
  | {readonly type: 'crash'; readonly crash: Crash}
  | {readonly type: 'survival'; readonly fingerprint: string}
  | {readonly type: 'counters'; readonly share: CounterShard};

/** Hash of the parts that identify a request, independent of the caller. */
export function fingerprintOf(...parts: string[]): string {
  const hash = createHash('sha256').update(JSON.stringify(parts));
  return hash.digest('hex').slice(0, FINGERPRINT_CHAR_COUNT);
}

/** Sends the message to every listed peer. */
export async function shareEvidence(
  node: RouterNode,
  evidence: SharedEvidence,
): Promise<void> {
  const message = {
    node: node.name,
    incarnation: node.incarnation,
    body: JSON.stringify(evidence),
  };
  const calls = [...node.membership.listed.values()].map(vm =>
    callPeer(
      node.peers,
      vm.address,
      'shareEvidence',
      message,
      EVIDENCE_CALL_TIMEOUT_MS,
    ),
  );
  await Promise.all(calls);
}

function applyCrash(node: RouterNode, crash: Crash): void {
  node.poison = recordCrash(node.poison, crash, node.clock());
  recordDecision(node, {
    decision: 'poison',
    choice: crash.suspects.length === 1 ? 'convict' : 'suspect',
    candidates: crash.fingerprints,
    reason: `upstream ${crash.upstream} crashed`,
    upstream: crash.upstream,
  });
}

/** Records a crash that this node observed, and broadcasts it. */
export function reportCrash(node: RouterNode, crash: Crash): void {
  applyCrash(node, crash);
  void shareEvidence(node, {type: 'crash', crash});
}

/** Clears a suspect that has completed, and broadcasts it. */
export function reportCleared(node: RouterNode, fingerprint: string): void {
  const next = clearSuspect(node.poison, fingerprint);
  if (next === node.poison) return;
  node.poison = next;
  void shareEvidence(node, {type: 'survival', fingerprint});
}

export function checkPoison(
  node: RouterNode,
  fingerprint: string,
): PoisonStatus {
  return getPoisonStatus(node.poison, fingerprint, node.clock());
}

type EvidenceHandlers = {
  [T in SharedEvidence['type']]: (
    node: RouterNode,
    evidence: Extract<SharedEvidence, {type: T}>,
  ) => void;
};

const EVIDENCE_HANDLERS: EvidenceHandlers = {
  crash: (node, {crash}) => applyCrash(node, crash),
  survival: (node, {fingerprint}) => {
    node.poison = clearSuspect(node.poison, fingerprint);
  },
  counters: (node, {share}) => {
    mergeShard(node.evidence, share);
  },
};

/** Applies a peer's message. */
export function receiveEvidence(node: RouterNode, body: string): void {
  const evidence = JSON.parse(body) as SharedEvidence;
  const handle = EVIDENCE_HANDLERS[evidence.type] as (
    node: RouterNode,
    evidence: SharedEvidence,
  ) => void;
  handle(node, evidence);
}
