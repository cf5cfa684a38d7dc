/** A line of an event: a comment, or a field whose name is a token. */
const LINE = /^(?::|[!#$%&'*+.^_`|~\w-]+(?::|$))/;
/** A line that belongs to an event stream, and one of an event that tells its caller something. */
const EVENT_FIELD = /^(?:data|id|event|retry)(?::|$)/;
const CONTENT_FIELD = /^(?:data|id)(?::|$)/;
const LINE_END = /\r\n|\r|\n/;
const BYTE_ORDER_MARK = '\xEF\xBB\xBF';

/**
 * What a block of lines is. A `filler` holds neither data nor an id, only comments, empty lines and the like: it
 * tells nothing, so that it does not begin the response to a caller. The text or the head of an error that an
 * endpoint writes into the body of its stream is `malformed`.
 */
export type BlockKind = 'event' | 'filler' | 'malformed';

/** Returns the kind of a block of lines; `text` has one character for each octet. */
export function getBlockKind(text: string): BlockKind {
  const start = text.startsWith(BYTE_ORDER_MARK) ? BYTE_ORDER_MARK.length : 0;
  const lines = text
    .slice(start)
    .split(LINE_END)
    .filter((line) => line !== '');
  if (lines.every((line) => line.startsWith(':'))) return 'filler';
  if (!lines.every((line) => LINE.test(line))) return 'malformed';
  if (lines.some((line) => CONTENT_FIELD.test(line))) return 'event';
  return lines.some((line) => EVENT_FIELD.test(line)) ? 'filler' : 'malformed';
}
