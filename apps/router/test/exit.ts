/** Ends the test process after its tests; for tests with stand-ins. */
import {registerCompletionHandler} from 'ava';

// Sockets left half open by a fault would keep the process alive for minutes.
registerCompletionHandler(() => process.exit());
