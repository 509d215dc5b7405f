/** Tests that run side by side; those that measure memory run after them. */
export const shared = {
  extensions: {ts: 'module'},
  nodeArguments: ['--import=tsx'],
  workerThreads: false,
  timeout: '120s',
};

export default {
  ...shared,
  files: [
    'packages/*/test/**/*.test.ts',
    'apps/*/test/**/*.test.ts',
    'platform/test/**/*.test.ts',
    '!apps/router/test/alone/**',
  ],
  concurrency: 3,
};
