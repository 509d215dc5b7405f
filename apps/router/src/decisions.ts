/** Decision lines: logged, and kept in memory for `explain`. */
import {callPeer} from '@parsleyarch/peer/client';
import {logDecision, type DecisionLine} from '@parsleyarch/telemetry/log';
import {findRequestOrigin, findPeerAddress, type RouterNode} from './node.js';

/** Requests whose decision lines a node keeps. */
const MAX_REMEMBERED_REQUESTS = 5_000;
const EXPLAIN_TIMEOUT_MS = 1_000;

/** Logs a decision line and keeps it under its request id. */
export function recordDecision(node: RouterNode, line: DecisionLine): void {
  logDecision(node.log, line);
  const {requestId} = line;
  if (!requestId) return;
  const known = node.decisions.get(requestId);
  if (known) {
    known.push(line);
    return;
  }
  node.decisions.set(requestId, [line]);
  if (node.decisions.size <= MAX_REMEMBERED_REQUESTS) return;
  for (const oldest of node.decisions.keys()) {
    node.decisions.delete(oldest);
    break;
  }
}

/** Decision lines of a request as JSON, from the node that created its id. */
export async function findDecisionLines(
  node: RouterNode,
  requestId: string,
): Promise<readonly string[]> {
  const local = node.decisions.get(requestId);
  if (local) return local.map(line => JSON.stringify(line));
  const origin = findRequestOrigin(requestId);
  const address = origin && findPeerAddress(node, origin);
  if (!address) return [];
  const answer = await callPeer(
    node.peers,
    address,
    'explain',
    {requestId},
    EXPLAIN_TIMEOUT_MS,
  );
  return answer.isOk() ? answer.value.lines : [];
}
