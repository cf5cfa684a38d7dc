import { sendMessage } from '../core/sendMessage.ts';
import type { MessageHandlers } from '../core/handlers.ts';
import { resumeFoundStreams } from '../forwards/resumption.ts';
import { addStream, findStream, newStreamRecord } from './streamRecords.ts';

export const streamMessages: MessageHandlers<'streamsRecorded' | 'streamLookup'> = {
  streamsRecorded: (state, { streams }, _from, now) => {
    for (const stream of streams) addStream(state, stream, now);
    return resumeFoundStreams(state, now);
  },
  streamLookup: (state, { request, attempt, fingerprint }, from, now) => {
    const known = findStream(state, attempt, fingerprint, now);
    const stream = known === undefined ? undefined : newStreamRecord(known, now);
    return [sendMessage(state, from, { type: 'streamLookupAnswer', request, stream })];
  },
};
