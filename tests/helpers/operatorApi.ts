import { z } from 'zod';
import { OPERATOR_KEY } from './callers.ts';
import { sendRequest } from './httpRequest.ts';

const PlanResponse = z.object({ id: z.string() });
const ConfirmResponse = z.object({ revision: z.int() });
const EnginesResponse = z.object({
  engines: z.array(z.object({ id: z.string(), owner: z.string().nullable(), state: z.string() })),
});
const ConfigurationResponse = z.object({ revision: z.int() });

export interface OperatorResponse {
  status: number | undefined;
  body: unknown;
}

/** Calls the operators' API of a host with the operator key of the tests. */
export async function callOperatorApi(
  operatorAddress: string,
  method: string,
  path: string,
  body?: unknown,
): Promise<OperatorResponse> {
  const received = await sendRequest({
    address: operatorAddress,
    method,
    path,
    headers: { authorization: `Bearer ${OPERATOR_KEY}`, 'content-type': 'application/json' },
    body: body === undefined ? undefined : JSON.stringify(body),
    signal: AbortSignal.timeout(10_000),
  });
  let parsed: unknown;
  try {
    parsed = JSON.parse(received.body);
  } catch {
    parsed = received.body;
  }
  return { status: received.status, body: parsed };
}

/** Returns the revision in force on a host; undefined if the host does not answer. */
export async function getRevision(operatorAddress: string): Promise<number | undefined> {
  const { body } = await callOperatorApi(operatorAddress, 'GET', '/v1/configuration');
  return ConfigurationResponse.safeParse(body).data?.revision;
}

/** Returns the owner of `engine` that a host reports; null if it reports none. */
export async function getEngineOwner(
  operatorAddress: string,
  engine: string,
): Promise<string | null> {
  return (await getEngine(operatorAddress, engine))?.owner ?? null;
}

/** Returns the state of `engine` that a host reports; undefined if it reports none. */
export async function getEngineState(
  operatorAddress: string,
  engine: string,
): Promise<string | undefined> {
  return (await getEngine(operatorAddress, engine))?.state;
}

async function getEngine(operatorAddress: string, engine: string) {
  const { body } = await callOperatorApi(operatorAddress, 'GET', '/v1/engines');
  return EnginesResponse.safeParse(body).data?.engines.find(({ id }) => id === engine);
}

/** Returns whether the readiness check of the host succeeds. */
export async function isHostReady(operatorAddress: string): Promise<boolean> {
  return (await callOperatorApi(operatorAddress, 'GET', '/readyz')).status === 200;
}

/** Submits an intent; returns the id of the plan. */
export async function submitPlan(operatorAddress: string, intent: unknown): Promise<string> {
  const answer = await callOperatorApi(operatorAddress, 'POST', '/v1/plans', intent);
  const parsed = PlanResponse.safeParse(answer.body);
  if (!parsed.success) throw new Error(`the host did not return a plan: ${JSON.stringify(answer)}`);
  return parsed.data.id;
}

export function confirmPlan(operatorAddress: string, id: string): Promise<OperatorResponse> {
  return callOperatorApi(operatorAddress, 'POST', `/v1/plans/${id}/confirm`);
}

/** Submits an intent and confirms its plan; returns the new revision. */
export async function applyIntent(operatorAddress: string, intent: unknown): Promise<number> {
  const answer = await confirmPlan(operatorAddress, await submitPlan(operatorAddress, intent));
  const parsed = ConfirmResponse.safeParse(answer.body);
  if (!parsed.success)
    throw new Error(`the host did not confirm the plan: ${JSON.stringify(answer)}`);
  return parsed.data.revision;
}
