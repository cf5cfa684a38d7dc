import { afterEach, beforeEach, expect, it, vi } from 'vitest';
import { PATH_SILENCE_MS } from '../../src/paths/constants.ts';
import { PathMonitor } from '../../src/gatewayHost/pathMonitor.ts';

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

type Step = 'send' | 'receive' | 'end' | 'endUnanswered' | number;

const { send, receive, end, endUnanswered } = {
  send: 'send',
  receive: 'receive',
  end: 'end',
  endUnanswered: 'endUnanswered',
} as const;

const STEPS: Record<Exclude<Step, number>, (monitor: PathMonitor) => void> = {
  send: (monitor) => monitor.recordSent(),
  receive: (monitor) => monitor.recordReceived(),
  end: (monitor) => monitor.recordEnded(true),
  endUnanswered: (monitor) => monitor.recordEnded(false),
};

// Guards against hosts whose connections to all endpoints hang without anyone noticing.
it.each<[string, Step[], number]>([
  ['nothing arrives', [send, PATH_SILENCE_MS], 1],
  ['nothing arrives for long', [send, 3 * PATH_SILENCE_MS], 3],
  ['a stream stops', [send, 300, receive, PATH_SILENCE_MS], 1],
  ['bytes of one attempt arrive while another waits', [send, send, 300, receive, 300], 0],
  ['nothing waits', [send, 100, receive, end, 5_000], 0],
  ['attempts with short time limits end without an answer', [send, 150, endUnanswered, 5_000], 1],
  ['a request follows another', [send, 100, receive, end, 300, send, 300, receive, end, 300], 0],
])('a host tells when %s', (_name, steps, expected) => {
  const onSilent = vi.fn();
  const monitor = PathMonitor.create(onSilent);
  for (const step of steps) {
    if (typeof step === 'number') vi.advanceTimersByTime(step);
    else STEPS[step](monitor);
  }
  expect(onSilent).toHaveBeenCalledTimes(expected);
});
