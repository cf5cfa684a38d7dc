import { describe, expect, it } from 'vitest';
import { EventSplitter } from '../../src/gatewayHost/eventSplitter.ts';

interface Split {
  events: string[];
  ids: (string | undefined)[];
  rest: string;
  isWithinEvent: boolean;
}

function split(chunks: string[]): Split {
  const splitter = EventSplitter.create();
  const events = chunks.flatMap((chunk) => splitter.push(Buffer.from(chunk)));
  const { isWithinEvent } = splitter;
  return {
    events: events.map(({ bytes }) => bytes.toString()),
    ids: events.map(({ id }) => id),
    rest: splitter.takeRemainder().toString(),
    isWithinEvent,
  };
}

// Guards against half events that pass for whole ones, and whole ones that are withheld.
describe('EventSplitter', () => {
  it.each<[string, string, string[], (string | undefined)[], string, boolean]>([
    ['LF', 'id: 1\ndata: a\n\n', ['id: 1\ndata: a\n\n'], ['1'], '', false],
    ['CRLF', 'id: 1\r\ndata: a\r\n\r\n', ['id: 1\r\ndata: a\r\n\r\n'], ['1'], '', false],
    ['CR', 'id: 1\rdata: a\r\r', ['id: 1\rdata: a\r\r'], ['1'], '', false],
    ['CR after LF', 'data: a\n\r\ndata: b', ['data: a\n\r\n'], [undefined], 'data: b', true],
    ['two events', 'data: a\r\rid:2\r\r', ['data: a\r\r', 'id:2\r\r'], [undefined, '2'], '', false],
    ['several ids', 'id: 1\nid: 2\ndata\n\n', ['id: 1\nid: 2\ndata\n\n'], ['2'], '', false],
    ['an empty id', 'id:\ndata: a\n\n', ['id:\ndata: a\n\n'], [undefined], '', false],
    ['an id in other octets', 'id: é\n\n', ['id: é\n\n'], ['\xc3\xa9'], '', false],
    ['an id that no header carries', 'id: \x01\n\n', ['id: \x01\n\n'], [undefined], '', false],
    ['a byte order mark', '\uFEFFid: 1\n\n', ['\uFEFFid: 1\n\n'], ['1'], '', false],
    ['a comment at the end', 'id: 1\n\n: bye\r\n', ['id: 1\n\n'], ['1'], ': bye\r\n', false],
    ['half a comment', 'id: 1\n\n: by', ['id: 1\n\n'], ['1'], ': by', true],
    ['half a line', 'id: 1\n\nid', ['id: 1\n\n'], ['1'], 'id', true],
    ['no empty line', 'id: 1\ndata: a\n', [], [], 'id: 1\ndata: a\n', true],
    ['no empty line, CRLF', 'id: 1\r\ndata: a\r\n', [], [], 'id: 1\r\ndata: a\r\n', true],
    ['no empty line, CR', 'id: 1\rdata: a\r', [], [], 'id: 1\rdata: a\r', true],
    ['nothing', '', [], [], '', false],
  ])('%s, whole and byte by byte', (_name, text, events, ids, rest, isWithinEvent) => {
    expect(split([text])).toEqual({ events, ids, rest, isWithinEvent });
    // Split within characters, too.
    const bytes = [...Buffer.from(text)].map((byte) => Buffer.from([byte]));
    const splitter = EventSplitter.create();
    const single = bytes.flatMap((byte) => splitter.push(byte));
    expect(single.map(({ id }) => id)).toEqual(ids);
    expect(splitter.isWithinEvent).toBe(isWithinEvent);
    const joined = Buffer.concat([...single.map((event) => event.bytes), splitter.takeRemainder()]);
    expect(joined.toString()).toBe(text);
  });
});
