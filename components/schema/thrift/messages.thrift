/** Messages between nodes, resume tokens, and rows kept in the platform's table. */

/** What a datagram asks of its receiver. */
enum Kind {
  PING = 1,
  ACK = 2,
  PING_REQUEST = 3,
  NEWS = 4,
}

/** State of a member as the sender knows it; a later state wins within an incarnation. */
enum MemberState {
  ALIVE = 0,
  SUSPECT = 1,
  LEAVING = 2,
  DEAD = 3,
  /** Dead, and the platform lists its VM no more. */
  GONE = 4,
}

/** Gossip of one node. */
struct MemberGossip {
  1: required string name,
  /** Cell the node belongs to: the nodes that report to each other everything. */
  2: required string cell,
  3: required string address,
  4: required i64 incarnation,
  5: required MemberState state,
}

/** A reading of one endpoint's load, or gossip that it leaves. */
struct EndpointGossip {
  1: required string name,
  /** Incarnation of the endpoint: it grows when its VM is replaced. */
  2: required i64 incarnation,
  /** Counter of the reader's readings; a higher one is newer. */
  3: required i64 reading,
  /** Requests running. */
  4: required i32 running,
  /** Requests waiting. */
  5: required i32 queued,
  /** Age of the reading when sent, in milliseconds. */
  6: required i32 age_ms,
  /** Set when the endpoint leaves: milliseconds left when sent. */
  7: optional i32 leaving_in_ms,
  /** Whether the endpoint did not answer the last reading. */
  8: required bool silent,
}

/** Load of one pool in one cell, reported by a speaker of that cell. */
struct Summary {
  1: required string cell,
  2: required string pool,
  /** Counter of the speaker's summaries; a higher one is newer. */
  3: required i64 round,
  4: required i32 endpoints,
  5: required i32 free_slots,
  6: required i32 queued,
  /** Endpoints that are leaving. */
  7: required list<string> leaving,
  /** Node that made the summary. */
  8: required string speaker,
}

/** Demand of one team at one node, or summed over one cell: the input of quota sharing. */
struct TeamDemand {
  1: required string team,
  /** Name of the node or of the cell. */
  2: required string source,
  /** Counter of the node's reports; a higher one is newer. */
  3: required i64 round,
  /** Requests a second asked for, in thousandths. */
  4: required i64 rate_milli,
}

/** One datagram between nodes. */
struct Packet {
  1: required i32 schema_version,
  2: required string sender,
  3: required i64 incarnation,
  /** Grows with every datagram of an incarnation; receivers drop what they have seen. */
  4: required i64 sequence,
  5: required Kind kind,
  /** Number of the probe that a ping starts and an ack answers. */
  6: optional i64 probe,
  /** Node that a ping request asks to be probed. */
  7: optional string subject,
  8: optional list<MemberGossip> members,
  9: optional list<EndpointGossip> endpoints,
  10: optional list<Summary> summaries,
  11: optional list<TeamDemand> demands,
  12: optional i64 config_version,
  /** Sent while some receiver may lack the version. */
  13: optional string config_hash,
}

/** Asks a node for the body of a configuration, over TCP. */
struct BodyRequest {
  1: required string hash,
}

/** What a resume token carries, signed and opaque to the caller. */
struct ResumeToken {
  1: required string request,
  2: required string team,
  3: required string endpoint,
  4: required string stream,
  5: required i32 attempt,
  6: required i64 offset,
  /** SHA-256 of the request body. */
  7: required string body_sha256,
  /** Expiry in seconds of Unix time. */
  8: required i64 expires,
}

/** State of a claim on an idempotency key. */
enum ClaimState {
  CLAIMED = 1,
  DONE = 2,
  NOT_RUN = 3,
}

/** Row that makes a non-repeatable request run at most once. */
struct ClaimRow {
  /** Unique id of the claim. */
  1: required string claim,
  2: required string node,
  3: required ClaimState state,
  /** SHA-256 of the request. */
  4: required string request_sha256,
  /** Status and body of the stored outcome. */
  5: optional i32 status,
  6: optional string body,
}

/** Row of the lease on a region's fleet work. */
struct LeaseRow {
  1: required string holder,
  /** Grows with each change of holder; the fence of every order. */
  2: required i64 epoch,
  /** Unique id of the write, to recognise one's own after a lost answer. */
  3: required string write,
}

/** Row that names the newest configuration. */
struct HeadRow {
  1: required i64 version,
  2: required string hash,
  /** Unique id of the put, to recognise one's own after a lost answer. */
  3: required string put,
  4: required string author,
  5: required string note,
}

/** One VM that is being bought, or was bought and is not on the platform's list yet. */
struct Intent {
  /** Name the VM is bought under; the cloud API refuses a second one of that name. */
  1: required string vm,
  2: required string hall,
  3: required string pool,
  4: required bool on_demand,
  /** Whether the cloud confirmed the start. */
  5: required bool started,
}

/** Row of a region's purchases: written before the cloud is called. */
struct IntentsRow {
  /** Epoch of the lease it was written under. */
  1: required i64 epoch,
  /** Grows with each VM named, so that no name is used twice. */
  2: required i64 counter,
  3: required list<Intent> intents,
  /** Names of VMs that are being given back. */
  4: required list<string> returning,
}

/** One request that a gateway sent to an endpoint. */
struct Dispatch {
  /** Hash of the endpoint's id. */
  1: required i64 endpoint,
  /** Tokens of the prompt that the endpoint is expected to read. */
  2: required i32 unread_tokens,
  /** Hash of the prompt's shared parts, 0 if it has none. */
  3: required i64 shared_prompt,
  /** Age when reported, in milliseconds. */
  4: required i32 age_ms,
  /** Time that it is expected to run, in milliseconds. */
  5: required i32 hold_ms,
}

/** Requests that began to run in one usage window at one gateway; counts only grow. */
struct WindowUsage {
  /** Number of the window. */
  1: required i64 window,
  /** Requests by tenant. */
  2: required map<string, i64> begun,
}

/** Topics of the store that gateways pass on. */
enum TopicName {
  CONFIGURATION = 1,
  ENDPOINTS = 2,
}

/** How far a gateway knows a topic. */
struct TopicHead {
  1: required TopicName topic,
  /** Revision after which nothing changed up to known_to. */
  2: required i64 changed_at,
  /** The store's steady time at which that was confirmed, in microseconds. */
  3: required i64 confirmed_us,
  /** Revision up to which the gateway knows all changes. */
  4: required i64 known_to,
  /** Store era of both revisions; 0 if unset. */
  5: optional i64 era,
}

/** The newest row of the lease, as its holder wrote it. */
struct LeaseReport {
  /** Version of the row. */
  1: required i64 version,
  /** Its epoch. */
  2: required i64 epoch,
  /** Store era of the version; 0 if unset. */
  3: optional i64 era,
}

/** What an answer showed of the endpoint that made it. */
struct Sight {
  /** Hash of the start of the endpoint. */
  1: required i64 endpoint,
  /** Time since then, in milliseconds. */
  2: required i32 age_ms,
  /** How long work took there, in parts of 100 of the usual. */
  3: optional i32 slowdown_percent,
  /** Requests that ran or waited there. */
  4: optional i32 requests,
}

/** What an endpoint said of the rate at which it takes requests of all gateways together. */
struct LimitReport {
  /** Hash of the start of the endpoint. */
  1: required i64 endpoint,
  2: required string service_name,
  /** Time since the request was sent whose answer said so, in milliseconds. */
  3: required i32 asked_ms_ago,
  /** Requests a second; unset if it named no limit. */
  4: optional double per_s,
}

/** What a gateway reports to the others. */
struct Gossip {
  /** Name of the sender. */
  1: required string gateway,
  /** Start of the sender's process, in milliseconds since 1970. */
  2: required i64 incarnation,
  /** Counter of the sender's messages; a higher one is newer. */
  3: required i64 sequence,
  /** Requests sent since the last message. */
  4: required list<Dispatch> dispatches,
  /** Usage of the newest windows. */
  5: required list<WindowUsage> usage,
  /** Units that each tenant took here since the sender's start. */
  6: required map<string, i64> taken,
  /** Epoch of the lease that the sender holds, 0 for none. */
  7: required i64 lease_epoch,
  /** Addresses of other gateways that the sender knows, IP:PORT; at most a few a message. */
  8: required list<string> peers,
  /** Whether the sender stops. */
  9: required bool stopping,
  /** What the sender knows of the store's topics. */
  10: optional list<TopicHead> heads,
  /** Whether the store answered the sender's last call. */
  11: optional bool reaches_store,
  /** How long the sender's process has run, in milliseconds. */
  12: optional i64 uptime_ms,
  /** Row of the lease that the sender holds. */
  13: optional LeaseReport lease,
  /** Newest epoch of the lease that the sender gave up; it has no order of that epoch under way. */
  14: optional i64 lease_given_up,
  /** Data hall of the sender. */
  15: optional string hall,
  /** Processor of the sender's VM, in thousandths of a core. */
  16: optional i32 cores_milli,
  /** Whether the sender decides for gateways of its hall. */
  17: optional bool coordinates,
  /** UDP port at which the sender decides for others. */
  18: optional i32 decisions_port,
  /** Gateways of the sender's hall, as a coordinator knows them. */
  19: optional HallCount hall_count,
  /** Gateways of all halls that may be running, as a coordinator knows them. */
  20: optional i32 gateways,
  /** Coordinator that the sender asks first. */
  21: optional string asks,
  /** Usage of gateways for which the sender decides. */
  22: optional list<SourceUsage> forwarded,
  /** Roll-outs as their holder said, or as the sender heard it. */
  23: optional list<RolloutReport> rollouts,
  /** What the sender saw endpoints answer since a roll-out was ordered; for the holder. */
  24: optional list<EvidenceReport> evidence,
  /** Among several regions: when a message of one coordinator came, from which it reckons the way. */
  25: optional Echo echo,
  /** What the sender saw of engines; for coordinators. */
  36: optional list<EngineReport> engines,
  /** What the sender, or a gateway that it decides for, saw of contents whose endpoints ended; for coordinators. */
  37: optional list<ContentReport> contents,
  /** Contents that the sender holds back; at most a few a message, the new ones first. */
  38: optional list<HeldContent> held,
  /** Time of day that the sender votes for, in milliseconds since 1970, when it was sent. */
  39: optional i64 day_ms,
  /** What answers showed of endpoints. */
  40: optional list<Sight> sights,
  /** What endpoints said of their limits; for coordinators. */
  41: optional list<LimitReport> limits,
  /** Whether the sender keeps accounts of endpoints that name limits. */
  42: optional bool keeps_accounts,
  /** Whether the sender has lost its own paths to the endpoints. */
  43: optional bool has_lost_paths,
  /** From a coordinator: gateways that connect to endpoints for others, as addresses for placement queries. */
  44: optional list<string> relays,
  /** Prompt parts that the sender holds back; at most a few a message, the new ones first. */
  45: optional list<HeldParts> held_parts,
  /** Fingerprints of prompt parts that the sender suspects; whoever runs them well reports that. */
  46: optional list<i64> suspect_parts,
}

/** What one gateway saw of the content of a request. */
struct ContentReport {
  /** Fingerprint of the content; 0 if only the parts were seen. */
  1: required i64 content,
  /** Hash of the endpoint that ended while it ran it; unset if it ran to its end. */
  2: optional i64 ended,
  /** Fingerprints of prompt parts. With 'ended': the endpoint may just have begun to write an answer on them. Without: an
   * endpoint went on after that. */
  3: optional list<i64> parts,
  /** Time from the send of the request to the end of the endpoint, in milliseconds. */
  4: optional i64 ran_ms,
  /** Whether the request was a trial of parts that are held back. */
  5: optional bool is_trial,
}

/** Prompt parts: requests that have all of them are sent to no endpoint. */
struct HeldParts {
  /** Their fingerprints, in order. */
  1: required list<i64> parts,
  /** Time left in milliseconds, 0 if they were let go. */
  2: required i64 left_ms,
  /** How often they were held back so far. */
  3: required i32 times,
  /** Trials that ended an endpoint. */
  4: required i32 failed_trials,
}

/** The same, as the store keeps it. */
struct KeptParts {
  /** Their fingerprints, in order. */
  1: required list<i64> parts,
  /** The store's steady time until which they are held back, in milliseconds. */
  2: required i64 until_ms,
  /** How often they were held back so far. */
  3: required i32 times,
  /** Trials that ended an endpoint. */
  4: required i32 failed_trials,
}

/** A content that is sent to no endpoint. */
struct HeldContent {
  /** Its fingerprint. */
  1: required i64 content,
  /** Time left in milliseconds, 0 if it was let go. */
  2: required i64 left_ms,
  /** How often it was held back so far. */
  3: required i32 times,
}

/** The same, as the store keeps it. */
struct KeptContent {
  /** Its fingerprint. */
  1: required i64 content,
  /** The store's steady time until which it is held back, in milliseconds. */
  2: required i64 until_ms,
  /** How often it was held back so far. */
  3: required i32 times,
}

/** Row of everything that is held back. */
struct QuarantineRow {
  1: required list<KeptContent> held,
  2: optional list<KeptParts> parts,
}

/** When a message of another gateway came. */
struct Echo {
  /** Hash of that gateway's name. */
  1: required i64 gateway,
  /** Its uptime_ms. */
  2: required i64 uptime_ms,
  /** Time since it came, in microseconds. */
  3: required i64 held_us,
}

/** What one gateway saw of a service's engines; reports of several gateways are added. */
struct EngineReport {
  1: required string service_name,
  /** Moments of the times of steps, in the order in which the gateways name them. */
  2: required list<double> steps,
  /** Streams by the time that they allow for a token. */
  3: required list<double> allowed,
}

/** How far a roll-out is. */
enum RolloutStage {
  SAMPLE = 1,
  SWITCH_LONG = 2,
  SWITCH_ALL = 3,
  COMPLETED = 4,
  REVERTED = 5,
}

/** A roll-out, as the holder of the lease says. */
struct RolloutReport {
  1: required string service_name,
  /** Revision of its order. */
  2: required i64 revision,
  3: required RolloutStage stage,
  /** How long ago the holder said so, in milliseconds. */
  4: required i32 age_ms,
  /** Address of the holder, which takes evidence, IP:PORT. */
  5: required string holder,
}

/** Answers of one kind; a bucket is 2 log2 of the time, in milliseconds or thousandths of the time expected. */
struct AnswerCounts {
  /** Hash of the route. */
  1: required i64 route,
  /** Hash of the endpoint of the ordered version, 0 for all of the old version. */
  2: required i64 endpoint,
  3: required i64 failed,
  /** Whole answers by bucket. */
  4: required map<i32, i64> whole,
}

/** Answers since a roll-out was ordered, as sums since then. */
struct EvidenceReport {
  1: required string service_name,
  /** Revision of its order. */
  2: required i64 revision,
  3: required list<AnswerCounts> answers,
}

/** Row of the newest roll-out of a service. */
struct RolloutRow {
  /** Revision of its order. */
  1: required i64 revision,
  /** The version ordered. */
  2: required string version,
  /** The store's steady time at which the order was seen first, in milliseconds. */
  3: required i64 ordered_ms,
  /** Unset while it runs. */
  4: optional RolloutStage decision,
}

/** Gateways of one data hall, the sender included. */
struct HallCount {
  1: required i32 alive,
  /** Heard before and silent now, or listed and not heard yet. */
  2: required i32 silent,
}

/** Usage of one process in one window, passed on for it. */
struct SourceUsage {
  1: required string gateway,
  /** Start of its process, in milliseconds since 1970. */
  2: required i64 incarnation,
  3: required WindowUsage usage,
}

/** One part of a prompt. */
struct PromptPart {
  1: required i64 id,
  2: required i32 tokens,
}

/** Asks a coordinator to charge a request to its team and to place it. */
struct DecisionQuery {
  /** Chosen by the sender; the reply echoes it. */
  1: required i64 number,
  /** Service that runs the request. */
  2: required string service_name,
  /** Team whose limit is charged; none where nothing is to be charged. */
  3: optional string team,
  /** Units of the team's limit. */
  4: required i64 cost,
  /** Whether the request comes first where the limit is short. */
  5: required bool urgent,
  /** Tokens of the whole prompt, 0 for a plain request. */
  6: required i32 prompt_tokens,
  /** Tokens of the answer as far as can be guessed, 0 if unknown. */
  7: required i32 answer_tokens,
  8: required list<PromptPart> parts,
  /** Hashes of endpoints that are not to be used. */
  9: required list<i64> excluded,
  /** Id of the request, for logs. */
  10: required string request,
  /** Hash of the route. */
  11: optional i64 route,
  /** Whether the run would be lost if its endpoint ended. */
  12: optional bool is_lost_when_cut,
  /** Bytes of the request's body. */
  13: optional i32 body_bytes,
  /** Data hall of the sender, where there are several regions. */
  14: optional string hall,
  /** Hashes of starts of endpoints that want nothing from the sender, since they leave or asked it for a pause; at most a few. */
  15: optional list<i64> closed,
  /** What answers showed of endpoints since the last query; at most a few. */
  16: optional list<Sight> sights,
  /** What endpoints said of their limits since the last query; at most a few. */
  17: optional list<LimitReport> limits,
  /** The only version of endpoint software that may run the request; unset if any may. */
  18: optional string software_version,
  /** Whether the answer is a stream that another endpoint may continue. */
  19: optional bool can_continue,
  /** Maximum age, in milliseconds, of the endpoint records that are decided from; unset if any age will do. */
  20: optional i32 max_age_ms,
}

/** Where a request goes, as a coordinator decided. */
struct PlacedAt {
  1: required string endpoint,
  /** IP:PORT. */
  2: required string address,
  /** Tokens it is expected to read. */
  3: required i32 unread_tokens,
  /** Hash of the prompt's shared beginning, 0 if it has none. */
  4: required i64 shared_prompt,
  /** Expected time to its first token, in milliseconds. */
  5: required i32 expected_ms,
  /** Expected time to its end, in milliseconds. */
  6: required i32 hold_ms,
  /** Endpoints that were weighed. */
  7: required i32 weighed,
  /** Version of the endpoint, while its answers are evidence in a roll-out. */
  8: optional string version,
  /** Data hall of the endpoint. */
  9: optional string hall,
  /** Expected time at the best endpoint of the region that the request leaves, in milliseconds. */
  10: optional i32 home_ms,
  /** Hash of the start of the endpoint that is meant; without it that of its id. */
  11: optional i64 incarnation,
  /** How long work is taken to need there, in parts of 100 of the usual; unset where the endpoints tell nothing of it. */
  12: optional i32 slowdown_percent,
  /** The newest that it said of its limit; unset if it never named one. */
  13: optional LimitReport limit,
  /** Where the account of its limit is kept, IP:PORT; unset if it named none. */
  14: optional string keeper,
  /** Version of the endpoint's software. */
  15: optional string software_version,
  /** Whether several versions may have streams, so that the version which begins one has to be reported. */
  16: optional bool has_several_versions,
}

/** Answer to a DecisionQuery. */
struct DecisionReply {
  1: required i64 number,
  /** Set where the team's limit is used up: time to come back, in milliseconds. Nothing was charged. */
  2: optional i64 retry_ms,
  /** Unset where no endpoint takes work, or the limit is used up. */
  3: optional PlacedAt placed,
  /** Set where only another region could take it: time until the link there has room, in milliseconds. */
  4: optional i64 link_wait_ms,
  /** Set where the coordinator does not know the endpoints yet, since it has just begun: nothing was charged. */
  5: optional bool starting,
  /** Milliseconds since the endpoint records that were decided from were last known to be current; unset if never. */
  6: optional i32 age_ms,
  /** Set where these records are older than asked for: nothing was charged. */
  7: optional bool outdated,
}

/** Units that were charged by a coordinator and not used. */
struct GiveBack {
  1: required string team,
  2: required i64 units,
}

/** Asks the coordinator that keeps the account of an endpoint's limit for one send. */
struct SendQuery {
  /** Chosen by the sender; the reply echoes it. */
  1: required i64 number,
  /** What the sender knows of the limit. */
  2: required LimitReport limit,
  /** Data hall of the endpoint. */
  3: required string hall,
  /** Whether the request comes first where sends are short. */
  4: required bool urgent,
  /** Id of the request, for logs. */
  5: required string request,
}

/** Answer to a SendQuery. */
struct SendReply {
  1: required i64 number,
  /** Time to ask again, in milliseconds; unset if the send was granted. */
  2: optional i64 retry_ms,
  /** What the keeper knows of the limit. */
  3: required LimitReport limit,
}

/** The software version that began a stream. */
struct StreamRecord {
  /** Hash of the team and of the attempt that brought the first event. */
  1: required i64 stream,
  /** Unset if it cannot be known. */
  2: optional string software_version,
  /** Time for which the record is kept, in milliseconds. */
  3: required i32 left_ms,
}

/** Records of streams for the coordinators that keep them. */
struct StreamReport {
  1: required list<StreamRecord> records,
  /** Whether the receiver passes them on to the other keepers. */
  2: required bool passes_on,
}

/** Asks which software version began a stream. */
struct StreamQuery {
  /** Chosen by the sender; the reply echoes it. */
  1: required i64 number,
  2: required string service_name,
  /** Hash of the team and of the attempt that brought the first event. */
  3: required i64 stream,
  /** Whether the receiver asks the other keepers. */
  4: required bool passes_on,
  /** Whether it asks those of other regions too. */
  5: optional bool all_regions,
}

/** Answer to a StreamQuery. */
struct StreamReply {
  1: required i64 number,
  /** The version that is recorded. */
  2: optional string recorded,
  /** Whether a record says that the version cannot be known. */
  3: optional bool is_ambiguous,
  /** The only version that can have begun a stream of the service. */
  4: optional string only_version,
}

/** A datagram to a coordinator, or its answer; one field is set. */
struct Decision {
  1: optional DecisionQuery query,
  2: optional DecisionReply reply,
  3: optional GiveBack give_back,
  /** What answers showed of endpoints and cannot wait for the next query. */
  4: optional list<Sight> sights,
  5: optional SendQuery send_query,
  6: optional SendReply send_reply,
  7: optional StreamReport stream_report,
  8: optional StreamQuery stream_query,
  9: optional StreamReply stream_reply,
}

/** Asks another gateway for the rows of a topic. */
struct RowsQuery {
  1: required TopicName topic,
  /** Revision up to which the asking gateway knows all changes, 0 for none. */
  2: required i64 after,
  /** Key of the last row that came; the reply goes on after it. */
  3: optional string after_key,
  /** Bytes of rows at most, but at least one row. Without it the reply holds all rows or is refused. */
  4: optional i32 most_bytes,
  /** Whether the reply may come deflated. */
  5: optional bool takes_deflated,
  /** Store era of `after`; 0 if unset. */
  6: optional i64 after_era,
  /** Whether the changes are to be read from the store, which does not answer the asking gateway. */
  7: optional bool from_store,
}

/** One row, without a value if it was dropped. */
struct RowChange {
  1: required string key,
  2: optional binary value,
  3: required i64 revision,
}

/** Rows of a topic as another gateway knows them. */
struct RowsReply {
  1: required list<RowChange> rows,
  /** Whether these are all rows, or the changes asked for. */
  2: required bool whole,
  /** Revision up to which all changes are known. */
  3: required i64 known_to,
  /** Whether rows with higher keys follow. */
  4: optional bool more,
  /** Store era of all revisions; 0 if unset. */
  5: optional i64 era,
  /** Monotonic time of the store, in microseconds, at which the rows were read from it; unset for known rows. */
  6: optional i64 read_us,
}

/** Row of one gateway in the store: where the others reach it. */
struct GatewayRow {
  /** UDP address, IP:PORT. */
  1: required string address,
  /** Start of its process, in milliseconds since 1970. */
  2: required i64 incarnation,
  /** Its data hall. */
  3: optional string hall,
  /** Processor of its VM, in thousandths of a core. */
  4: optional i32 cores_milli,
  /** UDP port at which it decides for others, if it coordinates. */
  5: optional i32 decisions_port,
}

/** Row of one usage window: what is reported for it, whoever reports. */
struct UsageRow {
  1: required map<string, i64> begun,
}
