/** What this node does on each call from a peer. */
import type {PeerHandlers} from '@parsleyarch/peer/server';
import {takeCopy} from './bills.js';
import {entriesAfter} from './config.js';
import {hearNews} from './crashes.js';
import {beatsToTell} from './gossip.js';
import type {RouterNode} from './node.js';
import {answerPin, takePinCopies} from './sessions.js';
import {answerAsks, takeHandover} from './allocators.js';

/** Handlers of the peer listener. */
export function peerHandlers(
  node: RouterNode,
): Omit<PeerHandlers, 'consult' | 'shareLoad' | 'followChanges'> {
  return {
    beats: () => ({beats: beatsToTell(node)}),
    fetchEntries: ({revision}) => entriesAfter(node, revision),
    askCredits: ({asks}) => ({answers: answerAsks(node, asks)}),
    handOver: handover => {
      takeHandover(node, handover);
      return {};
    },
    copyBills: copy => {
      takeCopy(node, copy);
      return {};
    },
    pin: async ask => ({version: await answerPin(node, ask)}),
    copyPins: ({pins}) => {
      takePinCopies(node, pins);
      return {};
    },
    shareEvidence: ({body}) => {
      hearNews(node, body);
      return {};
    },
    explain: ({requestId}) => {
      const lines = node.decisions.get(requestId) ?? [];
      return {lines: lines.map(line => JSON.stringify(line))};
    },
  };
}
