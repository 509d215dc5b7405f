/**
 * Requests that wait at this node until an upstream has room for them, in one line for
 * each service. Requests that arrive while others wait take their place in the line.
 * Lines are served when a send of their service ends, when the load of other nodes
 * arrives, and at intervals, as pauses and limits end by the clock.
 */
import type {FailureKind} from '@parsleyarch/errors/failure';
import type {ClassArrivals} from '@parsleyarch/policy/room';
import {
  createLine,
  joinLine,
  leaveLine,
  listInOrder,
  type WaitingLine,
  type WaitingRequest,
} from '@parsleyarch/policy/waiting-line';
import {err, ok, type Result} from 'neverthrow';
import type {Exchange} from './exchange.js';
import type {EntryNode} from './node.js';
import {objectiveEndsAt, priorityClassOf} from './urgency.js';

/** Interval at which waiting requests are tried again, milliseconds. */
const LINE_CHECK_MS = 40;
/** The same for each waiting request, which bounds the work of long lines. */
const LINE_CHECK_MS_PER_REQUEST = 2;

/** Why a request is not sent. */
export interface Refusal {
  readonly kind: FailureKind;
  readonly reason: string;
  /** Time until there is expected to be room, milliseconds, if that is known. */
  readonly roomMs?: number;
}

/** What comes of one try to send a request. */
export type TryOutcome<T> =
  | {readonly kind: 'sent'; readonly value: T}
  | {readonly kind: 'refused'; readonly refusal: Refusal}
  /** It may wait until then, monotonic milliseconds. */
  | {
      readonly kind: 'waits';
      readonly untilAt: number;
      readonly refusal: Refusal;
    };

/** Tries to send a request that has waited since a time. */
export type TrySend<T> = (waitsSince: number) => TryOutcome<T>;

interface Waiter extends WaitingRequest {
  leavesAt: number;
  /** Tries to send the request. */
  readonly serve: () => TryOutcome<unknown>['kind'];
}

/** Lines of one node. */
export interface WaitingLines {
  readonly lines: Map<string, WaitingLine<Waiter>>;
  /** Arrivals by service, which show what competes for its upstreams. */
  readonly arrivals: Map<string, ClassArrivals>;
  /** Pending check of all lines. */
  timer?: NodeJS.Timeout;
}

export function createWaitingLines(): WaitingLines {
  return {lines: new Map(), arrivals: new Map()};
}

function getLine({waiting}: EntryNode, service: string): WaitingLine<Waiter> {
  const known = waiting.lines.get(service);
  if (known) return known;
  const line = createLine<Waiter>();
  waiting.lines.set(service, line);
  return line;
}

function countWaiting({waiting}: EntryNode): number {
  let count = 0;
  for (const {starts} of waiting.lines.values()) count += starts.size;
  return count;
}

/** Tries requests in order until one gets room; returns whether one did. */
function serveUntilSent(
  line: WaitingLine<Waiter>,
  tried: Set<Waiter>,
  now: number,
): boolean {
  for (const waiter of listInOrder(line, now)) {
    if (tried.has(waiter)) continue;
    tried.add(waiter);
    const outcome = waiter.serve();
    if (outcome === 'waits') continue;
    leaveLine(line, waiter, outcome === 'sent');
    if (outcome === 'sent') return true;
  }
  return false;
}

/** Tries to send each waiting request of a service, in order. */
export function serveLine(node: EntryNode, service: string): void {
  const line = node.waiting.lines.get(service);
  if (!line) return;
  const tried = new Set<Waiter>();
  let sent = true;
  // A request that gets room may change the order of the others.
  while (sent && line.starts.size > 0)
    sent = serveUntilSent(line, tried, node.clock());
}

/** The same for all services. */
export function serveLines(node: EntryNode): void {
  for (const service of node.waiting.lines.keys()) serveLine(node, service);
}

function scheduleCheck(node: EntryNode): void {
  const {waiting} = node;
  const count = countWaiting(node);
  node.metrics.waiting.set(count);
  if (waiting.timer || count === 0) return;
  waiting.timer = setTimeout(
    () => {
      waiting.timer = undefined;
      serveLines(node);
      scheduleCheck(node);
    },
    Math.max(LINE_CHECK_MS, count * LINE_CHECK_MS_PER_REQUEST),
  );
}

function recordWait(
  node: EntryNode,
  exchange: Exchange,
  waitedMs: number,
  result: Result<unknown, Refusal>,
): void {
  const {route, service, caller} = exchange;
  const refusal = result.isErr() ? result.error : undefined;
  node.metrics.waitSeconds.observe({route: route.name}, waitedMs / 1_000);
  node.logDecision('wait', {
    requestId: caller.attemptId,
    service,
    choice: refusal ? 'not sent' : 'sent',
    reason: refusal?.reason,
    roomMs: refusal?.roomMs && Math.round(refusal.roomMs),
    waitedMs: Math.round(waitedMs),
    priorityClass: priorityClassOf(node, exchange),
    waiting: countWaiting(node),
  });
}

const LEFT: Refusal = {kind: 'no-upstream', reason: 'the caller has left'};

/** What a try means for a request that waits; its time to wait may be over. */
function settleTry<T>(
  node: EntryNode,
  waiter: Pick<Waiter, 'leavesAt'>,
  outcome: TryOutcome<T>,
): Result<T, Refusal> | undefined {
  if (outcome.kind === 'sent') return ok(outcome.value);
  if (outcome.kind === 'refused') return err(outcome.refusal);
  waiter.leavesAt = outcome.untilAt;
  return node.clock() < outcome.untilAt ? undefined : err(outcome.refusal);
}

/** Resolves when the request was sent or refused, or has waited long enough. */
function wait<T>(
  node: EntryNode,
  exchange: Exchange,
  trySend: TrySend<T>,
): Promise<Result<T, Refusal>> {
  const line = getLine(node, exchange.service);
  const joinedAt = node.clock();
  return new Promise((resolve, reject) => {
    const end = (result: Result<T, Refusal>) => {
      recordWait(node, exchange, node.clock() - joinedAt, result);
      resolve(result);
    };
    const serve = () => {
      try {
        const result = settleTry(node, waiter, trySend(joinedAt));
        if (!result) return 'waits';
        end(result);
        return result.isOk() ? 'sent' : 'refused';
      } catch (thrown) {
        reject(thrown);
        return 'refused';
      }
    };
    const waiter: Waiter = {
      priorityClass: priorityClassOf(node, exchange),
      customer: exchange.customer?.name ?? '',
      joinedAt,
      objectiveAt: objectiveEndsAt(exchange, joinedAt),
      leavesAt: exchange.deadlineAt,
      serve,
    };
    exchange.cancel = () => {
      if (!line.starts.has(waiter)) return;
      leaveLine(line, waiter, false);
      end(err(LEFT));
    };
    joinLine(line, waiter);
    serveLine(node, exchange.service);
    scheduleCheck(node);
  });
}

/** Records that a request competes for the upstreams of its service. */
function recordArrival(node: EntryNode, exchange: Exchange): void {
  const {arrivals} = node.waiting;
  const known: ClassArrivals = arrivals.get(exchange.service) ?? new Map();
  known.set(priorityClassOf(node, exchange), node.clock());
  arrivals.set(exchange.service, known);
}

/**
 * Sends a request once there is room: at once if none waits for the same service,
 * otherwise in the order of the line.
 */
export async function waitForRoom<T>(
  node: EntryNode,
  exchange: Exchange,
  trySend: TrySend<T>,
): Promise<Result<T, Refusal>> {
  recordArrival(node, exchange);
  if (getLine(node, exchange.service).starts.size === 0) {
    const outcome = trySend(node.clock());
    if (outcome.kind === 'sent') return ok(outcome.value);
    if (outcome.kind === 'refused') return err(outcome.refusal);
  }
  return wait(node, exchange, trySend);
}
