import { formatTable } from '../format.ts';
import { newOperatorCommand } from '../operatorCommand.ts';
import { HostsAnswer } from '../schemas.ts';

export const hosts = newOperatorCommand({
  summary: 'List the hosts and the revision that each has.',
  schema: HostsAnswer,
  getCall: () => ({ method: 'GET', path: '/v1/hosts' }),
  formatAnswer: (answer) =>
    formatTable(
      ['HOST', 'ZONE', 'STATE', 'REACHABLE', 'REVISION', 'ADDRESS'],
      answer.hosts.map((host) => [
        host.host,
        host.zone,
        host.state,
        host.isReachable ? 'yes' : 'no',
        String(host.configurationRevision),
        host.address,
      ]),
    ),
});
