import { z } from 'zod';
import { Name } from '../configuration/types.ts';

export const HostState = z.enum(['joining', 'live', 'leaving', 'gone']);
export type HostState = z.infer<typeof HostState>;

/** What a host tells of itself. Only the host itself writes its entry. */
export const HostEntry = z.object({
  host: Name,
  zone: Name,
  region: Name,
  /** `host:port` of the peer listener. */
  address: z.string(),
  /** Grows with each start of the host. */
  incarnation: z.int().min(0),
  /** Grows with each change of the entry within one incarnation. */
  revision: z.int().min(0),
  state: HostState,
  protocol: z.int().min(1),
  configurationRevision: z.int().min(0),
});
export type HostEntry = z.infer<typeof HostEntry>;

export class Membership {
  /** Entries of all known hosts, this one included. */
  readonly hosts = new Map<string, HostEntry>();
  /** Hosts with an open, proven link. */
  readonly linked = new Set<string>();

  private constructor() {}

  static create(): Membership {
    return new Membership();
  }
}

export type MembershipEvent =
  { type: 'linkOpened'; host: string } | { type: 'linkClosed'; host: string; reason: string };

export type MembershipEffect =
  { type: 'openLink'; host: string; address: string } | { type: 'closeLink'; host: string };
