/** Settings of one node and the fleet configuration that operators edit. */

/** Priority classes, the most urgent first. */
enum Priority {
  INTERACTIVE = 0,
  STANDARD = 1,
  BATCH = 2,
}

/** What the endpoints of a pool run. */
enum PoolKind {
  MODEL = 0,
  SERVICE = 1,
}

/** How a VM is bought. */
enum PriceClass {
  RECLAIMABLE = 0,
  ON_DEMAND = 1,
}

/** Who this node is and where it listens. */
struct NodeSettings {
  /** Name of the node, unique in the fleet. */
  1: required string name,
  /** Region the node runs in. */
  2: required string region,
  /** Data hall the node runs in. */
  3: required string hall,
  /** Address for callers and operators, IP:PORT. */
  4: required string listen,
  /** UDP and TCP address for other nodes, IP:PORT. */
  5: required string peer_listen,
  /** Peer addresses tried first at start, IP:PORT. */
  6: required list<string> seeds,
  /** Key that authenticates datagrams between nodes, at least 16 characters. */
  7: required string peer_key,
  /** Key that signs resume tokens, at least 16 characters. */
  8: required string resume_key,
  /** Credential that operators present, at least 16 characters. */
  9: required string operator_key,
  /** Base URL of the transactional table. */
  10: required string table_url,
  /** Base URL of the object store. */
  11: required string objects_url,
  /** Base URL of the cloud API and VM list. */
  12: required string cloud_url,
  /** Address of the statsd server; empty sends no metrics. */
  13: required string statsd,
  /** Log format, terminal or json. */
  14: required string log_format,
  /** File that finished spans are appended to as JSON lines; empty keeps no spans. */
  15: required string trace_file,
  /** Largest accepted request body in bytes. */
  16: required i64 max_body_bytes,
  /** Most requests held at once, waiting or running. */
  17: required i32 max_in_flight,
  /** Longest pause of a sender inside one request, in milliseconds. */
  18: required i64 read_timeout_ms,
  /** Time a planned stop waits for streams in flight, in milliseconds. */
  19: required i64 stop_grace_ms,
  /** Fleet configuration file used until the table holds a version; empty waits for the table. */
  20: required string bootstrap,
  /** Calls a second this node may make to the platform. */
  21: required i32 platform_rate,
  /** Cell of the node: the nodes that report to each other every load, at most about 32. */
  22: required string cell,
  /** Data halls whose endpoints the nodes of the cell read. */
  23: required list<string> cell_halls,
}

/** A data hall and the region it stands in. */
struct Hall {
  /** Name of the data hall. */
  1: required string name,
  /** Region whose lease holder does the fleet work there. */
  2: required string region,
}

/** A set of interchangeable endpoints. */
struct Pool {
  /** Name of the pool. */
  1: required string name,
  /** Whether the endpoints run a model or a plain service. */
  2: required PoolKind kind,
  /** Model name that callers ask for, or path prefix of the service. */
  3: required string route,
  /** Whether the endpoints check the fence of an order. */
  4: required bool checks_fence,
}

/** One endpoint: a model worker or an instance of a service. */
struct Endpoint {
  /** Name of the endpoint. */
  1: required string name,
  /** Pool the endpoint serves. */
  2: required string pool,
  /** Address of the endpoint, IP:PORT. */
  3: required string address,
  /** Data hall of its VM. */
  4: required string hall,
  /** How its VM is bought. */
  5: required PriceClass price_class,
  /** Price of its VM in thousandths of the currency unit an hour. */
  6: required i64 price_milli,
  /** Requests it runs at once. */
  7: required i32 slots,
}

/** What a template sets and a team may override. */
struct Team {
  /** Name of the team. */
  1: required string name,
  /** SHA-256 of the team's credential, in hexadecimal. */
  2: required string credential_sha256,
  /** Most urgent class the team may ask for, and its default. */
  3: required Priority priority,
  /** Target time to the first token or to the answer of a service, in milliseconds. */
  4: required i64 target_ms,
  /** Longest time a request may take, in milliseconds. */
  5: required i64 deadline_ms,
  /** Pools that serve the team. */
  6: required list<string> pools,
  /** Requests a second, fleet-wide. */
  7: required i64 rate,
  /** Requests at once, fleet-wide. */
  8: required i64 concurrency,
  /** Spending an hour in thousandths of the currency unit, fleet-wide. */
  9: required i64 budget_milli,
  /** Weight of latency against cost, 0 (cost only) to 100 (latency only). */
  10: required i32 latency_weight,
  /** Price of a thousand generated tokens in thousandths of the currency unit. */
  11: required i64 token_price_milli,
}

/** The fleet configuration: what operators edit and every node applies whole. */
struct Configuration {
  1: required list<Pool> pools,
  2: required list<Endpoint> endpoints,
  3: required list<Team> teams,
  4: required list<Hall> halls,
}

/** Settings of one gateway: who it is, where it listens, and the bounds that it keeps. */
struct GatewaySettings {
  /** Name of the gateway, unique in the fleet. */
  1: required string name,
  2: required string region,
  3: required string zone,
  /** Address that callers connect to, IP:PORT. */
  4: required string callers,
  /** Address that answers whether this gateway takes callers, IP:PORT. */
  5: required string readiness,
  /** UDP address that other gateways send to, IP:PORT. */
  6: required string peers,
  /** Address that shows the metrics as text, IP:PORT; empty shows none. */
  7: required string metrics,
  /** Addresses of gateways tried first at start, IP:PORT; any of them may be gone. */
  8: required list<string> seeds,
  /** Address of the store, IP:PORT. */
  9: required string store,
  /** Address of the service that takes usage reports and orders, IP:PORT; empty means none. */
  10: required string orders,
  /** Whether this gateway may report usage. */
  11: required bool reports_usage,
  /** Whether this gateway may order endpoints. */
  12: required bool orders_endpoints,
  /** Descriptors that the process may hold. */
  13: required i32 descriptors,
  /** Longest age of the last confirmation of a credential, in milliseconds; 0 sets no bound: what is
      known is served on while the store is away. */
  14: required i64 credential_age_ms,
  /** Time between the request to stop and the kill, in milliseconds. */
  15: required i64 stop_grace_ms,
  /** Repeats allowed for each thousand requests of a service, over all gateways. */
  16: required i32 repeats_milli,
  /** Repeats allowed beside those, over all gateways. */
  17: required i32 repeats_extra,
  /** Window that repeats are counted in, in milliseconds. */
  18: required i64 repeats_window_ms,
  /** Units that a tenant may take beyond its limit in one window, over all gateways. */
  19: required i64 quota_slack,
  /** Shortest time in which one holder of a lease may not act again after another, in milliseconds. */
  20: required i64 lease_ms,
  /** Length of a usage window, in milliseconds. */
  21: required i64 usage_window_ms,
  /** Time after its end within which a usage window is due, in milliseconds. */
  22: required i64 usage_due_ms,
  /** Time within which a change of the configuration is to be in force, in milliseconds. */
  23: required i64 change_due_ms,
  /** Processor of the VM, in thousandths of a core. */
  24: required i32 cores_milli,
  /** UDP address at which this gateway decides for others of its hall, IP:PORT. */
  25: required string decisions,
  /** Part of a service's requests that a version may get that turns out bad, in thousandths. */
  26: required i32 exposure_milli,
  /** Requests that such a version may get beside that part, over all gateways. */
  27: required i32 exposure_extra,
  /** Region by data hall; empty where there is one region only. */
  28: required map<string, string> halls,
  /** Memory of the VM that this process may use, in MiB; 0 sets no bound. */
  29: required i32 memory_mib,
  /** What the link between two regions carries each way, in kilobits a second; 0 where that is not known. */
  30: required i64 region_link_kbit,
}
