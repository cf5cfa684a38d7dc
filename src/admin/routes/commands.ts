import { Err, Ok, type Result } from '../../base/result.ts';
import { parseIntent } from '../../configuration/intent.ts';
import { DraftState } from '../../drafts/types.ts';
import { Failure } from '../../errors/failure.ts';
import { MAX_AUDIT_PAGE_SIZE } from '../../operators/constants.ts';
import type { OperatorCommand } from '../../operators/types.ts';
import type { CommandRequest, CommandRoute, CommandRefusal } from '../types.ts';

const DEFAULT_AUDIT_PAGE_SIZE = 50;
/** Restricts ids from operators, because they become parts of row keys. */
const ID_PATTERN = /^[a-zA-Z0-9][a-zA-Z0-9._-]{0,127}$/;

/** Keys of suspects are the texts of callers in part, as prompt parts are. */
const SUSPECT_PATTERN = /^[\x21-\x7e]{1,256}$/;

/** Routes for suspects, which gateways take as well. */
export const suspectRoutes: readonly CommandRoute[] = [
  { method: 'GET', path: '/v1/suspects', getCommand: () => Ok({ type: 'listSuspects' }) },
  {
    method: 'DELETE',
    path: '/v1/suspects/:id',
    getCommand: (request) =>
      getSuspect(request).map((attribute) => ({ type: 'clearSuspect', attribute })),
  },
];

/** Routes that need an operator's key. */
export const commandRoutes: readonly CommandRoute[] = [
  { method: 'GET', path: '/v1/configuration', getCommand: () => Ok({ type: 'showConfiguration' }) },
  { method: 'POST', path: '/v1/plans', getCommand: (request) => getPlanCommand(request) },
  {
    method: 'GET',
    path: '/v1/plans/:id',
    getCommand: (request) => getId(request).map((plan) => ({ type: 'showPlan', plan })),
  },
  {
    method: 'POST',
    path: '/v1/plans/:id/confirm',
    getCommand: (request) => getId(request).map((plan) => ({ type: 'confirmPlan', plan })),
  },
  { method: 'GET', path: '/v1/audit', getCommand: (request) => getAuditCommand(request) },
  { method: 'GET', path: '/v1/hosts', getCommand: () => Ok({ type: 'listHosts' }) },
  { method: 'GET', path: '/v1/engines', getCommand: () => Ok({ type: 'listEngines' }) },
  ...suspectRoutes,
  { method: 'GET', path: '/v1/drafts', getCommand: (request) => getDraftsCommand(request) },
  {
    method: 'POST',
    path: '/v1/drafts/:id/retry',
    getCommand: (request) => getId(request).map((draft) => ({ type: 'retryDraft', draft })),
  },
  {
    method: 'DELETE',
    path: '/v1/drafts/:id',
    getCommand: (request) => getId(request).map((draft) => ({ type: 'deleteDraft', draft })),
  },
];

async function getPlanCommand({
  readBody,
}: CommandRequest): Promise<Result<OperatorCommand, CommandRefusal>> {
  const body = await readBody();
  if (body.err) return Err({ failure: body.val, details: [] });
  const intent = parseIntent(body.val.toString('utf8'));
  if (intent.ok) return Ok({ type: 'makePlan', intent: intent.val });
  const failure = Failure.create('invalid_intent', 'the intent is not valid');
  return Err({ failure, details: intent.val });
}

function getAuditCommand({ query }: CommandRequest): Result<OperatorCommand, CommandRefusal> {
  const after = query.get('after') ?? undefined;
  const limit = query.get('limit') ?? String(DEFAULT_AUDIT_PAGE_SIZE);
  if (!/^\d{1,3}$/.test(limit) || Number(limit) < 1 || Number(limit) > MAX_AUDIT_PAGE_SIZE) {
    return refuse('limit', limit, `a whole number from 1 to ${MAX_AUDIT_PAGE_SIZE}`);
  }
  if (after !== undefined && !ID_PATTERN.test(after)) {
    return refuse('after', after, 'the id of an audit entry');
  }
  return Ok({ type: 'listAudit', after, limit: Number(limit) });
}

function getDraftsCommand({ query }: CommandRequest): Result<OperatorCommand, CommandRefusal> {
  const state = DraftState.safeParse(query.get('state') ?? 'poison');
  if (!state.success) {
    return refuse('state', query.get('state') ?? '', DraftState.options.join(', '));
  }
  const after = query.get('after') ?? '';
  if (!/^[a-zA-Z0-9/%._-]{0,512}$/.test(after)) {
    return refuse('after', after, 'the value of "next" in the previous page');
  }
  return Ok({ type: 'listDrafts', state: state.data, after });
}

function getId({ params }: CommandRequest): Result<string, CommandRefusal> {
  const id = params.id ?? '';
  return ID_PATTERN.test(id)
    ? Ok(id)
    : refuse(
        'id',
        id,
        'at most 128 letters, digits, ".", "_" and "-", the first a letter or digit',
      );
}

function getSuspect({ params }: CommandRequest): Result<string, CommandRefusal> {
  const id = params.id ?? '';
  return SUSPECT_PATTERN.test(id)
    ? Ok(id)
    : refuse('id', id, 'at most 256 printable ASCII characters without spaces');
}

function refuse(param: string, value: string, allowed: string): Result<never, CommandRefusal> {
  const message = `${param} is ${JSON.stringify(value)}, allowed: ${allowed}`;
  return Err({ failure: Failure.create('bad_request', message, { param }), details: [] });
}
