/**
 * Shutdown of what a process has started. Resources stop in the reverse order of
 * their registration; stopping is idempotent.
 */

/** A started resource and how to stop it. */
export interface ManagedResource {
  readonly name: string;
  stop(): void | Promise<void>;
}

/** The running resources of a process. */
export interface ResourceManager {
  readonly resources: ManagedResource[];
  readonly onStopped: (name: string, error?: unknown) => void;
  /** Whether the shutdown has begun. */
  isStopping: boolean;
  /** Resolves once the resources that were registered before it are stopped. */
  stopping?: Promise<void>;
}

/** Creates a manager that reports each resource as it stops. */
export function createManager(
  onStopped: ResourceManager['onStopped'],
): ResourceManager {
  return {resources: [], onStopped, isStopping: false};
}

/**
 * Registers a started resource to be stopped on shutdown. One whose start ends
 * during the shutdown is stopped at once.
 */
export function registerResource(
  manager: ResourceManager,
  name: string,
  stop: ManagedResource['stop'],
): void {
  manager.resources.push({name, stop});
  if (manager.isStopping) void stopResource(manager, {name, stop});
}

async function stopResource(
  {onStopped}: ResourceManager,
  {name, stop}: ManagedResource,
): Promise<void> {
  try {
    await stop();
    onStopped(name);
  } catch (error) {
    onStopped(name, error);
  }
}

async function stopResources(manager: ResourceManager): Promise<void> {
  for (const resource of [...manager.resources].reverse())
    await stopResource(manager, resource);
}

/** Stops all resources in reverse order; one that fails does not keep the rest from stopping. */
export function stopAll(manager: ResourceManager): Promise<void> {
  manager.isStopping = true;
  manager.stopping ??= stopResources(manager);
  return manager.stopping;
}
