import { describe, expect, it } from 'vitest';
import { chooseService, findRoute, newRouteIndex } from '../../src/routes/match.ts';
import type { RoutingTable } from '../../src/routes/types.ts';
import { newRouting as newContent } from '../helpers/directed.ts';

const content = newContent(1, [
  { name: 'all', pathPrefix: '/' },
  { name: 'orders', pathPrefix: '/orders/' },
  { name: 'open', pathPrefix: '/orders/open/' },
  { name: 'other', host: 'Other.Example', pathPrefix: '/x/' },
]);
const routing = newRouteIndex((content as { table: RoutingTable }).table);

describe('findRoute', () => {
  it.each<[string, string, string, string | undefined]>([
    ['the longest prefix', 'desk.example', '/orders/open/7', 'open'],
    ['a shorter prefix', 'desk.example', '/orders/7', 'orders'],
    ['a prefix ends with its slash', 'desk.example', '/orders', 'all'],
    ['a query is no part of the path', 'desk.example', '/?/orders/open/', 'all'],
    ['a port in the host', 'desk.example:8080', '/orders/7', 'orders'],
    ['hosts in any case', 'OTHER.example', '/x/1', 'other'],
    ['a route of another host', 'other.example', '/orders/7', undefined],
    ['an unknown host', 'nobody.example', '/', undefined],
  ])('%s', (_name, host, target, expected) => {
    expect(findRoute(routing, host, target)?.name).toBe(expected);
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
    const found = findRoute(routing, 'desk.example', '/');
    if (found === undefined) throw new Error('the route is missing');
    expect(chooseService({ ...found, ...route }, fraction)).toBe(expected);
  });
});
