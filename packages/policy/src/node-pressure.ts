/**
 * Whether a node is near the limits of its machine. Answers demand that the balancer
 * spreads without regard to what a node can carry, and demand that swings within seconds.
 * Hysteresis and smoothing keep bursts of less than a second from counting. Pure
 * functions only.
 */

/** What a machine has a limited amount of. */
export const MachineResource = {
  processor: 'processor',
  link: 'link',
  descriptors: 'descriptors',
  memory: 'memory',
} as const;
export type MachineResource =
  (typeof MachineResource)[keyof typeof MachineResource];

/** Used share of each resource; 1 is its limit, 0 if the limit is unknown. */
export type UsedShares = Readonly<Record<MachineResource, number>>;

/** Shares at which pressure begins and ends. */
interface Marks {
  readonly high: number;
  readonly low: number;
}

const MARKS: Readonly<Record<MachineResource, Marks>> = {
  processor: {high: 0.9, low: 0.7},
  link: {high: 0.85, low: 0.65},
  descriptors: {high: 0.85, low: 0.75},
  memory: {high: 0.92, low: 0.88},
};

/** Weight of the latest measurement in the smoothed share. */
const SAMPLE_WEIGHT = 0.4;
/** Lag of the event loop that counts as a processor at its limit, milliseconds. */
const LAG_AT_LIMIT_MS = 200;

/** Smoothed shares of a node, and the resource that is under pressure. */
export interface NodePressure {
  shares: UsedShares;
  /** Absent if the node is not under pressure. */
  cause?: MachineResource;
}

export function createNodePressure(): NodePressure {
  return {shares: {processor: 0, link: 0, descriptors: 0, memory: 0}};
}

/** Share of the processor, from the active share of the event loop and its lag. */
export function processorUse(activeShare: number, lagMs: number): number {
  return Math.max(activeShare, Math.min(1, lagMs / LAG_AT_LIMIT_MS));
}

/** Used share of a limit; 0 if the limit is unknown. */
export function shareOf(used: number, limit: number | undefined): number {
  return limit === undefined ? 0 : used / limit;
}

/** Records a measurement; returns whether pressure has begun, ended or moved. */
export function recordUse(pressure: NodePressure, used: UsedShares): boolean {
  const shares: Record<MachineResource, number> = {...pressure.shares};
  const resources = Object.values(MachineResource);
  for (const resource of resources)
    shares[resource] += SAMPLE_WEIGHT * (used[resource] - shares[resource]);
  pressure.shares = shares;
  const before = pressure.cause;
  const holds =
    before !== undefined && shares[before] > MARKS[before].low
      ? before
      : undefined;
  pressure.cause =
    holds ??
    resources.find(resource => shares[resource] >= MARKS[resource].high);
  return pressure.cause !== before;
}
