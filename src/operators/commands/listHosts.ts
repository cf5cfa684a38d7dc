import type { State } from '../../core/state.ts';
import type { HostEntry } from '../../membership/types.ts';
import { answerWithResult, type CommandHandler } from '../answer.ts';

/** Lists the hosts that this host knows, itself first. */
export const listHosts: CommandHandler<'listHosts'> = (state, ask) => {
  const { host, membership, configuration } = state;
  const own = {
    host: host.id,
    zone: host.zone,
    region: host.region,
    address: host.address,
    incarnation: host.incarnation,
    state: membership.hosts.get(host.id)?.state ?? 'live',
    configurationRevision: configuration.revision,
    isReachable: true,
  };
  const others = [...membership.hosts.values()]
    .filter((entry) => entry.host !== host.id)
    .map((entry) => ({ ...entry, isReachable: isReachable(state, entry) }));
  return answerWithResult(state, ask, { hosts: [own, ...others] });
};

/** Hosts of the own zone are linked directly; others are judged by what their zone tells of them. */
function isReachable(state: State, entry: HostEntry): boolean {
  if (entry.state === 'gone') return false;
  return entry.zone !== state.host.zone || state.membership.linkedHosts.has(entry.host);
}
