import { z } from 'zod';
import { type ReceivedCall, parseJson, type Reply } from '../server.ts';
import type { Engine } from './engine.ts';
import type { OrderResult } from './adapterSlots.ts';
import type { EngineRecords } from './records.ts';

type Route = (engine: Engine, call: ReceivedCall) => Reply | undefined | Promise<Reply | undefined>;

const LoadBody = z.looseObject({ lora_name: z.string(), lora_path: z.string() });
const UnloadBody = z.looseObject({ lora_name: z.string() });
const RoleBody = z.looseObject({ role: z.enum(['mixed', 'prefill', 'decode']) });
const BlocksBody = z.looseObject({ blocks: z.array(z.int()) });

/** Returns a route that parses an order, checks its fencing number, executes and records it. */
function newOrderRoute<T>(
  type: EngineRecords['orders'][number]['type'],
  schema: z.ZodType<T>,
  getSubject: (body: T) => string,
  execute: (engine: Engine, body: T) => OrderResult | Promise<OrderResult>,
): Route {
  return async (engine, call) => {
    const parsed = schema.safeParse(parseJson(call));
    if (!parsed.success)
      return { status: 400, body: { error: { message: `invalid ${type} order` } } };
    const header = call.headers['x-fencing-number'];
    const fencingNumber = header === undefined ? undefined : Number(header);
    const subject = getSubject(parsed.data);
    const order = { type, subject, fencingNumber, status: 0 };
    engine.records.orders.push(order);
    const isStale = fencingNumber !== undefined && fencingNumber < engine.fencingNumber;
    if (fencingNumber !== undefined && !isStale) engine.fencingNumber = fencingNumber;
    const { status, message } =
      isStale && engine.options.checksFencing
        ? {
            status: 409,
            message: `fencing number ${fencingNumber} is lower than ${engine.fencingNumber}, the highest one received`,
          }
        : await execute(engine, parsed.data);
    order.status = status;
    engine.updateLoadReport();
    return { status, body: status === 200 ? { message: 'done' } : { error: { message } } };
  };
}

function unload(engine: Engine, model: string): OrderResult {
  if (!engine.adapters.residents.delete(model))
    return { status: 404, message: `adapter "${model}" is not resident` };
  const inUseBy = engine.getActiveJobs(model).map(({ id }) => id);
  engine.records.evictions.push({ model, bootId: engine.bootId, inUseBy });
  return { status: 200 };
}

function formatMetrics(engine: Engine): string {
  const { running, waiting, slots } = engine.getLoadReport();
  const count = Object.values(running).reduce((sum, number) => sum + number, 0);
  const names = Object.keys(running).join(',');
  return [
    '# TYPE vllm:num_requests_running gauge',
    `vllm:num_requests_running ${count}`,
    '# TYPE vllm:num_requests_waiting gauge',
    `vllm:num_requests_waiting ${waiting}`,
    '# TYPE vllm:lora_requests_info gauge',
    `vllm:lora_requests_info{running_lora_adapters="${names}",waiting_lora_adapters="",max_lora="${slots}"} 1`,
    '',
  ].join('\n');
}

function handleCompletion(engine: Engine, call: ReceivedCall): Reply | undefined {
  return engine.handleCompletion(call);
}

/** Routes by method and path. */
export const ROUTES: Record<string, Route | undefined> = {
  'POST /v1/completions': handleCompletion,
  'POST /v1/chat/completions': handleCompletion,
  'POST /v1/load_lora_adapter': newOrderRoute(
    'load',
    LoadBody,
    (body) => body.lora_name,
    (engine, { lora_name, lora_path }) =>
      engine.adapters.load(lora_name, lora_path, engine.faults.failLoadsOf.includes(lora_name)),
  ),
  'POST /v1/unload_lora_adapter': newOrderRoute(
    'unload',
    UnloadBody,
    (body) => body.lora_name,
    (engine, { lora_name }) => unload(engine, lora_name),
  ),
  'POST /role': newOrderRoute(
    'role',
    RoleBody,
    (body) => body.role,
    (engine, { role }) => {
      engine.role = role;
      return { status: 200 };
    },
  ),
  'GET /v1/models': (engine) => ({
    status: 200,
    body: {
      object: 'list',
      data: [...engine.adapters.residents].map((id) => ({ id, object: 'model', created: 0 })),
    },
  }),
  'GET /load': (engine) => ({ status: 200, body: engine.getLoadReport() }),
  'GET /metrics': (engine) => ({ status: 200, body: formatMetrics(engine) }),
  'GET /health': () => ({ status: 200 }),
  'GET /records': (engine) => ({ status: 200, body: engine.records }),
  'GET /kv_events': (engine, { query }) => ({
    status: 200,
    body: {
      bootId: engine.bootId,
      events: engine.cache.getEvents(Number(query.get('after') ?? '0')),
    },
  }),
  'POST /kv/export': (engine, call) => {
    const parsed = BlocksBody.safeParse(parseJson(call));
    if (!parsed.success) return { status: 400 };
    return { status: 200, body: { blocks: engine.cache.getCachedBlocks(parsed.data.blocks) } };
  },
  'POST /kv/import': (engine, call) => {
    const parsed = BlocksBody.safeParse(parseJson(call));
    if (!parsed.success) return { status: 400 };
    engine.cache.store(parsed.data.blocks);
    return { status: 200 };
  },
};
