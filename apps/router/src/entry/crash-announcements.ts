/**
 * Tells other nodes at once of a suspect that has ended several upstreams: it may
 * reach them before the next report of load does. In a large deployment the nodes that
 * collect reports are told, and pass it on with their answers.
 */
import {callPeer} from '@parsleyarch/peer/client';
import type {CrashReport} from '@parsleyarch/peer/messages';
import {listCollectors} from '@parsleyarch/policy/load-sharing';
import type {EntryNode} from './node.js';

/** Time limit of an announcement; the next report of load follows by then. */
const ANNOUNCEMENT_TIMEOUT_MS = 300;

/** Announces crashes; nodes that are not reached learn of them with their reports. */
export async function announceCrashes(
  node: EntryNode,
  report: CrashReport,
): Promise<void> {
  const {client} = node.peers;
  if (!client) return;
  const {node: name, failureDomain} = node.settings;
  const collectors = listCollectors([...node.members.values()], {
    name,
    failureDomain,
  });
  const announcements = collectors.map(async collector => {
    const address = node.members.get(collector)?.address;
    if (collector === name || !address) return;
    const answer = await callPeer(
      client,
      address,
      'announceCrashes',
      report,
      ANNOUNCEMENT_TIMEOUT_MS,
    );
    if (answer.isErr())
      node.logDecision('crash announcement', {
        choice: 'lost',
        to: collector,
        reason: answer.error.message,
      });
  });
  await Promise.all(announcements);
}
