import { sha256 } from '../../src/base/hash.ts';
import { getQuickstartSettings, startQuickstartPlatform } from '../../src/cli/quickstart.ts';
import { EntryHost } from '../../src/host/entryHost.ts';
import { isReady } from '../../src/core/lifecycle.ts';
import { describeSettingProblems, parseEntrySettings } from '../../src/settings/parse.ts';
import { ERROR_RESPONSES, type ErrorKind } from '../../src/errors/kinds.ts';
import { cleanUpAfterTest, waitUntil } from '../support.ts';
import { type HttpResponse, sendRequest, type HttpRequest } from './httpRequest.ts';
import { afterAll, beforeAll, beforeEach, expect } from 'vitest';

const KEYS = [
  { name: 'demo', firm: 'demo', role: 'caller', sha256: sha256('demo-caller') },
  { name: 'rival', firm: 'rival', role: 'caller', sha256: sha256('rival-caller') },
  { name: 'demo', firm: 'demo', role: 'operator', sha256: sha256('demo-operator') },
];

export const AUTHORIZED = { authorization: 'Bearer demo-caller' };

export type EntryHostFixture = Awaited<ReturnType<typeof openEntryHost>>;

/** Starts one entry host, which is stopped after the test. */
export async function startEntryHost(
  settings: Record<string, string> = {},
): Promise<EntryHostFixture> {
  const fixture = await openEntryHost(settings);
  cleanUpAfterTest(fixture.close);
  return fixture;
}

/** Starts one entry host for all tests of a file or group; clears the stand-ins' records before each. */
export function useEntryHost(settings: Record<string, string> = {}): () => EntryHostFixture {
  let fixture: EntryHostFixture;
  beforeAll(async () => {
    fixture = await openEntryHost(settings);
  });
  beforeEach(() => {
    fixture.service.records.length = 0;
    for (const { records } of fixture.engines) records.runs.length = 0;
  });
  afterAll(() => fixture.close());
  return () => fixture;
}

/** Starts one entry host in this process, on the stand-ins of `quickstart`. */
async function openEntryHost(settings: Record<string, string>) {
  const platform = await startQuickstartPlatform();
  const parsed = parseEntrySettings([], {
    ...getQuickstartSettings(platform),
    FIREFLYWICK_CALLER_LISTEN: '127.0.0.1:0',
    FIREFLYWICK_OPERATOR_LISTEN: '127.0.0.1:0',
    FIREFLYWICK_PEER_LISTEN: '127.0.0.1:0',
    FIREFLYWICK_LOADS_PER_SECOND: '1000',
    FIREFLYWICK_LAME_DUCK: '0ms',
    FIREFLYWICK_LOG_LEVEL: 'error',
    FIREFLYWICK_KEYS: JSON.stringify(KEYS),
    ...settings,
  });
  if (parsed.err) throw new Error(describeSettingProblems(parsed.val));
  const host = EntryHost.create(parsed.val);
  const { callerPort, operatorPort } = await host.start();
  let stopping: Promise<void> | undefined;
  const stop = () => (stopping ??= host.stop());
  // A host may be ready before it owns the engines of its zone; until then it refuses requests.
  await waitUntil(
    () => isReady(host.state) && host.state.grants.owned.size === platform.engines.length,
  );
  const address = `127.0.0.1:${callerPort}`;
  return {
    ...platform,
    host,
    stop,
    close: async () => {
      await stop();
      await platform.stop();
    },
    address,
    operatorAddress: `127.0.0.1:${operatorPort}`,
    /** Sends a request with the key of the demo caller to the caller port. */
    sendAuthorized: (sent: Partial<HttpRequest>) =>
      sendRequest({
        address,
        method: 'POST',
        path: '/v1/completions',
        ...sent,
        headers: { ...AUTHORIZED, ...sent.headers },
      }),
  };
}

/** Checks status, kind, outcome, message and Retry-After of an error response. */
export function expectErrorResponse(
  received: HttpResponse,
  kind: ErrorKind,
  message: RegExp,
): void {
  const answer: { status: number; outcome: string; retryAfterS?: number } = ERROR_RESPONSES[kind];
  const { error } = JSON.parse(received.body) as { error: Record<string, unknown> };
  expect(error).toMatchObject({ kind, code: kind, outcome: answer.outcome });
  expect(error.message).toMatch(message);
  expect(received.status).toBe(answer.status);
  const retryAfter = answer.retryAfterS === undefined ? undefined : String(answer.retryAfterS);
  expect(received.headers['retry-after']).toBe(retryAfter);
}
