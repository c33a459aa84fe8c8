@0xb1c5f0a97c2d4e83;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("dotterel::schema");

# State of a process, as gossiped between processes. A record with a higher
# incarnation number replaces one of the same process with a lower number; within
# an incarnation, the record with the higher heartbeat replaces the other.
struct Member {
  process @0 :Text;
  host @1 :Text;
  dataCentre @2 :Text;
  region @3 :Text;
  role @4 :Role;
  address @5 :Text;
  incarnation @6 :UInt64;
  heartbeat @7 :UInt64;
  leaving @8 :Bool;
  configRevision @9 :UInt64;
  storeReadAgeMs @10 :UInt32;  # time since the process itself last read the store
  storeLost @11 :Bool;         # recent reads of the store by the process itself failed
  prefillTokensPerSecond @12 :UInt64;
  decodeTokensPerSecond @13 :UInt64;

  enum Role {
    gate @0;
    steward @1;
  }
}

# Backend servers that were lost while they ran requests with one digest.
struct CrashReport {
  digest @0 :UInt64;
  backends @1 :List(Text);
  released @2 :UInt64;  # number of known releases
  lostAlone @3 :Bool;   # a server was lost while it ran only this request
  msSinceSent @4 :List(UInt32);  # for each server, since the request was sent to it
  msSinceLost @5 :List(UInt32);  # for each server, since it was lost
}

# What a response of a backend server stated about its request rate.
struct RateLimit {
  backend @0 :Text;
  limited @1 :Bool;
  perSecond @2 :Float64;
  ageMs @3 :UInt32;  # since the response arrived
}

struct View {
  members @0 :List(Member);
  crashes @1 :List(CrashReport);
  evidenceAgeMs @2 :UInt32;  # time since the newest known read of the store
  leavingBackends @3 :List(Text);
  rateLimits @4 :List(RateLimit);
}

struct Shard {
  index @0 :UInt32;
  document @1 :Text;
}

struct ClaimRequest {
  identity @0 :Text;
  attempt @1 :Text;
  issuedAtMs @2 :UInt64;  # calendar time that the idempotency key contains
  content @3 :UInt64;     # digest of the request body
}

struct ClaimReply {
  verdict @0 :Verdict;
  status @1 :UInt16;
  body @2 :Text;
  hasBody @3 :Bool;
  contentType @4 :Text;

  enum Verdict {
    granted @0;
    inDoubt @1;    # claimed by another attempt that has no recorded outcome
    finished @2;   # complete; includes the recorded response if it was small enough
    unavailable @3;  # the claim could not be made durable
    mismatch @4;     # the identity was used with a different body
  }
}

struct OutcomeRecord {
  identity @0 :Text;
  attempt @1 :Text;
  released @2 :Bool;  # the request never reached a backend server
  status @3 :UInt16;
  body @4 :Text;
  hasBody @5 :Bool;
  contentType @6 :Text;
}

struct UsageEntry {
  organisation @0 :Text;
  model @1 :Text;
  requests @2 :UInt64;
  prefillTokens @3 :UInt64;
  decodeTokens @4 :UInt64;
}

struct UsageBatch {
  incarnation @0 :Text;
  window @1 :UInt64;
  segment @2 :UInt64;
  entries @3 :List(UsageEntry);  # cumulative totals of the segment
  confirmedBelow @4 :UInt64;     # segments below this number are in the store
}

# Calls between the system's own processes.
interface Peer {
  exchange @0 (view :View) -> (view :View);
  fetchConfiguration @1 (known :List(UInt64)) -> (revision :UInt64, head :Text, shards :List(Shard));
  claim @2 (request :ClaimRequest) -> (reply :ClaimReply);
  recordOutcome @3 (record :OutcomeRecord) -> (durable :Bool);
  replicateUsage @4 (batch :UsageBatch) -> ();
}
