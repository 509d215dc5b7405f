/** Settings of a node: JSON with comments; errors are reported by line. */
import {failure, messageOf, type Failure} from '@parsleyarch/errors/failure';
import {
  findNodeAtLocation,
  parse,
  parseTree,
  printParseErrorCode,
  type ParseError,
} from 'jsonc-parser';
import {err, ok, type Result} from 'neverthrow';
import {readFileSync} from 'node:fs';
import {z} from 'zod';

const Listener = z.strictObject({
  host: z.string(),
  port: z.number().int().min(0).max(65_535),
});

const Settings = z.strictObject({
  /** Name of the VM in the platform's VM list. */
  node: z.string().regex(/^[a-z0-9][a-z0-9-]{0,30}$/),
  failureDomain: z.string(),
  callers: Listener,
  operators: Listener,
  peers: Listener,
  store: z.strictObject({
    address: z.url(),
    readsPerSecond: z.number().positive().default(20),
    writesPerSecond: z.number().positive().default(30),
    timeoutMs: z.number().int().positive().default(1_000),
  }),
  vmList: z.strictObject({address: z.url()}),
  rater: z.strictObject({address: z.url(), costMicros: z.number()}).optional(),
  /** Key for calls between nodes; the same on all nodes. */
  peerKey: z.string().min(16),
  /** Key that signs session tokens; the same on all nodes. */
  sessionKey: z.string().min(16),
  operatorKeys: z
    .array(
      z.strictObject({
        author: z.string(),
        /** SHA-256 of the bearer key, in hexadecimal. */
        keyHash: z.string().regex(/^[0-9a-f]{64}$/),
      }),
    )
    .min(1),
  stop: z
    .strictObject({
      /** Time for the load balancer to detect that the node is not ready. */
      balancerLagMs: z.number().int().nonnegative().default(2_000),
      /** Maximum wait for requests in flight. */
      graceMs: z.number().int().positive().default(120_000),
    })
    .default({balancerLagMs: 2_000, graceMs: 120_000}),
  rollout: z
    .strictObject({minStepMs: z.number().int().nonnegative().default(60_000)})
    .default({minStepMs: 60_000}),
  upstreamIdleMs: z.number().int().positive().default(10_000),
  logLevel: z
    .enum(['debug', 'info', 'warn', 'error', 'silent'])
    .default('info'),
});

/** Validated settings with defaults applied. */
export type Settings = z.infer<typeof Settings>;

function lineOf(text: string, offset: number): number {
  return text.slice(0, offset).split('\n').length;
}

/** Validates settings; reports each error with file, line and expected value. */
export function parseSettings(
  text: string,
  file: string,
): Result<Settings, Failure> {
  return checkSettings(Settings, text, file);
}

/** Validates the text of a settings file against a schema. */
export function checkSettings<T>(
  schema: z.ZodType<T>,
  text: string,
  file: string,
): Result<T, Failure> {
  const errors: ParseError[] = [];
  const input: unknown = parse(text, errors, {allowTrailingComma: true});
  if (errors.length > 0) {
    const problems = errors.map(
      ({error, offset}) =>
        `${file}:${lineOf(text, offset)}: ${printParseErrorCode(error)}`,
    );
    return err(failure('invalid-json', problems.join('\n')));
  }
  const parsed = schema.safeParse(input);
  if (parsed.success) return ok(parsed.data);
  const tree = parseTree(text, [], {allowTrailingComma: true});
  const problems = parsed.error.issues.map(({path, message}) => {
    const jsonPath = path.map(key => (typeof key === 'symbol' ? '' : key));
    let jsonNode = tree && findNodeAtLocation(tree, jsonPath);
    for (let depth = jsonPath.length; !jsonNode && depth > 0; depth -= 1)
      jsonNode = tree && findNodeAtLocation(tree, jsonPath.slice(0, depth - 1));
    return `${file}:${lineOf(text, jsonNode?.offset ?? 0)}: ${path.join('.')}: ${message}`;
  });
  return err(failure('invalid-request', problems.join('\n')));
}

/** Reads and validates the settings file of a node. */
export function loadSettings(file: string): Result<Settings, Failure> {
  return readSettings(Settings, file);
}

/** Reads a settings file and validates it against a schema. */
export function readSettings<T>(
  schema: z.ZodType<T>,
  file: string,
): Result<T, Failure> {
  try {
    return checkSettings(schema, readFileSync(file, 'utf8'), file);
  } catch (thrown) {
    return err(failure('not-found', `${file}: ${messageOf(thrown)}`));
  }
}
