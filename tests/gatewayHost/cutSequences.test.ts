import { setTimeout as sleep } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';
import type { Cut, EndpointLinks } from '../helpers/endpointLinks.ts';
import {
  countFailed,
  expectAtMostOnce,
  HOSTS,
  type Kind,
  MAX_FAILED_SHARE,
  sendToAll,
  startDeployment,
} from '../helpers/hostTraffic.ts';
import type { CallerResponse, GatewayDeployment } from './deployment.ts';

/** Time after which callers of a host that is cut off must be served as those of the others are. */
const STABLE_MS = 3_000;
/** Time for which the answers are counted. */
const COUNTED_MS = 1_500;
/** Time for which a short cut lasts, and time between two of them. */
const SHORT_CUT_MS = 1_000;
/** Time after the end of a cut from which all callers are served. */
const HEALED_MS = 1_500;

/** Hosts whose links are cut in a situation, with all that it needs. */
interface Situation {
  deployment: GatewayDeployment;
  links: EndpointLinks;
  kind: Kind;
  cut: Cut;
}

function expectServed(answers: CallerResponse[][], hosts: readonly number[]): void {
  for (const host of hosts) {
    const each = answers[host] ?? [];
    expect(countFailed(each) / each.length, `host ${host}`).toBeLessThanOrEqual(MAX_FAILED_SHARE);
  }
}

/** Cuts host 0 off; expects that it and `others` serve their callers some time later. */
async function cutFirstHost(
  { deployment, links, kind, cut }: Situation,
  others: readonly number[] = [1, 2],
): Promise<void> {
  await links.cut(0, cut);
  await sendToAll(deployment, kind, STABLE_MS);
  expectServed(await sendToAll(deployment, kind, COUNTED_MS), [0, ...others]);
}

const SITUATIONS: Record<string, (situation: Situation) => Promise<void>> = {
  'in series': async ({ deployment, links, kind, cut }) => {
    for (let times = 0; times < 3; times++) {
      await links.cut(0, cut);
      const cutOff = await sendToAll(deployment, kind, SHORT_CUT_MS);
      await links.heal(0);
      const healed = await sendToAll(deployment, kind, SHORT_CUT_MS);
      expectServed(cutOff, [1, 2]);
      expectServed(healed, [1, 2]);
    }
  },
  'from host to host': async ({ deployment, links, kind, cut }) => {
    for (let host = 0; host < HOSTS; host++) {
      await links.cut(host, cut);
      if (host > 0) await links.heal(host - 1);
      await sendToAll(deployment, kind, STABLE_MS);
      expectServed(await sendToAll(deployment, kind, COUNTED_MS), [0, 1, 2]);
    }
  },
  'while the store is down': async (situation) => {
    const { store } = situation.deployment;
    store.setFaults({ down: true });
    await cutFirstHost(situation);
    store.setFaults({ down: false });
  },
  'while another host stops': async (situation) => {
    const stopped = situation.deployment.hosts[1]?.stop();
    await cutFirstHost(situation, [2]);
    await stopped;
  },
  'while an endpoint leaves': async (situation) => {
    situation.links.leave('e0');
    await cutFirstHost(situation);
  },
  'while a host joins': async (situation) => {
    await situation.deployment.addHost();
    await cutFirstHost(situation);
  },
};

const CASES = Object.keys(SITUATIONS).flatMap((name) =>
  (
    [
      ['bookings', 'hang'],
      ['streams', 'reset'],
    ] as const
  ).map(([kind, cut]) => [name, kind, cut] as const),
);

// Guards against hosts that find out about a cut, or its end, only when nothing else happens.
describe('callers of hosts that are cut off from endpoints are served', () => {
  it.each(CASES)('%s, %s, links %s', async (name, kind, cut) => {
    const { deployment, links } = await startDeployment(kind);
    await sendToAll(deployment, kind, 300);
    await SITUATIONS[name]?.({ deployment, links, kind, cut });
    for (let host = 0; host < HOSTS; host++) await links.heal(host);
    await sleep(HEALED_MS);
    const running = name === 'while another host stops' ? [0, 2] : [0, 1, 2];
    const healed = await sendToAll(deployment, kind, 600);
    expect(running.map((host) => countFailed(healed[host] ?? []))).toEqual(running.map(() => 0));
    if (kind === 'bookings') expectAtMostOnce(links);
  });
});

// Guards against endpoints that are taken for dead while they are silent for a second and go on.
it.each(['bookings', 'streams'] as const)(
  'an endpoint that is silent for a second loses no requests, %s',
  async (kind) => {
    const { deployment, links } = await startDeployment(kind);
    await sendToAll(deployment, kind, 300);
    const before = deployment.hosts.map(({ state }) => state.owners.row?.epoch);
    const answers = sendToAll(deployment, kind, 3_000);
    await links.silence('e0', 1_000);
    expectServed(await answers, [0, 1, 2]);
    expect(deployment.hosts.map(({ state }) => state.owners.row?.epoch)).toEqual(before);
    if (kind === 'bookings') expectAtMostOnce(links);
  },
);
