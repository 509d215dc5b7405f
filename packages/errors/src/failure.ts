/**
 * The complete list of error kinds, the response that each maps to, and the
 * functions that create failures.
 */
import {err, type Err} from 'neverthrow';

/** Whether an upstream executed a request that ended in an error. */
export const Run = {
  notRun: 'not-run',
  unknown: 'unknown',
  ran: 'ran',
} as const;
export type Run = (typeof Run)[keyof typeof Run];

/** The response that an error kind maps to. */
export interface ErrorResponse {
  /** HTTP status code. */
  readonly status: number;
  readonly run: Run;
  /** Whether the same request may succeed if it is retried. */
  readonly retryable: boolean;
}

const refusal = (status: number, retryable = false): ErrorResponse => ({
  status,
  run: Run.notRun,
  retryable,
});

/** Response to each kind of error that a caller, an operator or a peer can receive. */
export const ERROR_RESPONSES = {
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
  quarantined: refusal(503, true),
  'store-unavailable': refusal(503, true),
  'key-reused': refusal(422),
  'upstream-refused': refusal(502, true),
  'outcome-unknown': {status: 409, run: Run.unknown, retryable: false},
  'upstream-lost': {status: 502, run: Run.unknown, retryable: false},
  'upstream-invalid': {status: 502, run: Run.unknown, retryable: false},
  'deadline-exceeded': {status: 504, run: Run.unknown, retryable: false},
  internal: {status: 500, run: Run.unknown, retryable: false},
} as const satisfies Record<string, ErrorResponse>;

export type FailureKind = keyof typeof ERROR_RESPONSES;

/** An error as a value; `run` overrides the one of `ERROR_RESPONSES` if more is known. */
export interface Failure {
  readonly kind: FailureKind;
  readonly message: string;
  readonly run: Run;
  /** Time after which the caller should retry, milliseconds. */
  readonly retryAfterMs?: number;
}

/** Optional fields of a failure. */
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
  return {
    kind,
    message,
    run: detail.run ?? ERROR_RESPONSES[kind].run,
    ...detail,
  };
}

/**
 * Returns a failure as an error result.
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

/** Message of a thrown value, which need not be an `Error`. */
export function messageOf(thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown);
}
