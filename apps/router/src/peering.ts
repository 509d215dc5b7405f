/** What this node does on each call from a peer. */
import type {PeerHandlers} from '@parsleyarch/peer/server';
import {takeCopy} from './bills.js';
import {entriesAfter} from './config.js';
import {receiveEvidence} from './crashes.js';
import {beatsToTell} from './gossip.js';
import type {RouterNode} from './node.js';
import {resolvePinAsOwner, storePinCopies} from './sessions.js';
import {answerCreditAsks, storeHandover} from './allocators.js';

/** Handlers of the peer listener. */
export function peerHandlers(
  node: RouterNode,
): Omit<PeerHandlers, 'consult' | 'shareLoad' | 'followChanges'> {
  return {
    beats: () => ({beats: beatsToTell(node)}),
    fetchEntries: ({revision}) => entriesAfter(node, revision),
    askCredits: ({asks}) => ({answers: answerCreditAsks(node, asks)}),
    handOver: handover => {
      storeHandover(node, handover);
      return {};
    },
    copyBills: copy => {
      takeCopy(node, copy);
      return {};
    },
    pin: async ask => ({version: await resolvePinAsOwner(node, ask)}),
    copyPins: ({pins}) => {
      storePinCopies(node, pins);
      return {};
    },
    shareEvidence: ({body}) => {
      receiveEvidence(node, body);
      return {};
    },
    explain: ({requestId}) => {
      const lines = node.decisions.get(requestId) ?? [];
      return {lines: lines.map(line => JSON.stringify(line))};
    },
  };
}
