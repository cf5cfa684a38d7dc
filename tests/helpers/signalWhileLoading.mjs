// Preloaded into a process: sends the signal in SIGNAL to it each time that its program loads a module.
import Module from 'node:module';
import process from 'node:process';

const load = Module._load;
Module._load = function (name, parent, isMain) {
  // The program itself, and what its first lines set up, are loaded before any code of it runs.
  if (!isMain && name !== 'node:url') process.kill(process.pid, process.env.SIGNAL);
  return load.call(this, name, parent, isMain);
};
