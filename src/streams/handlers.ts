import { sendMessage } from '../core/sendMessage.ts';
import type { MessageHandlers, TimerHandlers } from '../core/handlers.ts';
import { resumeFoundStreams } from '../forwards/resumption.ts';
import { updateVersionSplits } from './splitsRow.ts';
import { addStream, findStream, newStreamRecord } from './streamRecords.ts';
import type { VersionSplitTimer } from './types.ts';

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

export const streamTimers: TimerHandlers<VersionSplitTimer['type']> = {
  updateVersionSplits: (state, _timer, now) => updateVersionSplits(state, now),
};
