import type { Effect } from '../core/effects.ts';
import { newCount, newLog } from '../core/observations.ts';
import type { State } from '../core/state.ts';
import type { ForwardAttempt, ForwardOutcome } from '../forwards/types.ts';
import { getMember } from '../owners/owner.ts';
import { COMMON_FAILURE_WINDOW_MS } from './constants.ts';
import { getDirectEndpoints, losePaths } from './lostPaths.ts';
import { probeEndpoint, scheduleProbe } from './probes.ts';
import { avoidRelay } from './relayChoice.ts';
import type { ConnectionProblem, PathSilence, Relay } from './types.ts';

type ProblemHandlers = Record<
  ConnectionProblem,
  (state: State, attempt: ForwardAttempt, now: number) => Effect[]
>;

/** Problems of attempts over direct connections. */
const directProblems: ProblemHandlers = {
  unanswered: (state, attempt, now) => loseAttemptPath(state, attempt, now),
  lost: (state, { endpoint }) => probeEndpoint(state, endpoint, 'failure'),
  refusedToRelay: () => [],
  relay: () => [],
  declined: () => [],
  silent: () => [],
};

/** Problems of attempts over a relay. */
const relayProblems: ProblemHandlers = {
  unanswered: (state, attempt, now) => leaveRelay(state, attempt, attempt.endpoint, now),
  lost: (state, attempt, now) => leaveRelay(state, attempt, attempt.endpoint, now),
  refusedToRelay: () => [],
  relay: (state, attempt, now) => leaveRelay(state, attempt, undefined, now),
  declined: (state, attempt, now) => {
    if (attempt.relay !== undefined) state.paths.declinedAt.set(attempt.relay, now);
    return leaveRelay(state, attempt, attempt.endpoint, now);
  },
  silent: () => [],
};

/** Learns from the end of an attempt whether its endpoint can be reached in the way that it was sent. */
export function recordPathOutcome(
  state: State,
  attempt: ForwardAttempt,
  outcome: ForwardOutcome,
  now: number,
): Effect[] {
  const isDirect = attempt.relay === undefined;
  const problem = 'problem' in outcome ? outcome.problem : undefined;
  if (problem !== undefined)
    return (isDirect ? directProblems : relayProblems)[problem](state, attempt, now);
  const isAnswered = outcome.type !== 'unreachable' && outcome.type !== 'cancelled';
  if (isDirect && isAnswered) state.paths.lastDirectAnswerAt = now;
  return [];
}

/** Finds out by a probe whether a path is lost over which nothing arrived for a time. */
export function handlePathSilence(state: State, { relay, silentMs }: PathSilence): Effect[] {
  const attempts = [...state.forwards.inFlight.values()]
    .flatMap(({ attempt }) => attempt ?? [])
    .filter((attempt) => attempt.relay === relay);
  const endpoints = [...new Set(attempts.map(({ endpoint }) => endpoint))];
  const observations = [
    newCount('fireflywick_silent_paths_total', {}),
    newLog('warn', 'no endpoint sends anything to this host', {
      silentMs: Math.round(silentMs),
      relay,
      waiting: attempts.length,
      endpoints,
    }),
  ];
  const probed =
    relay === undefined
      ? probeSilentEndpoint(state, endpoints)
      : probeSilentRelay(state, endpoints, relay);
  return [...observations, ...probed];
}

/** Probes an endpoint that this host takes for reachable, first one at which attempts wait. */
function probeSilentEndpoint(state: State, waitingAt: readonly string[]): Effect[] {
  const direct = getDirectEndpoints(state).map(({ endpoint }) => endpoint.id);
  const endpoint = waitingAt.find((id) => direct.includes(id)) ?? direct[0];
  const isEachLost = waitingAt.length > 0 && !waitingAt.some((id) => direct.includes(id));
  return endpoint === undefined || isEachLost ? [] : probeEndpoint(state, endpoint, 'silence');
}

function probeSilentRelay(state: State, [endpoint]: readonly string[], relay: string): Effect[] {
  const through = findMember(state, relay);
  if (endpoint === undefined || through === undefined) return [];
  return probeEndpoint(state, endpoint, 'silence', through);
}

/** Has the connections over a relay closed whose host leaves or whose link closed. */
export function dropRelay({ paths }: State, relay: string): Effect[] {
  return paths.lost.size === 0 ? [] : [{ type: 'retireConnections', relay }];
}

function loseAttemptPath(state: State, { endpoint }: ForwardAttempt, now: number): Effect[] {
  const { paths, fleet } = state;
  const view = fleet.views.get(endpoint);
  if (view === undefined) return [];
  const last = paths.lastFailure;
  paths.lastFailure = { endpoint, at: now };
  const isCommon =
    last !== undefined &&
    last.endpoint !== endpoint &&
    last.at + COMMON_FAILURE_WINDOW_MS > now &&
    paths.lastDirectAnswerAt < last.at;
  const reason = 'a connection could not be opened';
  const views = isCommon ? getDirectEndpoints(state) : [view];
  const lost = losePaths(state, views, reason, now);
  return [...lost, ...scheduleProbe(state, now)];
}

function leaveRelay(
  state: State,
  { relay }: ForwardAttempt,
  endpoint: string | undefined,
  now: number,
): Effect[] {
  if (relay === undefined) return [];
  avoidRelay(state, relay, endpoint, now);
  return [
    newLog('info', 'relay is avoided', { relay, endpoint }),
    { type: 'retireConnections', relay, endpoint },
  ];
}

function findMember({ owners }: State, host: string): Relay | undefined {
  const member = getMember(owners, host);
  return member === undefined ? undefined : { host, address: member.address };
}
