import test from 'ava';
import {spawn} from 'node:child_process';
import {once} from 'node:events';

const MODULE = new URL('../src/log.ts', import.meta.url).href;

/** Runs a program that has a log; returns what it has written until `isOver`. */
async function runProgram(
  program: string,
  isOver: (text: string) => boolean,
): Promise<string> {
  const child = spawn(process.execPath, [
    '--import=tsx',
    '--input-type=module',
    '-e',
    `import {createLog} from '${MODULE}';
     const log = createLog('info', 'vm-1'); ${program}`,
  ]);
  const ended = once(child, 'close');
  let text = '';
  for await (const chunk of child.stdout) {
    text += String(chunk);
    if (isOver(text)) break;
  }
  child.kill();
  await ended;
  return text;
}

test('a single line is written while the process runs', async t => {
  const program = "log.info('first'); setInterval(() => {}, 1_000);";
  const text = await runProgram(program, written => written.includes('first'));
  t.regex(text, /"msg":"first"/);
});

test('no line is lost when the process ends by an uncaught error', async t => {
  const program = `for (let i = 0; i < 300; i += 1) log.info({i}, 'line');
    throw new Error('uncaught');`;
  const text = await runProgram(program, () => false);
  t.is(text.trimEnd().split('\n').length, 300);
});
