import { AdminServer } from '../../src/admin/server.ts';
import { sha256 } from '../../src/base/hash.ts';
import { CallerMemory } from '../../src/http/callerMemory.ts';
import { Metrics } from '../../src/observe/metrics.ts';
import { parseEntrySettings } from '../../src/settings/parse.ts';
import { ImmediateCluster } from '../configuration/immediateCluster.ts';

const KEYS = [
  { name: 'olga', firm: 'atlas', role: 'operator', sha256: sha256('op-key') },
  { name: 'desk', firm: 'atlas', role: 'caller', sha256: sha256('caller-key') },
];

/** Settings of a host with an operator's key `op-key` and a caller's key `caller-key`. */
export const SETTINGS_ARGV = [
  '--host-id=h1',
  '--zone=z',
  '--region=r',
  '--peer-address=127.0.0.1:1',
  '--operator-listen=127.0.0.1:0',
  '--table-url=http://127.0.0.1:1',
  '--objects-url=http://127.0.0.1:1',
  '--hosts-url=http://127.0.0.1:1',
  '--operator-body-limit=1KiB',
  `--keys=${JSON.stringify(KEYS)}`,
];

/** Returns the operators' server of a host whose table is kept in memory. */
export function newAdminServer(): { cluster: ImmediateCluster; server: AdminServer } {
  const cluster = ImmediateCluster.create('h1');
  const server = AdminServer.create({
    state: cluster.getState('h1'),
    settings: parseEntrySettings(SETTINGS_ARGV, {}).unwrap(),
    observer: { metrics: Metrics.create() },
    memory: CallerMemory.create(),
    dispatch: (event) => {
      cluster.feed('h1', event);
      for (const [id, answer] of cluster.answers) server.answer(id, answer);
      for (const effect of cluster.draftAnswers.splice(0)) {
        if (effect.type === 'answerDraftRead') server.answerDraftRead(effect.id, effect.answer);
        else server.answerDraftList(effect.id, effect.answer);
      }
    },
  });
  return { cluster, server };
}
