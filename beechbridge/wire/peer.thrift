// Messages between VMs. Regenerate with:
//   thrift -out beechbridge/wire --gen py:slots beechbridge/wire/peer.thrift

namespace py peer

struct MemberView {
  1: required string name
  2: required i64 incarnation
  3: required i64 heartbeat
  4: required bool leaving
}

struct ReplicaSign {
  1: required string replica_id
  2: required i64 age_ms
  3: required bool draining
  4: required i64 oldest_snapshot
  5: required i64 newest_snapshot
}

struct Gossip {
  1: required list<MemberView> members
  2: required i64 generation
  3: required string digest
  4: required list<ReplicaSign> signs
}

struct ConfigurationWanted {
  1: required i64 generation
  2: required string digest
}

// Entries are JSON objects by entry key.
struct Document {
  1: required i64 generation
  2: required string digest
  3: required map<string, binary> entries
}

struct Delta {
  1: required i64 base_generation
  2: required string base_digest
  3: required i64 generation
  4: required string digest
  5: required map<string, binary> changed
  6: required list<string> removed
}

struct TicketedRequest {
  1: required string issuer_name
  2: required i64 issuer_incarnation
  3: required string number
  4: required string back_end
  5: required string key
  6: required binary body
  7: required i64 deadline_ms
}

struct RelayedRequest {
  1: required string relay_id
  2: required TicketedRequest request
}

// The result is a JSON value.
struct Done {
  1: required i64 snapshot
  2: required binary result
}

struct Failure {
  1: required string reason
  2: required string executed
  3: required string detail
  4: optional i64 retry_after_ms
}

union Outcome {
  1: Done done
  2: Failure failure
}

struct RelayedOutcome {
  1: required string relay_id
  2: required Outcome outcome
}

union Body {
  1: Gossip gossip
  2: ConfigurationWanted configuration_wanted
  3: Document document
  4: Delta delta
  5: RelayedRequest relayed_request
  6: RelayedOutcome relayed_outcome
}

struct Envelope {
  1: required string sender_name
  2: required i64 sender_incarnation
  3: required Body body
}

// `age_ms` is the time since the member's heartbeat increased, as far as the sender knows.
struct FleetMember {
  1: required string name
  2: required string host
  3: required string zone
  4: required i64 incarnation
  5: required i64 heartbeat
  6: required bool serving
  7: required i32 capacity_millicores
  8: required bool reaches_store
  9: required i32 requests_per_s
  10: required bool active
  11: optional bool reaches_replicas
  12: optional i64 age_ms
}

// `burst` is set for a cold replica, `cold_age_ms` says for how long the sender knows that it is cold.
struct WantedPermit {
  1: required string replica_id
  2: required double limit_per_s
  3: optional double burst
  4: optional i64 cold_age_ms
}

// Asks the keeper of replicas' limits for permission to send one request to each. `rank` is a
// number from 0 to 1 by which keepers agree on the requests that are served if not all can be.
struct PermitsWanted {
  1: required i64 batch_id
  2: required list<WantedPermit> permits
  3: required i32 least_count
  4: required double rank
}

// Wait in ms before each permit that was asked for, in the same order; 0 if it is granted, -1 if
// other requests have precedence.
struct PermitsAnswered {
  1: required i64 batch_id
  2: required list<i32> waits_ms
}

// The end of a replica's process while it ran a request; `age_ms` counts until the message was sent.
struct EndReport {
  1: required string replica_id
  2: required i64 started_ms
  3: required string round_id
  4: required i64 age_ms
  5: required bool is_alone
}

// The evidence against a request. `cleared_age_ms` is the time since a replica had run it safely.
struct SuspectReport {
  1: required string digest
  2: required string route
  3: required list<EndReport> ends
  4: optional i64 cleared_age_ms
}

// Without suspects it only says for how long the sender has heard of all ends.
struct SuspectsReport {
  1: required list<SuspectReport> suspects
  2: required i64 memory_age_ms
}

// A replica that has turned cold, and for how long it stays so from when the message was sent.
struct ColdReplica {
  1: required string replica_id
  2: required i64 started_ms
  3: required i64 left_ms
}

// The first member is the sender. `wants_members` requests all members that the receiver knows.
struct Heartbeat {
  1: required list<FleetMember> members
  2: required i64 table_version
  3: required i64 revision
  4: required bool wants_members
  5: required i64 epoch
  6: optional PermitsWanted permits_wanted
  7: optional PermitsAnswered permits_answered
  8: optional SuspectsReport suspects
  9: optional list<ColdReplica> cold_replicas
}

// An item without a value has been deleted.
struct StoreItem {
  1: required string key
  2: optional binary value
  3: required i64 revision
}

// `is_complete` says that there are no other items, because the receiver's epoch is an older one.
struct StoreChanges {
  1: required i64 revision
  2: required list<StoreItem> items
  3: required i64 epoch
  4: required bool is_complete
}

struct Header {
  1: required string name
  2: required string value
}

// Asks a VM to gather the shards that are near it. Times are in ms from the order's arrival. The
// digest identifies the request, see gateway/requests/identity.py.
struct PartsOrder {
  1: required string request_id
  2: required string method
  3: required string target
  4: required list<Header> headers
  5: required binary body
  6: required string route
  7: required i32 priority
  8: required list<string> services
  9: required i32 attempts
  10: required i32 top_records
  11: required double soft_ms
  12: required double hard_ms
  13: optional string digest
  14: optional list<string> home_regions
}

struct Part {
  1: required string service_name
  2: required string signature
}

struct MissingPart {
  1: required string service_name
  2: required i32 run_count
  3: required bool was_tried
  4: optional bool was_lost
}

// The body holds the merged records of all parts.
struct PartsAnswer {
  1: required list<Part> parts
  2: required list<MissingPart> missing
  3: required binary body
  4: required double work_ms
}

// A service of which replicas may have run a relayed request already.
struct TriedService {
  1: required string service_name
  2: required i32 run_count
}

// Asks a VM to serve a request of a caller of the sender, which reaches no replica. Times are in ms
// from its arrival. `is_counted` says that the sender has counted it for the budgets.
struct RequestRelay {
  1: required string request_id
  2: required string method
  3: required string target
  4: required string host
  5: required list<Header> headers
  6: required binary body
  7: required double soft_ms
  8: required double hard_ms
  9: required list<TriedService> tried
  10: required bool is_counted
}

struct RelayedReply {
  1: required i32 status
  2: required list<Header> headers
  3: required binary body
  4: required string signature
}

struct RelayedParts {
  1: required list<string> signatures
  2: required i32 missing_count
  3: required binary body
}

union RelayAnswer {
  1: RelayedReply reply
  2: RelayedParts parts
  3: Failure failure
}
