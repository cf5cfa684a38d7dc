import './cli/holdSignals.ts';
import { exitProcess } from './cli/exitProcess.ts';
import { runCommand } from './cli/runCommand.ts';

void runCommand(process.argv.slice(2)).then(exitProcess);
