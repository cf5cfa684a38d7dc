import { expect, it } from 'vitest';
import { newSuspect } from '../../src/suspects/mergeSuspects.ts';
import { DirectoryHost } from '../helpers/directoryHost.ts';

const REPORTS = 1_000;

// Guards against a host that is late because each report of a crash makes it look at all suspects again.
it('a host decides seldom while many hosts report crashes, and quarantines the cause soon', () => {
  const host = DirectoryHost.create('h0', 'z1', 1_000).configure({});
  for (let report = 0; report < REPORTS; report++) {
    const suspect = {
      ...newSuspect(`request-${report}`),
      crashes: [`e${report % 20}@1/a${report}`],
    };
    host.advance(1).receiveMessage(`h${report % 80}`, {
      type: 'suspectsReported',
      suspects: [{ ...suspect, requests: [suspect.attribute] }],
    });
  }
  const lines = host.takeEffects('log').filter(({ message }) => message.startsWith('suspects'));
  // One line is written for each decision.
  expect(lines.length).toBeLessThan(REPORTS / 5);
  const crashes = ['e1@1/x', 'e2@1/y', 'e3@1/z'];
  host.receiveMessage('h1', {
    type: 'suspectsReported',
    suspects: [{ ...newSuspect('cause'), crashes, requests: ['cause'] }],
  });
  host.advance(100);
  expect([...host.state.suspects.quarantined]).toContain('cause');
});
