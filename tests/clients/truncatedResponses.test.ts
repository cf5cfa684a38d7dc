import { describe, expect, it } from 'vitest';
import { EngineClient } from '../../src/clients/engineClient.ts';
import { HttpClient } from '../../src/clients/httpClient.ts';
import {
  EXIT,
  FIN,
  LAST_RAW_CHUNK,
  RESET,
  getRawChunk,
  getRawHead,
  type RawAnswer,
  RawEndpoint,
} from '../helpers/rawEndpoint.ts';
import { closeAfterTest, runCompletion, startStandIn } from '../support.ts';

const PAUSE_MS = 20;
const COMPLETION = JSON.stringify({ model: 'label@1', choices: [{ text: 'tea' }] });

const ANSWERS = {
  whole: (request) => [getRawHead(request), 'whole', PAUSE_MS, FIN],
  wholeAtOnce: (request) => [getRawHead(request) + 'whole', FIN],
  empty: (request) => [getRawHead(request), FIN],
  chunked: (request) => [
    getRawHead(request, 'transfer-encoding: chunked') + getRawChunk('whole') + LAST_RAW_CHUNK,
  ],
  reset: (request) => [getRawHead(request), 'whole', PAUSE_MS, RESET],
  resetAtOnce: (request) => [getRawHead(request) + 'whole', RESET],
  exit: (request) => [getRawHead(request), 'whole', PAUSE_MS, EXIT],
  exitAfterEnd: (request) => [getRawHead(request) + 'whole', FIN, 2, EXIT],
  shortLength: (request) => [getRawHead(request, 'content-length: 9') + 'whole', FIN],
  noLastChunk: (request) => [
    getRawHead(request, 'transfer-encoding: chunked') + getRawChunk('whole'),
    FIN,
  ],
} satisfies Record<string, RawAnswer>;

// Guards against rows, objects, drafts and results of actions that are stored or settled though they are cut.
describe('the answer to a call', () => {
  it.each<[string, RawAnswer, 'answered' | 'lost']>([
    ['without a length is complete', ANSWERS.whole, 'answered'],
    ['without a length that ends at once is complete', ANSWERS.wholeAtOnce, 'answered'],
    ['without a length may be empty', ANSWERS.empty, 'answered'],
    ['in chunks is complete', ANSWERS.chunked, 'answered'],
    ['without a length is lost by a reset', ANSWERS.reset, 'lost'],
    ['without a length is lost by a reset that comes with it', ANSWERS.resetAtOnce, 'lost'],
    ['without a length is lost if the server exits', ANSWERS.exit, 'lost'],
    ['without a length is lost if the server exits after it', ANSWERS.exitAfterEnd, 'lost'],
    ['that is shorter than its length is lost', ANSWERS.shortLength, 'lost'],
    ['without its last chunk is lost', ANSWERS.noLastChunk, 'lost'],
  ])('%s', async (_name, answer, type) => {
    const address = await startStandIn(RawEndpoint.create(answer));
    const client = closeAfterTest(HttpClient.create());
    for (const hasOwnConnection of [false, true]) {
      if (hasOwnConnection && type === 'lost') continue;
      const call = { address, method: 'GET', path: '/', timeoutMs: 5_000 } as const;
      const received = await client.call({ ...call, hasOwnConnection });
      expect(received.type).toBe(type);
    }
  });
});

describe('a completion that is not streamed', () => {
  it.each<[string, RawAnswer, 'completed' | 'broken']>([
    ['is complete without a length', (r) => [getRawHead(r) + COMPLETION, FIN], 'completed'],
    [
      'is broken if its engine exits after it',
      (r) => [getRawHead(r) + COMPLETION, FIN, 2, EXIT],
      'broken',
    ],
  ])('%s', async (_name, answer, type) => {
    const address = await startStandIn(RawEndpoint.create(answer));
    const client = closeAfterTest(EngineClient.create());
    const { ended } = runCompletion(client, address, { stream: false });
    expect((await ended).type).toBe(type);
  });
});
