/**
 * Owns what a process has started. Resources stop in the reverse order of
 * their start; a stop runs once, however often it is asked for.
 */

/** One thing to stop. */
export interface Owned {
  readonly name: string;
  stop(): void | Promise<void>;
}

/** The owner of all running parts of a process. */
export interface Manager {
  readonly owned: Owned[];
  readonly onStopped: (name: string, error?: unknown) => void;
  stopping?: Promise<void>;
}

/** Creates a manager that reports each stopped part. */
export function createManager(onStopped: Manager['onStopped']): Manager {
  return {owned: [], onStopped};
}

/** Hands a started part to the manager. */
export function own(manager: Manager, name: string, stop: Owned['stop']): void {
  manager.owned.push({name, stop});
}

async function stopAll(manager: Manager): Promise<void> {
  for (const {name, stop} of [...manager.owned].reverse()) {
    try {
      await stop();
      manager.onStopped(name);
    } catch (error) {
      manager.onStopped(name, error);
    }
  }
}

/** Stops everything in reverse order; a failing part does not keep the rest. */
export function stop(manager: Manager): Promise<void> {
  manager.stopping ??= stopAll(manager);
  return manager.stopping;
}
