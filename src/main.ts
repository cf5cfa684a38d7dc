import { runCommand } from './cli/run.ts';

void runCommand(process.argv.slice(2)).then((code) => {
  process.exitCode = code;
});
