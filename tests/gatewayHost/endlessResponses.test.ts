import { beforeEach, describe, expect, it } from 'vitest';
import type {
  EndpointBehaviour,
  PlatformEndpoint,
} from '../../stand-ins/platform/platformEndpoint.ts';
import { waitUntil } from '../support.ts';
import { GatewayDeployment } from './deployment.ts';

/** Most bytes that an endpoint may have sent, including what sockets buffer. */
const MAX_BYTES = 32 * 1024 * 1024;
const MAX_ANSWER_MS = 2_000;

// Guards against hosts that read on until their memory is full, or keep such a connection open.
describe('a response without end is cut off', () => {
  let deployment: GatewayDeployment;
  let endpoints: PlatformEndpoint[];

  beforeEach(async () => {
    deployment = await GatewayDeployment.create();
    deployment.configure(1);
    endpoints = [await deployment.addServer('desk', 'd1'), await deployment.addServer('llm', 'e1')];
    await deployment.addHost();
    await deployment.waitReady(2);
  });

  function getSum(select: (endpoint: PlatformEndpoint) => number): number {
    return endpoints.reduce((sum, endpoint) => sum + select(endpoint), 0);
  }

  it.each<[string, EndpointBehaviour, string, number]>([
    ['in place of a head', 'endlessBytes', '/booking/1', 502],
    ['in its headers', 'endlessHeaders', '/booking/1', 502],
    ['in its body', 'endlessBody', '/booking/1', 502],
    ['in the body of a refusal', 'endlessShed', '/booking/1', 200],
    ['in place of the head of a stream', 'endlessBytes', '/labels/1', 502],
    ['within an event of a stream', 'endlessBody', '/labels/1', 502],
    ['in comments of a stream', 'endlessComments', '/labels/1', 502],
    ['in empty lines of a stream', 'endlessLines', '/labels/1', 502],
  ])('%s', async (_name, behaviour, path, status) => {
    for (const { plannedBehaviours } of endpoints) plannedBehaviours.push(behaviour);
    const startedAt = performance.now();
    const isStream = path.startsWith('/labels/');
    const answer = await (isStream
      ? deployment.stream(path, undefined)
      : deployment.send({ path }));
    expect(answer.status).toBe(status);
    expect(performance.now() - startedAt).toBeLessThan(MAX_ANSWER_MS);
    await waitUntil(() => getSum(({ openEndless }) => openEndless) === 0);
    expect(getSum(({ endlessBytes }) => endlessBytes)).toBeLessThan(MAX_BYTES);
  });

  // Guards against comments that begin the response, after which no other engine could serve the request.
  it.each<[string, EndpointBehaviour]>([
    ['comments', 'endlessComments'],
    ['empty lines', 'endlessLines'],
  ])('%s in place of events leave the request to another engine', async (_name, behaviour) => {
    endpoints.push(await deployment.addServer('llm', 'e2'));
    await deployment.waitReady(3);
    const [, first, second] = endpoints;
    first?.plannedBehaviours.push(behaviour);
    second?.plannedBehaviours.push('serve');
    const answers = [
      await deployment.stream('/notes/1', undefined),
      await deployment.stream('/notes/2', undefined),
    ];
    expect(answers.map(({ status, error }) => [status, error])).toEqual([
      [200, undefined],
      [200, undefined],
    ]);
  });
});
