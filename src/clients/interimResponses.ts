import type { Dispatcher } from 'undici';
import { MAX_INTERIM_RESPONSES } from './constants.ts';

/** Interceptor that breaks off a call whose server sends interim responses (status 1xx) without end. */
export const limitInterimResponses: Dispatcher.DispatcherComposeInterceptor =
  (dispatch) => (options, handler) =>
    dispatch(options, newLimitedHandler(handler));

function newLimitedHandler(handler: Dispatcher.DispatchHandler): Dispatcher.DispatchHandler {
  let interimResponses = 0;
  return {
    onRequestStart: (...args) => handler.onRequestStart?.(...args),
    onResponseStart: (controller, status, headers, statusText) => {
      if (status < 200) interimResponses += 1;
      if (interimResponses <= MAX_INTERIM_RESPONSES)
        handler.onResponseStart?.(controller, status, headers, statusText);
      else controller.abort(new Error(`more than ${MAX_INTERIM_RESPONSES} interim responses`));
    },
    onResponseData: (...args) => handler.onResponseData?.(...args),
    onResponseEnd: (...args) => handler.onResponseEnd?.(...args),
    onResponseError: (...args) => handler.onResponseError?.(...args),
  };
}
