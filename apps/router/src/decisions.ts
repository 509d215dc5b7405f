/** Decision lines: logged, and kept for a while for `explain`. */
import {callPeer} from '@parsleyarch/peer/client';
import {logDecision, type DecisionLine} from '@parsleyarch/telemetry/log';
import {minterOf, peerAddress, type RouterNode} from './node.js';

/** Requests whose decisions a node remembers. */
const REMEMBERED_REQUESTS = 5_000;
const EXPLAIN_TIMEOUT_MS = 1_000;

/** Logs a decision and remembers it with its request. */
export function decide(node: RouterNode, line: DecisionLine): void {
  logDecision(node.log, line);
  const {requestId} = line;
  if (!requestId) return;
  const known = node.decisions.get(requestId);
  if (known) {
    known.push(line);
    return;
  }
  node.decisions.set(requestId, [line]);
  if (node.decisions.size <= REMEMBERED_REQUESTS) return;
  for (const oldest of node.decisions.keys()) {
    node.decisions.delete(oldest);
    break;
  }
}

/** Decision lines of a request, from whichever node minted its id. */
export async function explain(
  node: RouterNode,
  requestId: string,
): Promise<readonly string[]> {
  const own = node.decisions.get(requestId);
  if (own) return own.map(line => JSON.stringify(line));
  const minter = minterOf(requestId);
  const address = minter && peerAddress(node, minter);
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
