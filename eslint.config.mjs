import gts from 'gts';

/**
 * Workspace packages that each folder may import; all others are refused. Folders
 * that are not listed (`apps/router`) may import every package.
 */
const IMPORTS = {
  'packages/errors': [],
  'packages/resource': ['errors'],
  'packages/policy': ['errors', 'resource'],
  'packages/protocol': ['errors', 'resource'],
  'packages/store': ['errors'],
  'packages/upstream': ['errors', 'resource'],
  'packages/peer': ['errors', 'protocol'],
  'packages/lifecycle': ['errors'],
  'packages/telemetry': [],
  platform: ['errors', 'resource', 'store'],
  'apps/standins': ['resource', 'policy', 'protocol'],
};

const PACKAGES = [
  'errors',
  'resource',
  'policy',
  'protocol',
  'store',
  'upstream',
  'peer',
  'lifecycle',
  'telemetry',
  'platform',
  'router',
  'standins',
];

const DIRECTION = Object.entries(IMPORTS).map(([folder, allowed]) => ({
  files: [`${folder}/src/**/*.ts`],
  rules: {
    'no-restricted-imports': [
      'error',
      {
        patterns: PACKAGES.filter(name => !allowed.includes(name)).map(
          name => ({
            group: [`@parsleyarch/${name}/*`, `**/${name}/src/*`],
            message: `${folder} may import only: ${allowed.join(', ') || 'nothing'}`,
          }),
        ),
      },
    ],
  },
}));

/** Decisions take time and randomness as arguments and do no I/O. */
const PURE = {
  files: ['packages/policy/src/**/*.ts', 'packages/protocol/src/**/*.ts'],
  rules: {
    'no-restricted-properties': [
      'error',
      {object: 'Date', property: 'now'},
      {object: 'Math', property: 'random'},
      {object: 'performance', property: 'now'},
    ],
    'no-restricted-globals': ['error', 'setTimeout', 'setInterval', 'fetch'],
  },
};

export default [
  {ignores: ['build/**', 'dist/**', 'target/**']},
  ...gts,
  ...DIRECTION,
  PURE,
  {
    files: ['tools/**', 'spec/**'],
    languageOptions: {globals: {process: 'readonly', console: 'readonly'}},
  },
  {
    files: ['**/test/**/*.ts', 'tools/**', 'spec/**'],
    rules: {'n/no-unpublished-import': 'off', 'n/no-process-exit': 'off'},
  },
  {
    rules: {
      'n/no-missing-import': 'off',
      'n/no-unpublished-import': 'off',
      'n/no-extraneous-import': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
    },
  },
];
