/** Returns the 1-based line of the value at `path` in a JSON text, or of the nearest value that holds it. */
export function findJsonLine(text: string, path: readonly PropertyKey[]): number {
  const offset = findOffset(text, skipSpace(text, 0), path);
  return text.slice(0, offset).split('\n').length;
}

function findOffset(text: string, start: number, path: readonly PropertyKey[]): number {
  const [wanted, ...rest] = path;
  if (wanted === undefined || !['{', '['].includes(text[start] ?? '')) return start;
  const isObject = text[start] === '{';
  let at = skipSpace(text, start + 1);
  for (let index = 0; at < text.length && !'}]'.includes(text[at] ?? ''); index++) {
    let key: PropertyKey = index;
    if (isObject) {
      const keyEnd = skipValue(text, at);
      key = JSON.parse(text.slice(at, keyEnd)) as string;
      at = skipSpace(text, skipSpace(text, keyEnd) + 1);
    }
    if (String(key) === String(wanted)) return findOffset(text, at, rest);
    at = skipSpace(text, skipValue(text, at));
    if (text[at] === ',') at = skipSpace(text, at + 1);
  }
  return start;
}

/** Returns the offset behind the value that begins at `start`. */
function skipValue(text: string, start: number): number {
  let depth = 0;
  let at = start;
  do {
    const char = text[at] ?? '';
    if (char === '"') at = skipString(text, at) - 1;
    else if (char === '{' || char === '[') depth += 1;
    else if (char === '}' || char === ']') depth -= 1;
    at += 1;
  } while (at < text.length && (depth > 0 || !/[\s,:}\]]/.test(text[at] ?? '')));
  return at;
}

function skipString(text: string, start: number): number {
  let at = start + 1;
  while (at < text.length && text[at] !== '"') at += text[at] === '\\' ? 2 : 1;
  return at + 1;
}

function skipSpace(text: string, start: number): number {
  let at = start;
  while (/\s/.test(text[at] ?? '')) at += 1;
  return at;
}
