import type { State } from '../../core/state.ts';
import type { HostEntry } from '../../membership/types.ts';
import { answerWithResult, type CommandHandler } from '../answer.ts';

/** Lists the hosts known to this host, itself first. */
export const listHosts: CommandHandler<'listHosts'> = (state, request) => {
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
  return answerWithResult(state, request, { hosts: [own, ...others] });
};

/**
 * Whether a host is reachable: one of this host's zone while it is linked, one of another zone until
 * gossip marks it as gone.
 */
function isReachable(state: State, entry: HostEntry): boolean {
  if (entry.state === 'gone') return false;
  return entry.zone !== state.host.zone || state.membership.linkedHosts.has(entry.host);
}
