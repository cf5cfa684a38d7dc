import { isReady } from '../../core/lifecycle.ts';
import { Failure } from '../../errors/failure.ts';
import { sendFailure, sendJson } from '../../http/reply.ts';
import type { AdminHost, PublicRoute } from '../types.ts';

/** Routes that need no key. */
export const publicRoutes: readonly PublicRoute[] = [
  {
    method: 'GET',
    path: '/healthz',
    handle: (_host, response) => sendJson(response, 200, { status: 'ok' }),
  },
  {
    method: 'GET',
    path: '/readyz',
    handle: (host, response) => {
      if (isReady(host.state)) sendJson(response, 200, { status: 'ready' });
      else sendFailure(response, newNotReadyFailure(host));
    },
  },
  {
    method: 'GET',
    path: '/metrics',
    handle: (host, response) => {
      const body = host.observer.metrics.render();
      response.writeHead(200, {
        'content-type': 'text/plain; version=0.0.4; charset=utf-8',
        'content-length': Buffer.byteLength(body),
      });
      response.end(body);
    },
  },
];

function newNotReadyFailure({ state }: AdminHost): Failure {
  return state.phase === 'running'
    ? Failure.create('not_ready', 'the host has not loaded the configuration or its zone row yet')
    : Failure.create('shutting_down', 'the host is shutting down');
}
