import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'vitest';
import { type CallerResponse, GatewayDeployment } from '../gatewayHost/deployment.ts';
import { EndpointLinks, getSourceAddress } from './endpointLinks.ts';

/** Hosts of a deployment, each linked with the others, and endpoints behind links that can be cut. */
export const HOSTS = 3;
const ENDPOINTS = 2;
/** Time between two requests at one host. */
const INTERVAL_MS = 60;
/** Share of requests that may fail at hosts that are cut off. */
export const MAX_FAILED_SHARE = 1 / 50;

/** `loads` are `adapters` of which no two requests are alike. */
export type Kind = 'reads' | 'bookings' | 'streams' | 'adapters' | 'loads';

/** Requests at one host after which they name another adapter, which an engine then has to load. */
const REQUESTS_PER_ADAPTER = 10;

const SENDERS: Record<
  Kind,
  (deployment: GatewayDeployment, host: number, index: number) => Promise<CallerResponse>
> = {
  reads: (deployment, host) => deployment.send({ path: '/status/1' }, host),
  bookings: (deployment, host) => deployment.send({ path: '/booking/1', body: '{}' }, host),
  streams: (deployment, host) => deployment.stream('/notes/1', undefined, host),
  adapters: (deployment, host, index) => deployment.stream('/notes/1', getAdapter(index), host),
  loads: (deployment, host, index) =>
    deployment.stream('/notes/1', getAdapter(index), host, undefined, `[${index}]`),
};

function getAdapter(index: number): string {
  return `a${Math.floor(index / REQUESTS_PER_ADAPTER)}`;
}

/** Starts the hosts, and endpoints that serve requests of a kind. */
export async function startDeployment(kind: Kind) {
  const deployment = await GatewayDeployment.create();
  deployment.configure(1);
  const links = EndpointLinks.create(deployment);
  const service = kind === 'reads' || kind === 'bookings' ? 'desk' : 'llm';
  for (let index = 0; index < ENDPOINTS; index++) await links.addEndpoint(service, `e${index}`);
  for (let host = 0; host < HOSTS; host++)
    await deployment.addHost({ 'source-address': getSourceAddress(host) });
  await deployment.waitReady(ENDPOINTS);
  return { deployment, links };
}

let nextIndex = 0;

/** Sends requests to each host for some ms at an even rate; returns the answers by host. */
export async function sendToAll(
  deployment: GatewayDeployment,
  kind: Kind,
  ms: number,
): Promise<CallerResponse[][]> {
  const sent: Promise<CallerResponse>[][] = deployment.hosts.map(() => []);
  for (let index = 0; index < Math.floor(ms / INTERVAL_MS); index++) {
    for (const [host, answers] of sent.entries())
      answers.push(SENDERS[kind](deployment, host, nextIndex));
    nextIndex += 1;
    await sleep(INTERVAL_MS);
  }
  return Promise.all(sent.map((answers) => Promise.all(answers)));
}

/** Returns the indexes of the hosts, first those that own engines. */
export function getOwnersFirst({ hosts }: GatewayDeployment): number[] {
  const owned = hosts.map(({ state }) => state.residency.owned.size);
  return hosts.map((_, index) => index).sort((a, b) => (owned[b] ?? 0) - (owned[a] ?? 0));
}

/** Returns the engines that each host owns. */
export function getOwners({ hosts }: GatewayDeployment): string[][] {
  return hosts.map(({ state }) => [...state.residency.owned.keys()].sort());
}

/** Returns how many answers are not complete ones. */
export function countFailed(answers: CallerResponse[]): number {
  return answers.filter(({ status, error }) => status !== 200 || error !== undefined).length;
}

/** Expects that no request was executed twice. */
export function expectAtMostOnce({ endpoints }: EndpointLinks): void {
  const executed = endpoints
    .flatMap(({ calls }) => calls)
    .filter(({ isExecuted }) => isExecuted)
    .map(({ headers }) => headers['attempt-id']);
  expect(executed).toHaveLength(new Set(executed).size);
}
