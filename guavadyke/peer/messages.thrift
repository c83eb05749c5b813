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

struct Ack {
  1: i64 sequence,
}

/** Asks the receiver to ping the target for the sender. */
struct PingRequest {
  1: i64 sequence,
  2: string target,
}

/** A backend server that is leaving; the higher version is the newer. */
struct LeavingMark {
  1: string backend_id,
  2: i64 version,
  3: bool leaving,
}

struct LimitDemand {
  1: string limit_name,
  2: double demand,
}

struct LimitGrant {
  1: string limit_name,
  2: double share,
  3: double valid_s,
}

struct OnlineCount {
  1: string backend_id,
  2: i32 in_flight,
  3: i32 queued,
}

/** Batch items that the sender has at one backend server. */
struct BatchCount {
  1: string backend_id,
  2: i32 in_flight,
}

/** The one datagram; what is absent is not said. */
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
}
