import { runCommand } from './cli/runCommand.ts';

void runCommand(process.argv.slice(2)).then((code) => {
  process.exitCode = code;
});
