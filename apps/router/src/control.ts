/** Steps roll-outs and writes snapshots, on the holder of the control group. */
import {
  nextRolloutAction,
  type RolloutAction,
} from '@parsleyarch/policy/rollout';
import type {Change} from '@parsleyarch/protocol/log';
import {findResource, listResources} from '@parsleyarch/resource/configuration';
import type {Resource} from '@parsleyarch/resource/schema';
import {randomUUID} from 'node:crypto';
import {appendProposal, writeSnapshotIfDue} from './config.js';
import {CONTROL_GROUP, holdsGroup} from './allocators.js';
import {recordDecision} from './decisions.js';
import {tallyOf} from './learning.js';
import type {RouterNode} from './node.js';

/** When this node first saw a roll-out at its present step. */
interface StepStart {
  readonly revision: number;
  readonly at: number;
  readonly seen: number;
}

/** Step starts, by roll-out. */
export type StepStarts = Map<string, StepStart>;

function changesFor(
  node: RouterNode,
  {name, revision, spec}: Resource<'Rollout'>,
  move: Exclude<RolloutAction, {action: 'stay'}>,
): Change[] {
  const step: Change = {
    kind: 'Rollout',
    name,
    spec: move.spec,
    expect: revision,
  };
  const version = findResource(node.configuration, 'Version', spec.to);
  if (move.action !== 'roll-back' || !version) return [step];
  const withdrawn: Change = {
    kind: 'Version',
    name: version.name,
    spec: {...version.spec, state: 'withdrawn'},
    expect: version.revision,
  };
  return [step, withdrawn];
}

async function stepRollout(
  node: RouterNode,
  rollout: Resource<'Rollout'>,
  starts: StepStarts,
): Promise<void> {
  const {name, revision, spec} = rollout;
  const fresh = tallyOf(node, spec.to);
  const now = node.clock();
  let start = starts.get(name);
  if (start?.revision !== revision) {
    start = {revision, at: now, seen: fresh.error.seen};
    starts.set(name, start);
  }
  const move = nextRolloutAction(
    spec,
    fresh,
    tallyOf(node, spec.from),
    fresh.error.seen - start.seen,
    now - start.at,
    node.settings.rollout.minStepMs,
  );
  if (move.action === 'stay') return;
  const changes = changesFor(node, rollout, move);
  const author = `node/${node.name}`;
  const result = await appendProposal(node, {
    changeId: randomUUID(),
    author,
    changes,
  });
  recordDecision(node, {
    decision: 'rollout',
    candidates: [spec.from, spec.to],
    choice: move.action,
    reason:
      move.action === 'roll-back' ? move.signal : `step ${spec.step} held`,
    rollout: name,
    recorded: result.isOk(),
  });
}

/** One round of the controller; does nothing on other nodes. */
export async function controlStep(
  node: RouterNode,
  starts: StepStarts,
): Promise<void> {
  if (!holdsGroup(node, CONTROL_GROUP)) return;
  for (const rollout of listResources(node.configuration, 'Rollout')) {
    if (rollout.spec.state === 'running')
      await stepRollout(node, rollout, starts);
  }
  await writeSnapshotIfDue(node);
}
