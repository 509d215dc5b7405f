/**
 * The closed list of error kinds, the answer each one maps to, and the one
 * function that raises them.
 */
import {err, type Err} from 'neverthrow';

/** Whether the upstream work of a refused or broken request took place. */
export const Run = {
  notRun: 'not-run',
  unknown: 'unknown',
  ran: 'ran',
} as const;
export type Run = (typeof Run)[keyof typeof Run];

/** The answer that a kind of error maps to. */
export interface Answer {
  /** HTTP status code. */
  readonly status: number;
  readonly run: Run;
  /** Whether the same request may succeed when it is sent again. */
  readonly retryable: boolean;
}

const refusal = (status: number, retryable = false): Answer => ({
  status,
  run: Run.notRun,
  retryable,
});

/** Every kind of error that a caller, an operator or a peer can be given. */
export const ANSWERS = {
  'invalid-json': refusal(400),
  'invalid-request': refusal(400),
  'invalid-header': refusal(400),
  'body-too-large': refusal(413),
  'header-too-large': refusal(431),
  'request-timeout': refusal(408, true),
  unauthenticated: refusal(401),
  forbidden: refusal(403),
  'not-found': refusal(404),
  'model-not-allowed': refusal(403),
  'version-withdrawn': refusal(410),
  conflict: refusal(409, true),
  'rate-limited': refusal(429, true),
  overloaded: refusal(503, true),
  'no-upstream': refusal(503, true),
  'deadline-too-short': refusal(503, true),
  'stale-configuration': refusal(503, true),
  'not-ready': refusal(503, true),
  'suspected-poison': refusal(422),
  'store-unavailable': refusal(503, true),
  'key-reused': refusal(422),
  'upstream-refused': refusal(502, true),
  'outcome-unknown': {status: 409, run: Run.unknown, retryable: false},
  'upstream-lost': {status: 502, run: Run.unknown, retryable: false},
  'upstream-invalid': {status: 502, run: Run.unknown, retryable: false},
  'deadline-exceeded': {status: 504, run: Run.unknown, retryable: false},
  internal: {status: 500, run: Run.unknown, retryable: false},
} as const satisfies Record<string, Answer>;

/** Name of a kind of error. */
export type FailureKind = keyof typeof ANSWERS;

/** An error as a value; `run` differs from the table's only when it is known better. */
export interface Failure {
  readonly kind: FailureKind;
  readonly message: string;
  readonly run: Run;
  /** When a refused caller should come back, in milliseconds. */
  readonly retryAfterMs?: number;
}

/** What a raiser may add to the table's answer. */
export interface FailureDetail {
  readonly run?: Run;
  readonly retryAfterMs?: number;
}

/** Builds a failure of the given kind. */
export function failure(
  kind: FailureKind,
  message: string,
  detail: FailureDetail = {},
): Failure {
  return {kind, message, run: detail.run ?? ANSWERS[kind].run, ...detail};
}

/**
 * Raises a failure as a result.
 *
 * @example
 * if (!customer) return raise('unauthenticated', 'unknown key');
 */
export function raise(
  kind: FailureKind,
  message: string,
  detail: FailureDetail = {},
): Err<never, Failure> {
  return err(failure(kind, message, detail));
}

/** The message of anything that was thrown. */
export function messageOf(thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown);
}
