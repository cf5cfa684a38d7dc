/** Newest and oldest version of the protocol between hosts that this release supports. */
export const PROTOCOL_VERSION = 1;
export const MIN_PROTOCOL_VERSION = 1;
/** Interval of gossip rounds. */
export const GOSSIP_INTERVAL_MS = 1_000;
/** Interval at which a host compares all entries with one peer, which repairs lost deltas. */
export const DIGEST_INTERVAL_MS = 10_000;
/** Interval at which relays send updates of their zone's engines to the other zones. */
export const SUMMARY_INTERVAL_MS = 5_000;
/** Shortest interval between reads of the host list. */
export const MIN_HOST_LIST_INTERVAL_MS = 5_000;
/** Part of a host's network budget that reads of the host list may use. */
export const HOST_LIST_BYTES_PER_S = 2_000;
/** Estimated size of one line of the host list. */
export const HOST_LIST_LINE_BYTES = 90;
/** Time for which the entry of a gone host is kept, so that stale copies cannot revive it. */
export const GONE_RETENTION_MS = 600_000;
/** Time without a link after which a host that is not in the zone row is marked as gone. */
export const GONE_TIMEOUT_MS = 30_000;
/**
 * Time for which an endpoint that was marked as leaving stays marked even if the host list shows it
 * as live, since a host may read a stale copy of the list.
 */
export const MIN_LEAVING_MS = 60_000;
/** Relays of each zone, which exchange entries and engine updates with the other zones. */
export const RELAYS_PER_ZONE = 2;
/** Largest deployment in which every host has a link to every other one, also across zones. */
export const MAX_FULL_MESH_HOSTS = 64;
/** Time for which a link outside the mesh stays open after its last request. */
export const ON_DEMAND_LINK_MS = 60_000;
/** Largest number of host entries or engine updates in one message. */
export const MAX_MESSAGE_ENTRIES = 100;
/** Budget of a host for updates of its engines, over all peers. */
export const ENGINE_UPDATE_BYTES_PER_S = 2_800;
/** Budget of each relay for updates of its zone's engines to one other zone. */
export const SUMMARY_BYTES_PER_S = 80;
/** Updates of load alone that must fit into the send credit before a message is sent. */
export const MIN_UPDATES_PER_MESSAGE = 3;
/** Largest send credit that an idle host accumulates for each peer. */
export const MAX_CREDIT_BYTES = 1_000;
/** Encoded bytes of one message without updates, and of one update without adapters. */
export const DELTA_BASE_BYTES = 32;
export const ENGINE_UPDATE_BYTES = 40;
/** Interval at which an owner repeats an update to confirm that its last updates still hold. */
export const ENGINE_REFRESH_INTERVAL_MS = 4_000;
/** Time since the last update after which also a small change of load is sent. */
export const SMALL_LOAD_CHANGE_DELAY_MS = 5_000;
/** Change of load, as a share of the batch, that is sent without delay. */
export const LARGE_LOAD_CHANGE_RATIO = 1 / 8;
/** Shortest interval between requests for a full update of one engine. */
export const FULL_UPDATE_REQUEST_INTERVAL_MS = 1_000;
/** Interval between requests for an engine without any received update. */
export const MISSING_ENGINE_REQUEST_INTERVAL_MS = 30_000;
/** Largest number of engines without any received update that are requested in one round. */
export const MAX_MISSING_ENGINES = 40;
/**
 * Time without a link after which a host, or each host of another zone, counts as unreachable:
 * other hosts take over its drafts and treat its claims as unknown.
 */
export const HOST_UNREACHABLE_AFTER_MS = 3_000;
export const ZONE_UNREACHABLE_AFTER_MS = 10_000;
