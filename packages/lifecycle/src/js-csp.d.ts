declare module 'js-csp' {
  export interface Channel<T = unknown> {
    close(): void;
    readonly __brand?: T;
  }
  export interface Instruction {
    readonly __instruction?: true;
  }
  export const CLOSED: null;
  export function chan<T>(buffer?: number | object): Channel<T>;
  export function go<A extends unknown[]>(
    body: (...args: A) => Generator<unknown, unknown, never>,
    args?: A,
  ): Channel;
  export function take<T>(channel: Channel<T>): Instruction;
  export function put<T>(channel: Channel<T>, value: T): Instruction;
  export function timeout(ms: number): Channel<null>;
  export function putAsync<T>(
    channel: Channel<T>,
    value: T,
    done?: (accepted: boolean) => void,
  ): void;
  export const buffers: {sliding(size: number): object};
  const csp: unknown;
  export default csp;
}
