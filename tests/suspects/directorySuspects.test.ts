import { describe, expect, it } from 'vitest';
import type { DirectoryContent } from '../../src/directory/types.ts';
import { GatewayCluster } from '../helpers/gatewayCluster.ts';

const CRASHING = 'crashing';

// Guards against writes that fail until a host restarts, since they expect a version of a row that is gone.
describe('the row of suspects is written again', () => {
  it.each<[string, DirectoryContent | undefined]>([
    ['after it was deleted', undefined],
    ['after it was replaced by what no host can read', { type: 'malformed', reason: 'x' }],
    ['after it lost its suspects', { type: 'suspects', row: { suspects: [] } }],
  ])('%s', (_name, content) => {
    const cluster = GatewayCluster.create({ hosts: 3 });
    cluster.react = () => 'crash';
    for (const host of ['h0', 'h1']) cluster.request(host, CRASHING);
    cluster.advance(3_000);
    expect(cluster.storedAttributes).toContain(CRASHING);
    cluster.replaceSuspectsRow(content);
    cluster.request('h2', CRASHING);
    cluster.advance(10_000);
    expect(cluster.storedAttributes).toContain(CRASHING);
  });
});
