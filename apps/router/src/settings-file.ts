/** Settings files: JSON with comments; errors are reported by line. */
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
import type * as z from 'zod';

function lineOf(text: string, offset: number): number {
  return text.slice(0, offset).split('\n').length;
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
