import type { Observation } from '../core/observations.ts';
import { Logger } from '../observe/logger.ts';
import { Metrics } from '../observe/metrics.ts';

/** Writes observations of the reducer and the host to the log and the metrics. */
export class Observer {
  private constructor(
    readonly logger: Logger,
    readonly metrics: Metrics,
  ) {}

  static create(logger: Logger): Observer {
    return new Observer(logger, Metrics.create());
  }

  observe(observation: Observation): void {
    if (observation.type === 'log') {
      this.logger.write(observation.level, observation.message, observation.fields);
    } else {
      this.metrics.record(observation);
    }
  }
}
