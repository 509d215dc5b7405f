/** Advances roll-outs and writes snapshots on the control group's holder. */
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
import {tallyVersion} from './learning.js';
import type {RouterNode} from './node.js';

/** When this node first saw a roll-out at its current step. */
interface StepStart {
  readonly revision: number;
  readonly at: number;
  readonly seen: number;
}

/** By roll-out name. */
export type StepStarts = Map<string, StepStart>;

function createChanges(
  node: RouterNode,
  {name, revision, spec}: Resource<'Rollout'>,
  next: Exclude<RolloutAction, {action: 'stay'}>,
): Change[] {
  const step: Change = {
    kind: 'Rollout',
    name,
    spec: next.spec,
    expect: revision,
  };
  const version = findResource(node.configuration, 'Version', spec.to);
  if (next.action !== 'roll-back' || !version) return [step];
  const withdrawal: Change = {
    kind: 'Version',
    name: version.name,
    spec: {...version.spec, state: 'withdrawn'},
    expect: version.revision,
  };
  return [step, withdrawal];
}

async function advanceRollout(
  node: RouterNode,
  rollout: Resource<'Rollout'>,
  starts: StepStarts,
): Promise<void> {
  const {name, revision, spec} = rollout;
  const newTally = tallyVersion(node, spec.to);
  const now = node.clock();
  let start = starts.get(name);
  if (start?.revision !== revision) {
    start = {revision, at: now, seen: newTally.error.seen};
    starts.set(name, start);
  }
  const next = nextRolloutAction(
    spec,
    newTally,
    tallyVersion(node, spec.from),
    newTally.error.seen - start.seen,
    now - start.at,
    node.settings.rollout.minStepMs,
  );
  if (next.action === 'stay') return;
  const changes = createChanges(node, rollout, next);
  const author = `node/${node.name}`;
  const result = await appendProposal(node, {
    changeId: randomUUID(),
    author,
    changes,
  });
  recordDecision(node, {
    decision: 'rollout',
    candidates: [spec.from, spec.to],
    choice: next.action,
    reason:
      next.action === 'roll-back'
        ? next.signal
        : `no regression at step ${spec.step}`,
    rollout: name,
    recorded: result.isOk(),
  });
}

/** One round of the controller; does nothing if this node is not the holder. */
export async function runControl(
  node: RouterNode,
  starts: StepStarts,
): Promise<void> {
  if (!holdsGroup(node, CONTROL_GROUP)) return;
  for (const rollout of listResources(node.configuration, 'Rollout')) {
    if (rollout.spec.state === 'running')
      await advanceRollout(node, rollout, starts);
  }
  await writeSnapshotIfDue(node);
}
