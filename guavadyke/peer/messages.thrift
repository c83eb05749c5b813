/** Messages between entry hosts. Fields are only ever added. */

namespace py messages

enum PeerState {
  alive = 1,
  suspect = 2,
  left = 3,
  dead = 4,
}

struct PeerRecord {
  1: string host_id,
  2: string zone,
  3: string region,
  4: string address,
  5: i64 incarnation,
  6: PeerState state,
}

struct Ping {
  1: i64 sequence,
}

/** Answers a ping; target is the host that was pinged. */
struct Ack {
  1: i64 sequence,
  2: optional string target,
}

/** Asks the receiver to ping the target for the sender. */
struct PingRequest {
  1: i64 sequence,
  2: string target,
}

/** Whether a source says that a backend server is leaving; of the marks of
 * one source the higher version is the newer. */
struct LeavingMark {
  1: string backend_id,
  2: i64 version,
  3: bool leaving,
  4: optional string source,
}

struct LimitDemand {
  1: string limit_name,
  2: double demand,
  3: optional i64 sequence,
  4: optional double in_use,
}

struct LimitGrant {
  1: string limit_name,
  2: double share,
  3: double valid_s,
  4: optional i64 sequence,
}

/** Online requests that the sender has at one backend server; work_ms is
 * their remaining work at a server of usual speed. */
struct OnlineCount {
  1: string backend_id,
  2: i32 in_flight,
  3: i32 queued,
  4: optional i32 work_ms,
}

/** Batch items that the sender has at one backend server. */
struct BatchCount {
  1: string backend_id,
  2: i32 in_flight,
}

/** Whether the sender's requests to one backend server fail; without
 * failing, the server answers again. With leaving, the server that started
 * at born_ms has said that it leaves. */
struct ServerFault {
  1: string backend_id,
  2: string zone,
  3: bool failing,
  4: optional bool leaving,
  5: optional i64 born_ms,
}

/** Asks for one request to a backend server that limits the requests of all
 * hosts; limit_per_s is the limit as the sender knows it. */
struct PermitRequest {
  1: string server_id,
  2: double limit_per_s,
  3: bool batch,
}

/** Allows the receiver one request within valid_s, or none for wait_s. */
struct Permit {
  1: string server_id,
  2: bool batch,
  3: double valid_s,
  4: double wait_s,
}

/** At which service and software version a stream began; a stream that the
 * sender doesn't know has no service. */
struct StreamOrigin {
  1: string stream_id,
  2: optional string service_name,
  3: optional string software,
}

/** Whether the sender can run items of jobs; without able, for valid_s. */
struct HostAbility {
  1: bool able,
  2: double valid_s,
}

/** Asks for permits of a team whose limit holds over all hosts; the limit is
 * that of the version of the configuration that the sender knows. */
struct AllowanceRequest {
  1: string team,
  2: double requests_per_s,
  3: double burst,
  4: i64 configuration,
  5: i32 wanted,
}

/** Allows the receiver count requests of a team within valid_s, or none for
 * wait_s; usage is what the team uses of its allowed rate. */
struct AllowancePermit {
  1: string team,
  2: i32 count,
  3: double valid_s,
  4: double wait_s,
  5: double usage,
}

/** The one datagram; what is absent is not said. ended_jobs are the ids of
 * jobs that their callers have cancelled. */
struct Datagram {
  1: i32 format,
  2: string sender,
  3: i64 incarnation,
  4: i64 sequence,
  5: i64 catalogue_revision,
  6: bool platform_reachable,
  7: optional Ping ping,
  8: optional Ack ack,
  9: optional PingRequest ping_request,
  10: optional list<PeerRecord> peers,
  11: optional list<LeavingMark> leaving,
  12: optional list<LimitDemand> demands,
  13: optional list<LimitGrant> grants,
  14: optional list<OnlineCount> counts,
  15: optional list<BatchCount> batch_counts,
  16: optional i64 catalogue_digest,
  17: optional string boot,
  18: optional i64 sent_ms,
  19: optional list<ServerFault> faults,
  20: optional list<PermitRequest> permit_requests,
  21: optional list<Permit> permits,
  22: optional list<StreamOrigin> stream_origins,
  23: optional list<StreamOrigin> stream_queries,
  24: optional list<HostAbility> abilities,
  25: optional list<string> ended_jobs,
  26: optional list<AllowanceRequest> allowance_requests,
  27: optional list<AllowancePermit> allowance_permits,
}

struct ObjectVersion {
  1: string name,
  2: i64 version,
}

/** A catalogue object without its history. */
struct CatalogueCopy {
  1: string name,
  2: binary body,
}

/** Asks for the versions in the buckets whose digests differ. */
struct CatalogueQuery {
  1: list<i64> digests,
}

struct CatalogueFetch {
  1: list<string> names,
}

/** Asks for the peers and leaving marks that the receiver knows. */
struct FleetQuery {
}

/** A call that the receiver makes to the platform for the sender. */
struct PlatformCall {
  1: string method,
  2: string kind,
  3: string name,
  4: optional binary body,
  5: optional i64 version,
  6: optional string after,
  7: optional i32 limit,
  8: optional bool bodies,
}

struct StoredObject {
  1: string kind,
  2: string name,
  3: i64 version,
  4: binary body,
}

struct ListedHost {
  1: string host_id,
  2: string role,
  3: string zone,
  4: string address,
  5: bool leaving,
}

/** Asks for the changes of a kind after a revision of the platform; the
 * receiver waits for one. The connection stays open for the next query. */
struct WatchQuery {
  1: string kind,
  2: i64 revision,
  3: i32 wait_ms,
}

/** Asks for a connection to a backend server; after an answer without error
 * the connection carries its bytes. */
struct TunnelCall {
  1: string address,
}

/** What is known of an item's text: the data of its first events, in order.
 * Only the software version that wrote them can continue them. */
struct PartialText {
  1: string item_id,
  2: string software,
  3: list<binary> events,
}

/** Hands the texts of a job's unfinished items to its next owner. */
struct PartialTexts {
  1: string job_id,
  2: list<PartialText> texts,
}

/** A change of an object; without its state it was deleted. */
struct ObjectEvent {
  1: string name,
  2: i64 version,
  3: optional StoredObject current,
}

struct PlatformReply {
  1: optional list<StoredObject> objects,
  2: optional i64 revision,
  3: optional bool more,
  4: optional list<ListedHost> hosts,
  5: optional list<ObjectEvent> events,
  6: optional bool expired,
}

/** The receiver's refusal, with the stable code of the error. */
struct RemoteError {
  1: string code,
  2: string message,
  3: optional i64 current_version,
}

struct Request {
  1: i32 format,
  2: string sender,
  3: i64 sent_ms,
  4: string nonce,
  5: optional CatalogueQuery catalogue_query,
  6: optional CatalogueFetch catalogue_fetch,
  7: optional FleetQuery fleet_query,
  8: optional PlatformCall platform_call,
  9: optional WatchQuery watch_query,
  10: optional TunnelCall tunnel_call,
  11: optional PartialTexts partial_texts,
}

struct Reply {
  1: i32 format,
  2: string nonce,
  3: optional RemoteError error,
  4: optional list<ObjectVersion> versions,
  5: optional list<CatalogueCopy> copies,
  6: optional list<PeerRecord> peers,
  7: optional list<LeavingMark> leaving,
  8: optional PlatformReply platform,
}
