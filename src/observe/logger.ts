import { type Logger as Winston, createLogger, format, transports } from 'winston';
import type { LogLevel } from '../core/observations.ts';
import { redact } from './redact.ts';

/** Options of a logger. */
export interface LoggerOptions {
  level: LogLevel;
  /** Fields that are added to every line, such as host and zone. */
  fields?: Record<string, unknown>;
  /** Destination of the lines; defaults to stderr. */
  stream?: NodeJS.WritableStream;
}

/** Fields that identify the request of a log line. */
export interface RequestFields {
  requestId: string;
  traceId?: string;
  firm?: string;
  caller?: string;
  kind?: string;
  model?: string;
  draft?: string;
}

/** Writes JSON lines with fields and `time`, `level` and `message`, which fields cannot override. */
export class Logger {
  private constructor(
    private readonly winston: Winston,
    private readonly fields: Record<string, unknown>,
  ) {}

  static create({ level, fields = {}, stream = process.stderr }: LoggerOptions): Logger {
    const winston = createLogger({
      level,
      levels: { error: 0, warn: 1, info: 2, debug: 3 },
      format: format.printf(({ line }) => line as string),
      // winston declares its transports as interfaces, which the lint rule cannot match to the class.
      // eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment
      transports: [new transports.Stream({ stream, eol: '\n' })],
    });
    return new Logger(winston, fields);
  }

  /** Returns a logger that adds the fields of a request to every line. */
  newRequestLogger(request: RequestFields): Logger {
    return new Logger(this.winston, { ...this.fields, ...request });
  }

  /** Sets the minimum level that is logged. */
  setLevel(level: LogLevel): void {
    this.winston.level = level;
  }

  write(level: LogLevel, message: string, fields: Record<string, unknown> = {}): void {
    if (!this.winston.isLevelEnabled(level)) return;
    const line = JSON.stringify({
      ...(redact({ ...this.fields, ...fields }) as object),
      time: new Date().toISOString(),
      level,
      message: redact(message),
    });
    this.winston.log({ level, message, line });
  }
}
