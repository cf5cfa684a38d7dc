import type { Brittleness } from '../notices/types.ts';
import type { Endpoint, EndpointView, Fleet } from './types.ts';

/**
 * Applies the registration of an endpoint and returns whether it was applied. Older registrations are
 * dropped: they may arrive after newer ones and would make a leaving endpoint routable again.
 */
export function applyRegistration(fleet: Fleet, endpoint: Endpoint): boolean {
  const known = fleet.views.get(endpoint.id);
  if (known === undefined || endpoint.startedAt > known.endpoint.startedAt) {
    // Endpoints of a service are brittle together, and one that starts has not said so yet.
    const brittleness = findBrittleness(fleet, endpoint.service);
    fleet.views.set(endpoint.id, { ...newView(endpoint), brittleness });
    return true;
  }
  const { startedAt, sequence, isLeaving, softwareVersion } = known.endpoint;
  if (endpoint.startedAt < startedAt || endpoint.sequence < sequence) return false;
  if (isLeaving && !endpoint.isLeaving) return false;
  // Hosts of an earlier version announce endpoints without their software version.
  known.endpoint = { ...endpoint, softwareVersion: endpoint.softwareVersion ?? softwareVersion };
  known.isRemoved = false;
  return true;
}

/** Marks the directory entry of an endpoint as removed. */
export function markEndpointRemoved(fleet: Fleet, id: string): void {
  const view = fleet.views.get(id);
  if (view !== undefined) view.isRemoved = true;
}

function newView(endpoint: Endpoint): EndpointView {
  return {
    endpoint,
    isRemoved: false,
    inFlight: 0,
    consecutiveFailures: 0,
    backoffUntil: -Infinity,
    meanAnswerMs: 0,
    failureRate: 0,
    limit: undefined,
    isToldLeaving: false,
    brittleness: undefined,
    pause: undefined,
    malformedLoggedAt: -Infinity,
  };
}

function findBrittleness({ views }: Fleet, service: string): Brittleness | undefined {
  const brittle = [...views.values()].find(
    ({ endpoint, brittleness }) => endpoint.service === service && brittleness !== undefined,
  );
  return brittle?.brittleness === undefined ? undefined : { ...brittle.brittleness };
}
