import type { z } from 'zod';
import {
  type ReceivedCall,
  CommonFaults,
  ListenOptions,
  type Reply,
  type StandIn,
  StandInServer,
} from './server.ts';

/** Call that the service executed. */
export interface ExecutedCall {
  method: string;
  path: string;
  /** Path and query as sent. */
  target: string;
  /** Header `Idempotency-Key`; recorded only, so repeated calls are executed again. */
  key: string | undefined;
  body: string;
  /** Monotonic time of arrival in ms. */
  arrivedAt: number;
}

/** Service that executes and records every call, including repeated ones. */
export class RecordingService implements StandIn {
  readonly records: ExecutedCall[] = [];
  private readonly server: StandInServer;

  private constructor(options: z.infer<typeof ListenOptions>) {
    this.server = StandInServer.create(options, CommonFaults, (call) => this.handle(call));
  }

  static create(options: z.input<typeof ListenOptions> = {}): RecordingService {
    return new RecordingService(ListenOptions.parse(options));
  }

  start(): Promise<string> {
    return this.server.start();
  }

  stop(): Promise<void> {
    return this.server.stop();
  }

  setFaults(change: Partial<CommonFaults>): void {
    this.server.setFaults(change);
  }

  private handle({ method, path, target, headers, body }: ReceivedCall): Reply {
    if (path === '/records') return { status: 200, body: this.records };
    const header = headers['idempotency-key'];
    const key = Array.isArray(header) ? header[0] : header;
    this.records.push({ method, path, target, key, body, arrivedAt: performance.now() });
    return { status: 200, body: { execution: this.records.length, method, path, key, body } };
  }
}
