/** A line of an event: a comment, or a field whose name is a token. */
const LINE = /^(?::|[!#$%&'*+.^_`|~\w-]+(?::|$))/;
/** A line that makes a block of lines an event. */
const EVENT_FIELD = /^(?:data|id|event|retry)(?::|$)/;
const LINE_END = /\r\n|\r|\n/;
const BYTE_ORDER_MARK = '\xEF\xBB\xBF';

/**
 * Whether a block of lines is an event or comments. The text or the head of an error that an endpoint
 * writes into the body of its stream is neither.
 */
export function isEvent(bytes: Buffer): boolean {
  const text = bytes.toString('latin1');
  const start = text.startsWith(BYTE_ORDER_MARK) ? BYTE_ORDER_MARK.length : 0;
  const lines = text
    .slice(start)
    .split(LINE_END)
    .filter((line) => line !== '');
  if (!lines.every((line) => LINE.test(line))) return false;
  return (
    lines.every((line) => line.startsWith(':')) || lines.some((line) => EVENT_FIELD.test(line))
  );
}
