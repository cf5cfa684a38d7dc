import { expect, it } from 'vitest';
import { getOwners, HOSTS, sendToAll, startDeployment } from '../helpers/hostTraffic.ts';
import type { GatewayDeployment } from './deployment.ts';

const DOWN_MS = 2_500;

/** Returns the epochs of the members row that the hosts know; it rises with each change of owners. */
function getEpochs({ hosts }: GatewayDeployment): (number | undefined)[] {
  return hosts.map(({ state }) => state.owners.row?.epoch);
}

// Guards against engines that get another owner, which waits before its first order, because they are down.
it('an engine that is down keeps its owner', async () => {
  const { deployment, links } = await startDeployment('loads');
  await sendToAll(deployment, 'loads', 300);
  const owners = getOwners(deployment);
  const epochs = getEpochs(deployment);
  const answers = sendToAll(deployment, 'loads', DOWN_MS);
  await links.stop('e0', HOSTS, DOWN_MS);
  expect(getOwners(deployment)).toEqual(owners);
  expect(getEpochs(deployment)).toEqual(epochs);
  await answers;
});
