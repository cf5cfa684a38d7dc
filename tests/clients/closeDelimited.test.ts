import { expect, it, vi } from 'vitest';
import type { Dispatcher } from 'undici';
import { confirmCloseDelimited } from '../../src/clients/closeDelimited.ts';
import { SocketEndTracker } from '../../src/clients/connector.ts';
import { waitUntil } from '../support.ts';

// Guards against a rejected promise without a handler, which ends the process, and a response without an end.
it('a handler that throws at the end of a response without a length gets an error', async () => {
  const errors: string[] = [];
  const controller = {} as Dispatcher.DispatchController;
  const endTracker = SocketEndTracker.create();
  vi.spyOn(endTracker, 'isGracefulClose').mockReturnValue(true);
  const interceptor = confirmCloseDelimited({
    isServerRunning: () => Promise.resolve(true),
    endTracker,
  });
  const dispatch = interceptor((_options, handler) => {
    handler.onResponseStart?.(controller, 200, {}, 'OK');
    handler.onResponseEnd?.(controller, {});
    return true;
  });
  dispatch(
    { path: '/', method: 'GET' },
    {
      onResponseEnd: () => {
        throw new Error('the response cannot be passed on');
      },
      onResponseError: (_controller, error) => errors.push(error.message),
    },
  );
  await waitUntil(() => errors.length > 0);
  expect(errors).toEqual(['the response cannot be passed on']);
});
