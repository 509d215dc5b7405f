/** Output of commands, and the exit code of each kind of failure. */
import type {Failure, FailureKind} from '@parsleyarch/errors/failure';

export const ExitCode = {
  ok: 0,
  failed: 1,
  invalid: 2,
  conflict: 3,
  unavailable: 4,
} as const;

const EXIT_CODES: Readonly<Partial<Record<FailureKind, number>>> = {
  'invalid-json': ExitCode.invalid,
  'invalid-request': ExitCode.invalid,
  conflict: ExitCode.conflict,
  'store-unavailable': ExitCode.unavailable,
  'outcome-unknown': ExitCode.unavailable,
  'not-ready': ExitCode.unavailable,
};

export type OutputFormat = 'json' | 'table';

/** Prints rows as a table, or as JSON. */
export function printRows(
  format: OutputFormat,
  rows: ReadonlyArray<Readonly<Record<string, unknown>>>,
): void {
  if (format === 'json') {
    console.log(JSON.stringify(rows, null, 2));
    return;
  }
  const [firstRow] = rows;
  if (!firstRow) return;
  const columns = Object.keys(firstRow);
  const cells = rows.map(row =>
    columns.map(column => {
      const value = row[column];
      return typeof value === 'string' ? value : (JSON.stringify(value) ?? '');
    }),
  );
  const widths = columns.map((column, at) =>
    Math.max(column.length, ...cells.map(row => row[at].length)),
  );
  for (const row of [columns.map(column => column.toUpperCase()), ...cells]) {
    const line = row.map((cell, at) => cell.padEnd(widths[at])).join('  ');
    console.log(line.trimEnd());
  }
}

/** Prints a failure and sets the exit code. */
export function reportFailure(problem: Failure): void {
  console.error(`error: ${problem.kind}: ${problem.message}`);
  process.exitCode = EXIT_CODES[problem.kind] ?? ExitCode.failed;
}
