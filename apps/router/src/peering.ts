/** Dispatches calls from peers to the subsystems of this node. */
import type {PeerHandlers} from '@parsleyarch/peer/server';
import {storeBillCopy} from './bills.js';
import {listEntriesAfter} from './config.js';
import {receiveEvidence} from './crashes.js';
import {listHeartbeats} from './gossip.js';
import type {RouterNode} from './node.js';
import {resolvePinAsOwner, storePinCopies} from './sessions.js';
import {answerCreditAsks, storeHandover} from './allocators.js';

/**
 * Handlers of the peer listener, except for the calls that only entry nodes
 * serve.
 */
export function peerHandlers(
  node: RouterNode,
): Omit<
  PeerHandlers,
  | 'consult'
  | 'shareLoad'
  | 'followChanges'
  | 'announceCrashes'
  | 'probeUpstream'
> {
  return {
    beats: () => ({beats: listHeartbeats(node)}),
    fetchEntries: ({revision}) => listEntriesAfter(node, revision),
    askCredits: ({asks}) => ({answers: answerCreditAsks(node, asks)}),
    handOver: handover => {
      storeHandover(node, handover);
      return {};
    },
    copyBills: copy => {
      storeBillCopy(node, copy);
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
