import { afterEach, beforeEach, expect, it } from 'vitest';
import { GatewayDeployment, MODEL } from '../gatewayHost/deployment.ts';
import { GatewayProcess } from '../helpers/gatewayProcess.ts';
import { FIN, getRawHead, type RawAnswer, RawEndpoint, RESET } from '../helpers/rawEndpoint.ts';
import { startStandIn, waitUntil } from '../support.ts';

/** A header value with an octet that no ASCII character has, as HTTP allows. */
const OTHER_OCTET = `server: ${Buffer.from([0xeb]).toString('latin1')}oji`;

/** Time for which the sound endpoint works on a request, in which the other one answers. */
const WORK_MS = 300;

/** Streams that end with their connection before the first event. */
const GARBLED: [string, RawAnswer][] = [
  ['closed after its head', (request) => [getRawHead(request, OTHER_OCTET), FIN]],
  ['reset after its head', (request) => [getRawHead(request, OTHER_OCTET), RESET]],
  [
    'closed after an event',
    (request) => [`${getRawHead(request, OTHER_OCTET)}id: 1\ndata: a\n\n`, FIN],
  ],
];

let deployment: GatewayDeployment;
let gateway: GatewayProcess;
let engine: RawEndpoint;

beforeEach(async () => {
  deployment = await GatewayDeployment.create();
  deployment.configure(1);
  const desk = RawEndpoint.create((request) => [
    WORK_MS,
    `${getRawHead(request, 'content-length: 2')}ok`,
  ]);
  deployment.register('desk', 'd1', await startStandIn(desk));
  engine = RawEndpoint.create(() => []);
  deployment.register('llm', 'e1', await startStandIn(engine));
  gateway = await GatewayProcess.start('h0', deployment.storeAddress);
  deployment.fronts.push(gateway.frontAddress);
  await waitUntil(async () => (await gateway.getReadyStatus()) === 200);
});

afterEach(() => gateway.kill());

// Guards against a process that one answer of one endpoint ends, with the requests to all others.
it.each(GARBLED)(
  'a response with other octets that is %s does not cost requests to other endpoints',
  async (_name, answer) => {
    engine.plannedAnswers.push(answer);
    const bookings = Array.from({ length: 8 }, () => deployment.send({ path: '/booking/1' }));
    const garbled = await deployment.stream('/labels/1', undefined);
    expect(garbled.error !== undefined || garbled.status > 0).toBe(true);
    for (const booking of await Promise.all(bookings)) expect(booking.status).toBe(200);
    expect(gateway.isRunning).toBe(true);
    expect(engine.requests.some(({ headers }) => headers.model === MODEL)).toBe(true);
  },
);
