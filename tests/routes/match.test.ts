import { describe, expect, it } from 'vitest';
import { chooseService, findRoute, newRouteIndex } from '../../src/routes/match.ts';
import type { RoutingTable } from '../../src/routes/types.ts';
import { newRoutingContent as newContent } from '../helpers/directoryHost.ts';

const content = newContent(1, [
  { name: 'all', pathPrefix: '/' },
  { name: 'orders', pathPrefix: '/orders/' },
  { name: 'open', pathPrefix: '/orders/open/' },
  { name: 'other', host: 'Other.Example', pathPrefix: '/x/' },
]);
const routeIndex = newRouteIndex((content as { table: RoutingTable }).table);

describe('findRoute', () => {
  it.each<[string, string, string, string | undefined]>([
    ['matches the longest prefix', 'desk.example', '/orders/open/7', 'open'],
    ['falls back to a shorter prefix', 'desk.example', '/orders/7', 'orders'],
    ['matches a prefix only with its final slash', 'desk.example', '/orders', 'all'],
    ['ignores the query', 'desk.example', '/?/orders/open/', 'all'],
    ['ignores the port of the host', 'desk.example:8080', '/orders/7', 'orders'],
    ['ignores the case of the host', 'OTHER.example', '/x/1', 'other'],
    ['ignores routes of other hosts', 'other.example', '/orders/7', undefined],
    ['finds no route for an unknown host', 'nobody.example', '/', undefined],
  ])('%s', (_name, host, target, expected) => {
    expect(findRoute(routeIndex, host, target)?.name).toBe(expected);
  });
});

describe('chooseService', () => {
  const route = {
    targets: [
      { service: 'a', weight: 90 },
      { service: 'b', weight: 10 },
      { service: 'none', weight: 0 },
    ],
  };

  it.each<[number, string]>([
    [0, 'a'],
    [0.899, 'a'],
    [0.901, 'b'],
    [0.999, 'b'],
  ])('splits by weight at %d', (fraction, expected) => {
    const found = findRoute(routeIndex, 'desk.example', '/');
    if (found === undefined) throw new Error('no route matches desk.example/');
    expect(chooseService({ ...found, ...route }, fraction)).toBe(expected);
  });
});
