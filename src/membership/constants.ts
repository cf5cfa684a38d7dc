/** Newest and oldest protocol version between hosts that this release speaks. */
export const PROTOCOL = 1;
export const MIN_PROTOCOL = 1;
/** Interval of gossip rounds. */
export const GOSSIP_MS = 1_000;
/** Interval of reads of the host list. */
export const HOST_LIST_MS = 5_000;
/** Interval at which a host tells one peer the digest of all entries, to repair lost deltas. */
export const DIGEST_MS = 10_000;
/** Time for which the entry of a host that is gone is kept, so that old copies cannot revive it. */
export const GONE_KEEP_MS = 600_000;
/** Silence after which another host of the zone counts a host as gone. */
export const GONE_AFTER_MS = 30_000;
/** Relays of each zone that exchange deltas with the other zones. */
export const ZONE_RELAYS = 2;
/** Entries in one gossip message. */
export const MAX_ENTRIES = 100;
