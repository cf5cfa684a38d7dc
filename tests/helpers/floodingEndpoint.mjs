// A faulty endpoint in a process of its own: answers each request with bytes without end, of the kind that
// its argument names. Prints its port, and ends with its standard input.
import { Buffer } from 'node:buffer';
import console from 'node:console';
import { createServer } from 'node:net';
import process from 'node:process';
import { setTimeout } from 'node:timers';

const PIECE_BYTES = 65_536;
const REPORT = JSON.stringify({ seq: 0, models: [{ name: 'base', adapters: [] }], coming: [] });
const CHUNKED = 'transfer-encoding: chunked\r\n';
const EVENTS = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n';

/** Head of the answer, the piece that follows over and over, and the pause between pieces in ms. */
const FLOODS = {
  chunks: [`${CHUNKED}\r\n`, `10000\r\n${'x'.repeat(PIECE_BYTES)}\r\n`, 16],
  tinyChunks: [`${CHUNKED}\r\n`, '1\r\nx\r\n', 0],
  headers: ['', 'x-a: b\r\n', 0],
  trailers: [`${CHUNKED}\r\n0\r\n`, 'x-a: b\r\n', 0],
  interim: [undefined, 'HTTP/1.1 103 Early Hints\r\n\r\n', 0],
  blankLines: [`${CHUNKED}\r\n${newChunk(EVENTS)}`, newChunk('\n'.repeat(PIECE_BYTES)), 0],
  blankLinesFirst: [`${CHUNKED}\r\n`, newChunk('\n'.repeat(PIECE_BYTES)), 0],
  blankCrLfLines: [
    `${CHUNKED}\r\n${newChunk(EVENTS)}`,
    newChunk('\r\n'.repeat(PIECE_BYTES / 2)),
    0,
  ],
  comments: [`${CHUNKED}\r\n${newChunk(EVENTS)}`, newChunk(':\n\n'.repeat(PIECE_BYTES / 3)), 0],
  commentsFirst: [`${CHUNKED}\r\n`, newChunk(':\n\n'.repeat(PIECE_BYTES / 3)), 0],
  events: [`${CHUNKED}\r\n`, newChunk('data: x\n\n'.repeat(PIECE_BYTES / 9)), 0],
};

/** Returns a chunk of a chunked body. */
function newChunk(content) {
  return `${content.length.toString(16)}\r\n${content}\r\n`;
}

const [head, piece, pauseMs] = FLOODS[process.argv[2]];
const bytes = Buffer.from(
  piece.length >= PIECE_BYTES ? piece : piece.repeat(Math.ceil(PIECE_BYTES / piece.length)),
);

function flood(socket) {
  if (socket.destroyed) return;
  const isDrained = socket.write(bytes);
  if (pauseMs > 0) setTimeout(() => flood(socket), pauseMs);
  else if (isDrained) setTimeout(() => flood(socket), 0);
  else socket.once('drain', () => flood(socket));
}

const server = createServer((socket) => {
  socket.on('error', () => undefined);
  socket.on('data', (data) => {
    const request = data.toString('latin1');
    if (/^GET \/(-\/report|health)/.test(request)) {
      socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${REPORT.length}\r\n\r\n${REPORT}`);
      return;
    }
    const attempt = /^attempt-id: (.*)$/im.exec(request)?.[1] ?? '';
    if (head !== undefined)
      socket.write(`HTTP/1.1 200 OK\r\nattempt-id: ${attempt}\r\nresponse-seal: s\r\n${head}`);
    flood(socket);
  });
});
server.listen(0, '127.0.0.1', () => console.log(server.address().port));
process.stdin.resume();
process.stdin.on('end', () => process.exit());
