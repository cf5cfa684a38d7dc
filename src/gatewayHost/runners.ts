import { catchRejection } from '../base/rejection.ts';
import { isConnectionRefused } from '../clients/connectionCheck.ts';
import type { Effect } from '../core/effects.ts';
import { checkThroughRelay } from '../relays/relayClient.ts';
import {
  DIRECTORY_TIMEOUT_MS,
  ENDPOINT_CONNECT_TIMEOUT_MS,
  ADAPTER_ORDER_TIMEOUT_MS,
  ADAPTER_REPORT_TIMEOUT_MS,
} from './constants.ts';
import type { AdapterOrderAnswer, AdapterReport } from '../residency/types.ts';
import type { GatewayHost } from './gatewayHost.ts';
import type { EngineAnswer } from './platform.ts';

type Runners = {
  [T in Effect['type']]?: (host: GatewayHost, effect: Extract<Effect, { type: T }>) => void;
};

/** Runners of the effects of a gateway host; other effects belong to entry hosts. */
const runners: Runners = {
  log: (host, effect) => host.observer.observe(effect),
  count: (host, effect) => host.observer.observe(effect),
  observe: (host, effect) => host.observer.observe(effect),
  gauge: (host, effect) => host.observer.observe(effect),
  sendMessage: (host, { to, message }) => {
    const { id } = host.state.host;
    if (to === id) host.dispatch({ type: 'messageReceived', from: id, message });
    else host.links.send(to, message);
  },
  openLink: (host, { host: to, address }) => host.links.open(to, address),
  closeLink: (host, { host: to }) => host.links.close(to),
  readTopic: (host, { topic, call }) => {
    const read = host.platform.directory.read(topic, DIRECTORY_TIMEOUT_MS);
    void catchRejection(read, newUnavailableAnswer).then((answer) => {
      host.dispatch({ type: 'directoryAnswered', topic, call, isRead: true, answer });
    });
  },
  watchTopic: (host, { topic, call, after, waitMs }) => {
    const timeoutMs = waitMs + DIRECTORY_TIMEOUT_MS;
    const watched = host.platform.directory.watch(topic, after, waitMs, timeoutMs);
    void catchRejection(watched, newUnavailableAnswer).then((answer) => {
      host.dispatch({ type: 'directoryAnswered', topic, call, isRead: false, answer });
    });
  },
  writeRow: (host, { content, version }) => {
    const written = host.platform.directory.writeRow(content, version, DIRECTORY_TIMEOUT_MS);
    void catchRejection(written, newUnknownAnswer).then((answer) =>
      host.dispatch({ type: 'rowWriteAnswered', content, answer }),
    );
  },
  sendAdapterOrder: (host, { engine, address, epoch, order }) => {
    const { id } = host.state.host;
    const engineOrder = { engine, address, host: id, epoch, order };
    const sent = host.newSentCall(engine);
    const call = host.platform.engines.sendOrder(engineOrder, ADAPTER_ORDER_TIMEOUT_MS);
    const ordered = catchRejection<EngineAnswer<AdapterOrderAnswer>>(call, (reason) => ({
      content: newUnknownAnswer(reason),
      notice: undefined,
    }));
    void ordered.then(({ content: answer, notice }) => {
      host.reportNotice(sent, notice);
      host.dispatch({ type: 'adapterOrderAnswered', engine, epoch, order, answer });
    });
  },
  readAdapterReport: (host, { engine, address }) => {
    const sent = host.newSentCall(engine);
    void readReport(host, engine, address, ADAPTER_REPORT_TIMEOUT_MS).then(
      ({ content: report, notice }) => {
        host.reportNotice(sent, notice);
        const isReport = typeof report !== 'string';
        host.dispatch({
          type: 'adapterReportRead',
          engine,
          report: isReport ? report : undefined,
          reason: isReport ? '' : report,
        });
      },
    );
  },
  checkEndpoint: (host, { endpoint, address, relay, startedAt }) => {
    const { id, sourceAddress: localAddress } = host.settings.host;
    if (relay === undefined) {
      void isConnectionRefused(address, localAddress, ENDPOINT_CONNECT_TIMEOUT_MS).then(
        (isRefused) => host.dispatch({ type: 'endpointChecked', endpoint, startedAt, isRefused }),
      );
      return;
    }
    void checkThroughRelay({ relay, endpoint, host: id, localAddress }).then((result) => {
      host.dispatch({
        type: 'endpointChecked',
        endpoint,
        startedAt,
        relay: relay.host,
        isRefused: result === 'refused',
        isRunning: result === 'running',
      });
    });
  },
  probeEndpoint: (host, { endpoint, address, relay, timeoutMs }) => {
    const check = host.platform.health.getCheck(endpoint, host.getHealthPath(endpoint));
    const path = { endpoint, address, relay };
    void host.endpointClient.probe(path, check, timeoutMs).then((isAnswered) => {
      host.dispatch({ type: 'endpointProbed', endpoint, isAnswered });
    });
  },
  checkOrderConnection: (host, { engine, address, checkedAt, timeoutMs }) => {
    const sent = host.newSentCall(engine);
    void readReport(host, engine, address, timeoutMs).then(({ content: report, notice }) => {
      host.reportNotice(sent, notice);
      const isAnswered = typeof report !== 'string' || notice !== undefined;
      host.dispatch({ type: 'orderConnectionChecked', engine, checkedAt, isAnswered });
    });
  },
  retireConnections: (host, { endpoint, relay }) =>
    host.endpointClient.retireConnections({ endpoint, relay }),
  tellRelayedHosts: (host, { message, except }) => host.tellRelayedHosts(message, except),
  breakSilentAttempt: (host, { attempt, silentMs }) =>
    host.attempts.breakIfSilent(attempt, silentMs),
  sendForward: (host, { spec }) => host.attempts.send(spec),
  cancelForward: (host, { attempt }) => host.attempts.cancel(attempt),
  passResponse: (host, { id }) => host.exchanges.get(id)?.sendBufferedResponse(),
  endResponse: (host, { id }) => host.exchanges.get(id)?.end(),
  failForward: (host, { id, failure }) => host.exchanges.get(id)?.fail(failure),
  answerOperator: (host, { id, answer }) => host.adminServer?.answer(id, answer),
  closeFrontServer: (host) => void host.frontServer.stop(),
  stopped: (host) => host.onStopped(),
};

/** Reads the report of an engine; a call that fails on this host counts as one without an answer. */
function readReport(
  host: GatewayHost,
  engine: string,
  address: string,
  timeoutMs: number,
): Promise<EngineAnswer<AdapterReport | string>> {
  const call = host.platform.engines.readReport(engine, address, timeoutMs);
  return catchRejection(call, (reason) => ({ content: reason, notice: undefined }));
}

function newUnavailableAnswer(reason: string): { type: 'unavailable'; reason: string } {
  return { type: 'unavailable', reason };
}

/** Returns the answer of a write or an order that failed on this host: it may have taken effect. */
function newUnknownAnswer(reason: string): { type: 'unknown'; reason: string } {
  return { type: 'unknown', reason };
}

/** Runs one effect. */
export function runGatewayEffect(host: GatewayHost, effect: Effect): void {
  const run = runners[effect.type] as ((host: GatewayHost, effect: Effect) => void) | undefined;
  if (run === undefined) {
    host.observer.logger.write('error', 'effect has no runner', { effect: effect.type });
    return;
  }
  run(host, effect);
}
