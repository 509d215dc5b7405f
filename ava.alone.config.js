/** Tests that measure a process run one at a time, without other tests beside them. */
import {shared} from './ava.config.js';

export default {
  ...shared,
  files: ['apps/router/test/alone/*.test.ts'],
  concurrency: 1,
};
