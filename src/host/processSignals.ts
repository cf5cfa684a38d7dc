/** Signals that a host handles. */
type HostSignal = 'SIGHUP' | 'SIGINT' | 'SIGTERM';

const STOP_SIGNALS: HostSignal[] = ['SIGINT', 'SIGTERM'];
const SIGNALS: HostSignal[] = ['SIGHUP', ...STOP_SIGNALS];
const HOST_COMMANDS = new Set<string | undefined>(['entry', 'gateway']);

/** Signals to this process; one that arrives before its listener is added is kept for the listener. */
export class ProcessSignals {
  private readonly listeners = new Map<HostSignal, () => void>();
  private readonly pending = new Set<HostSignal>();

  private constructor() {}

  /** Starts to hold signals, whose default action would end the process. */
  static create(): ProcessSignals {
    const signals = new ProcessSignals();
    for (const signal of SIGNALS) process.on(signal, () => signals.handle(signal));
    return signals;
  }

  /** Calls `listener` at each further signal, and at once if one has arrived before. */
  on(signal: HostSignal, listener: () => void): void {
    this.listeners.set(signal, listener);
    if (this.pending.delete(signal)) listener();
  }

  /** Resolves at the first request to stop, also if that arrived before. */
  waitForStop(): Promise<void> {
    return new Promise((resolve) => {
      for (const signal of STOP_SIGNALS) this.on(signal, resolve);
    });
  }

  private handle(signal: HostSignal): void {
    const listener = this.listeners.get(signal);
    if (listener === undefined) this.pending.add(signal);
    else listener();
  }
}

let held: ProcessSignals | undefined;

/** Returns the signals to this process, which are held from the first call on. */
export function holdSignals(): ProcessSignals {
  held ??= ProcessSignals.create();
  return held;
}

/** Holds signals if the process is to run a host; other commands keep the default actions. */
export function holdSignalsOfHost([command]: readonly string[]): void {
  if (HOST_COMMANDS.has(command)) holdSignals();
}
