interface Metric {
  readonly kind: 'counter' | 'histogram' | 'gauge';
  readonly help: string;
}

/** All metrics that hosts export. Histograms hold milliseconds unless the name has another unit. */
export const METRICS = {
  fireflywick_requests_total: {
    kind: 'counter',
    help: 'Requests that ended, by firm, request kind and result (completed or an error kind).',
  },
  fireflywick_request_duration_ms: {
    kind: 'histogram',
    help: 'Time from arrival to the end of the answer, by firm and request kind.',
  },
  fireflywick_first_token_ms: {
    kind: 'histogram',
    help: 'Time from arrival to the first byte of the answer, by firm and request kind.',
  },
  fireflywick_load_stall_ms: {
    kind: 'histogram',
    help: 'Time that a request waited for its adapter to arrive, by firm and request kind.',
  },
  fireflywick_batch_efficiency_percent: {
    kind: 'histogram',
    help: 'Share of batch places in use while an engine runs, by pool and firm.',
  },
  fireflywick_attempts_total: {
    kind: 'counter',
    help: 'Attempts at an endpoint, by result.',
  },
  fireflywick_silent_paths_total: {
    kind: 'counter',
    help: 'Times that no endpoint sent anything to this host for 0.4 s while attempts waited for answers.',
  },
  fireflywick_relayed_endpoints: {
    kind: 'gauge',
    help: 'Endpoints that this host cannot reach directly, so that its requests to them go through other hosts.',
  },
  fireflywick_relayed_connections: {
    kind: 'gauge',
    help: 'Connections that this host relays between other hosts and endpoints.',
  },
  fireflywick_quota_decisions_total: {
    kind: 'counter',
    help: 'Requests for which this host asked for quota of their tenants or refused it, by result (granted or refused).',
  },
  fireflywick_silent_accountants_total: {
    kind: 'counter',
    help: 'Quota requests that the accountant of the tenant did not answer in time.',
  },
  fireflywick_evictions_total: {
    kind: 'counter',
    help: 'Requests, responses and connections of callers that gave way to others, by resource (bytes or connection).',
  },
  fireflywick_retries_total: {
    kind: 'counter',
    help: 'Repeated sends of requests that gateways forward, by result (allowed or refused by the retry budget).',
  },
  fireflywick_leaving_endpoints: {
    kind: 'gauge',
    help: 'Endpoints that are leaving and not removed yet, as far as this host knows.',
  },
  fireflywick_paused_endpoints: {
    kind: 'gauge',
    help: 'Endpoints that want no requests of this host now.',
  },
  fireflywick_limited_endpoints: {
    kind: 'gauge',
    help: 'Endpoints that name a limit on the requests which they take, as far as this host knows.',
  },
  fireflywick_quarantined_attributes: {
    kind: 'gauge',
    help: 'Attributes of requests (prompt parts, adapters and others) that this host holds for causes of crashes.',
  },
  fireflywick_quarantine_refusals_total: {
    kind: 'counter',
    help: 'Requests refused because of a quarantine, by kind of the attribute.',
  },
  fireflywick_decisions_total: {
    kind: 'counter',
    help: 'Decisions about requests and adapters, by decision and reason.',
  },
  fireflywick_adapter_orders_total: {
    kind: 'counter',
    help: 'Orders to engines, by order (load, unload, role) and answer.',
  },
  fireflywick_table_calls_total: {
    kind: 'counter',
    help: 'Calls to the table service, by purpose and answer.',
  },
  fireflywick_peer_bytes_total: {
    kind: 'counter',
    help: 'Bytes exchanged with other hosts, by direction.',
  },
  fireflywick_unhandled_errors_total: {
    kind: 'counter',
    help: 'Errors that no code of the host handled, by origin; each is a defect and is logged.',
  },
  fireflywick_loop_turn_ms: {
    kind: 'histogram',
    help: 'Time that one event took in the loop.',
  },
  fireflywick_configuration_revision: {
    kind: 'gauge',
    help: 'Revision of the configuration in force on this host.',
  },
  fireflywick_configuration_lag_ms: {
    kind: 'histogram',
    help: 'Time from confirm to in force on this host.',
  },
  fireflywick_event_loop_lag_ms: {
    kind: 'histogram',
    help: 'Time by which a timer fired late because the event loop was busy, sampled every second.',
  },
  fireflywick_arrivals_total: {
    kind: 'counter',
    help: 'Requests that were received, by result: taken, left (their callers had closed the connection) or rejected (the host is overloaded).',
  },
  fireflywick_closed_connections_total: {
    kind: 'counter',
    help: 'Connections of callers that an overloaded host closed unread.',
  },
  fireflywick_arrival_wait_ms: {
    kind: 'histogram',
    help: 'Time for which a request that was received waited for its turn.',
  },
  fireflywick_read_delay_ms: {
    kind: 'histogram',
    help: 'Longest time for which a request may have waited before this host read its headers.',
  },
  fireflywick_routing_age_ms: {
    kind: 'histogram',
    help: 'Longest time for which the routing table that decided a request may have been outdated.',
  },
  process_cpu_seconds_total: {
    kind: 'counter',
    help: 'User and system processor time of the process, in seconds.',
  },
  process_resident_memory_bytes: {
    kind: 'gauge',
    help: 'Resident memory of the process, in bytes.',
  },
} as const satisfies Record<string, Metric>;

export type MetricName = keyof typeof METRICS;
