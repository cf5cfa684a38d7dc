import { setTimeout as wait } from 'node:timers/promises';
import type { AdminClient } from '../adminClient.ts';
import { printAnswer, printFailure, withAdminClient } from '../operatorCommand.ts';
import { ConfirmAnswer, HostsAnswer } from '../schemas.ts';
import { type Command, type ExitCode, type Invocation, JSON_SWITCH } from '../types.ts';

const POLL_INTERVAL_MS = 500;
const WAIT_TIMEOUT_MS = 60_000;

export const confirm: Command = {
  summary: 'Apply a plan.',
  positionals: ['ID'],
  flags: [],
  switches: [
    { name: 'wait', help: 'Wait (at most 60 s) until every reachable host has the revision.' },
    JSON_SWITCH,
  ],
  settings: 'operator',
  run: (invocation) =>
    withAdminClient(invocation, async (client) => {
      const id = encodeURIComponent(invocation.flags.positionals[0] ?? '');
      const call = { method: 'POST', path: `/v1/plans/${id}/confirm` } as const;
      const answer = await client.call(call, ConfirmAnswer);
      if (answer.err) return printFailure(invocation, answer.val);
      printAnswer(
        invocation,
        answer.val,
        ({ plan, revision }) => `Plan ${plan} is confirmed as revision ${revision}.`,
      );
      if (!invocation.flags.switches.has('wait')) return 0;
      return waitForHosts(invocation, client, answer.val.revision);
    }),
};

/** Waits until every reachable host has at least `revision`; prints progress to standard error. */
async function waitForHosts(
  invocation: Invocation,
  client: AdminClient,
  revision: number,
): Promise<ExitCode> {
  const deadline = performance.now() + WAIT_TIMEOUT_MS;
  let lastProgress = '';
  for (;;) {
    const answer = await client.call({ method: 'GET', path: '/v1/hosts' }, HostsAnswer);
    const laggingHosts = answer.ok ? getLaggingHosts(answer.val, revision) : undefined;
    if (answer.ok && laggingHosts?.length === 0) {
      invocation.err(describeRevisionInForce(answer.val, revision));
      return 0;
    }
    const progress =
      answer.ok && laggingHosts !== undefined
        ? `${answer.val.hosts.length - laggingHosts.length} of ${answer.val.hosts.length} hosts have revision ${revision}; waiting for ${laggingHosts.join(', ')}`
        : `the hosts could not be read: ${answer.err ? answer.val.message : ''}`;
    if (progress !== lastProgress) invocation.err(progress);
    lastProgress = progress;
    if (performance.now() > deadline) {
      const message = `not every host has revision ${revision} after ${WAIT_TIMEOUT_MS / 1_000} s`;
      return printFailure(invocation, { message, details: laggingHosts ?? [] });
    }
    await wait(POLL_INTERVAL_MS);
  }
}

function getLaggingHosts({ hosts }: HostsAnswer, revision: number): string[] {
  return hosts
    .filter((host) => host.isReachable && host.configurationRevision < revision)
    .map(({ host }) => host);
}

function describeRevisionInForce({ hosts }: HostsAnswer, revision: number): string {
  const unreachable = hosts.filter(({ isReachable }) => !isReachable).map(({ host }) => host);
  const text = `revision ${revision} is in force on every reachable host`;
  return unreachable.length === 0 ? text : `${text}; not reachable: ${unreachable.join(', ')}`;
}
