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

/** Makes a call to a host's listener for operators. */
export async function callOperatorApi(
  operators: string,
  method: string,
  path: string,
  body?: unknown,
): Promise<OperatorResponse> {
  const received = await sendRequest({
    address: operators,
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

/** Returns the revision in force on a host, or undefined when it does not answer. */
export async function getRevision(operators: string): Promise<number | undefined> {
  const { body } = await callOperatorApi(operators, 'GET', '/v1/configuration');
  return ConfigurationResponse.safeParse(body).data?.revision;
}

/** Returns the host that `operators` takes for the owner of `engine`; null when it knows none. */
export async function getEngineOwner(operators: string, engine: string): Promise<string | null> {
  return (await getEngine(operators, engine))?.owner ?? null;
}

/** Returns the state that a host sees an engine in. */
export async function getEngineState(
  operators: string,
  engine: string,
): Promise<string | undefined> {
  return (await getEngine(operators, engine))?.state;
}

async function getEngine(operators: string, engine: string) {
  const { body } = await callOperatorApi(operators, 'GET', '/v1/engines');
  return EnginesResponse.safeParse(body).data?.engines.find(({ id }) => id === engine);
}

/** Whether the load balancer would send callers to the host. */
export async function isHostReady(operators: string): Promise<boolean> {
  return (await callOperatorApi(operators, 'GET', '/readyz')).status === 200;
}

/** Submits an intent; returns the plan's id. */
export async function submitPlan(operators: string, intent: unknown): Promise<string> {
  const answer = await callOperatorApi(operators, 'POST', '/v1/plans', intent);
  const parsed = PlanResponse.safeParse(answer.body);
  if (!parsed.success) throw new Error(`no plan was made: ${JSON.stringify(answer)}`);
  return parsed.data.id;
}

export function confirmPlan(operators: string, id: string): Promise<OperatorResponse> {
  return callOperatorApi(operators, 'POST', `/v1/plans/${id}/confirm`);
}

/** Submits and confirms an intent; returns the new revision. */
export async function applyIntent(operators: string, intent: unknown): Promise<number> {
  const answer = await confirmPlan(operators, await submitPlan(operators, intent));
  const parsed = ConfirmResponse.safeParse(answer.body);
  if (!parsed.success) throw new Error(`the plan was not confirmed: ${JSON.stringify(answer)}`);
  return parsed.data.revision;
}
