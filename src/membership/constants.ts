/** Newest and oldest protocol version between hosts that this release speaks. */
export const PROTOCOL_VERSION = 1;
export const MIN_PROTOCOL_VERSION = 1;
/** Interval of gossip rounds. */
export const GOSSIP_INTERVAL_MS = 1_000;
/** Interval of comparing all entries with one peer, which repairs lost deltas. */
export const DIGEST_INTERVAL_MS = 10_000;
/** Interval at which relays send news of their zone's engines to the other zones. */
export const SUMMARY_INTERVAL_MS = 5_000;
/** Shortest interval of reads of the host list. */
export const MIN_HOST_LIST_INTERVAL_MS = 5_000;
/** Part of the budget of a host that reads of the host list may use, in bytes a second. */
export const HOST_LIST_BYTES_PER_S = 2_000;
/** Estimated size of one line of the host list. */
export const HOST_LIST_LINE_BYTES = 90;
/** Time for which the entry of a host that is gone is kept, so that old copies cannot revive it. */
export const GONE_RETENTION_MS = 600_000;
/** Time without a link after which a host that is no member of the zone counts as gone. */
export const GONE_TIMEOUT_MS = 30_000;
/** Time after which the host list's word on a leaving endpoint may be withdrawn. */
export const MIN_LEAVING_MS = 60_000;
/** Relays of each zone that exchange news with the other zones. */
export const RELAYS_PER_ZONE = 2;
/** Up to this many hosts, every host is linked with every other one across zones. */
export const MAX_FULL_MESH_HOSTS = 64;
/** Time for which a link outside the mesh is kept after it was last wanted. */
export const ON_DEMAND_LINK_MS = 60_000;
/** Entries in one message. */
export const MAX_MESSAGE_ENTRIES = 100;
/** Bytes a second that a host spends on news of its engines to the hosts of its zone. */
export const ENGINE_UPDATE_BYTES_PER_S = 2_800;
/** Bytes a second of news about one zone's engines that each of its relays sends to another zone. */
export const SUMMARY_BYTES_PER_S = 80;
/** Pieces of news that are worth a message where the budget is short. */
export const MIN_UPDATES_PER_MESSAGE = 3;
/** Budget that an idle host may save up, in bytes for each peer. */
export const MAX_CREDIT_BYTES = 1_000;
/** Bytes of one message without news, and of one piece of news, as the encoder makes them. */
export const DELTA_BASE_BYTES = 32;
export const ENGINE_UPDATE_BYTES = 40;
/** Interval at which an owner tells that its news still holds. */
export const ENGINE_REFRESH_INTERVAL_MS = 4_000;
/** Age after which a load that changed a little is told as well. */
export const SMALL_LOAD_CHANGE_DELAY_MS = 5_000;
/** A change of load by this part of the batch is told at once. */
export const LARGE_LOAD_CHANGE_RATIO = 1 / 8;
/** Interval between asks for complete news of one engine. */
export const FULL_UPDATE_REQUEST_INTERVAL_MS = 1_000;
/** Interval between asks for an engine of which nothing is known. */
export const MISSING_ENGINE_REQUEST_INTERVAL_MS = 30_000;
/** Engines asked for in one round when nothing is known of them. */
export const MAX_MISSING_ENGINES = 40;
/**
 * Time without a link after which a host, or each host of another zone, counts as silent: its drafts
 * are taken over and its claims read as unknown.
 */
export const HOST_UNREACHABLE_AFTER_MS = 3_000;
export const ZONE_UNREACHABLE_AFTER_MS = 10_000;
