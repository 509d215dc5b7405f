/**
 * Adapter between js-csp processes and promises. Each subsystem is one process;
 * channels carry requests, batches and control events.
 */
import * as library from 'js-csp';

// Node exposes this CommonJS module as a default export only, bundlers by named exports.
const csp = (Reflect.get(library, 'default') ?? library) as typeof library;
type Channel<T> = library.Channel<T>;

export function wait(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** Returns a channel that yields the outcome of a promise. */
export function toChannel<T>(promise: Promise<T>): Channel<PromiseOutcome<T>> {
  const channel = csp.chan<PromiseOutcome<T>>(1);
  promise.then(
    value => csp.putAsync(channel, {value}),
    error => csp.putAsync(channel, {error}),
  );
  return channel;
}

/** The value of a fulfilled promise, or the error of a rejected one. */
export interface PromiseOutcome<T> {
  readonly value?: T;
  readonly error?: unknown;
}

/** A periodic task that can be ended. */
export interface RepeatingTask {
  /** Ends the task after the current step, if one is running, and waits for that. */
  end(): Promise<void>;
}

/**
 * Runs an asynchronous step periodically, with a pause after each run, until the
 * task is ended. A pause given as a function is computed anew each time. A step
 * that throws is reported and does not end the task.
 *
 * @example
 * const heartbeats = repeat(1_000, () => sendHeartbeats(node), logError);
 */
export function repeat(
  pauseMs: number | (() => number),
  step: () => Promise<void>,
  onError: (error: unknown) => void,
): RepeatingTask {
  let ended = false;
  let cancelPause: (() => void) | undefined;
  const done = new Promise<void>(resolve => {
    csp.go(function* () {
      while (!ended) {
        const outcome: PromiseOutcome<void> = yield csp.take(toChannel(step()));
        if (outcome.error !== undefined) onError(outcome.error);
        if (ended) break;
        const ms = typeof pauseMs === 'number' ? pauseMs : pauseMs();
        yield csp.take(pause(ms, cancel => (cancelPause = cancel)));
      }
      resolve();
    });
  });
  return {
    end() {
      ended = true;
      cancelPause?.();
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
