/** Imported by tests with stand-ins. */
import {registerCompletionHandler} from 'ava';

// Sockets that a fault left half open would keep the test process for minutes.
registerCompletionHandler(() => process.exit());
