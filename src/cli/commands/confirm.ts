import { setTimeout as wait } from 'node:timers/promises';
import type { AdminClient } from '../adminClient.ts';
import { printAnswer, printFailure, withAdminClient } from '../operatorCommand.ts';
import { ConfirmAnswer, HostsAnswer } from '../schemas.ts';
import { type Command, type ExitCode, type Invocation, JSON_SWITCH } from '../types.ts';

const WAIT_INTERVAL_MS = 500;
const WAIT_LIMIT_MS = 60_000;

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

/** Waits until every reachable host has `revision`; progress goes to standard error. */
async function waitForHosts(
  invocation: Invocation,
  client: AdminClient,
  revision: number,
): Promise<ExitCode> {
  const until = performance.now() + WAIT_LIMIT_MS;
  let last = '';
  for (;;) {
    const answer = await client.call({ method: 'GET', path: '/v1/hosts' }, HostsAnswer);
    const behind = answer.ok ? getBehind(answer.val, revision) : undefined;
    if (answer.ok && behind?.length === 0) {
      invocation.err(getDoneText(answer.val, revision));
      return 0;
    }
    const progress =
      answer.ok && behind !== undefined
        ? `${answer.val.hosts.length - behind.length} of ${answer.val.hosts.length} hosts have revision ${revision}; waiting for ${behind.join(', ')}`
        : `the hosts are not known: ${answer.err ? answer.val.message : ''}`;
    if (progress !== last) invocation.err(progress);
    last = progress;
    if (performance.now() > until) {
      const message = `not every host has revision ${revision} after ${WAIT_LIMIT_MS / 1_000} s`;
      return printFailure(invocation, { message, details: behind ?? [] });
    }
    await wait(WAIT_INTERVAL_MS);
  }
}

function getBehind({ hosts }: HostsAnswer, revision: number): string[] {
  return hosts
    .filter((host) => host.isReachable && host.configurationRevision < revision)
    .map(({ host }) => host);
}

function getDoneText({ hosts }: HostsAnswer, revision: number): string {
  const unreachable = hosts.filter(({ isReachable }) => !isReachable).map(({ host }) => host);
  const text = `revision ${revision} is in force on every reachable host`;
  return unreachable.length === 0 ? text : `${text}; not reachable: ${unreachable.join(', ')}`;
}
