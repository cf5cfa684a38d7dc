import { getTable } from '../format.ts';
import { newQueryCommand } from '../operatorCommand.ts';
import { HostsAnswer } from '../schemas.ts';

export const hosts = newQueryCommand({
  summary: 'List the hosts and the revision that each has.',
  schema: HostsAnswer,
  getCall: () => ({ method: 'GET', path: '/v1/hosts' }),
  getText: (answer) =>
    getTable(
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
