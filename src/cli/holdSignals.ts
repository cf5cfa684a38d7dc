/**
 * Holds signals to a host from the start of the process. Must be the first import of an entry point: a
 * signal that arrives while the other modules load would end the process.
 */
import { holdSignalsOfHost } from '../host/processSignals.ts';

holdSignalsOfHost(process.argv.slice(2));
