import type { EffectRunners } from '../context.ts';

type PeerEffect = 'sendMessage' | 'openLink' | 'closeLink';

/** Runners of the effects on peer links. */
export const peerRunners: EffectRunners<PeerEffect> = {
  sendMessage: (context, { to, message }) => {
    const { id } = context.state.host;
    if (to === id) context.dispatch({ type: 'messageReceived', from: id, message });
    else context.links.send(to, message);
  },
  openLink: (context, { host, address }) => context.links.open(host, address),
  closeLink: (context, { host }) => context.links.close(host),
};
