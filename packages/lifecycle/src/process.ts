/**
 * The bridge between js-csp processes and promises. Each subsystem is one
 * process; channels carry requests, batches and control events.
 */
import * as library from 'js-csp';

// Node exposes a CommonJS module by its default export only, bundlers by names.
const csp = (Reflect.get(library, 'default') ?? library) as typeof library;
type Channel<T> = library.Channel<T>;

/** Resolves after a time. */
export function wait(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** A channel that yields the promise's outcome, then closes. */
export function settle<T>(promise: Promise<T>): Channel<Settled<T>> {
  const channel = csp.chan<Settled<T>>(1);
  promise.then(
    value => csp.putAsync(channel, {value}),
    error => csp.putAsync(channel, {error}),
  );
  return channel;
}

/** The outcome of a promise. */
export interface Settled<T> {
  readonly value?: T;
  readonly error?: unknown;
}

/** A running process that can be asked to end. */
export interface Process {
  /** Asks the process to end after its present step and waits for that. */
  end(): Promise<void>;
}

/**
 * Repeats an asynchronous step with pauses until the process is ended. A step
 * that throws is reported and repeated like any other.
 *
 * @example
 * const beat = repeat(1_000, () => sendHeartbeats(node), logError);
 */
export function repeat(
  pauseMs: number,
  step: () => Promise<void>,
  onError: (error: unknown) => void,
): Process {
  let ended = false;
  let wake: (() => void) | undefined;
  const done = new Promise<void>(resolve => {
    csp.go(function* () {
      while (!ended) {
        const outcome: Settled<void> = yield csp.take(settle(step()));
        if (outcome.error !== undefined) onError(outcome.error);
        if (ended) break;
        yield csp.take(pause(pauseMs, cancel => (wake = cancel)));
      }
      resolve();
    });
  });
  return {
    end() {
      ended = true;
      wake?.();
      return done;
    },
  };
}

function pause(
  ms: number,
  onStart: (cancel: () => void) => void,
): Channel<null> {
  const channel = csp.chan<null>();
  const timer = setTimeout(() => channel.close(), ms);
  onStart(() => {
    clearTimeout(timer);
    channel.close();
  });
  return channel;
}
