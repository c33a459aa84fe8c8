@0xb1c5f0a97c2d4e83;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("dotterel::schema");

# A process as others see it. A higher incarnation number of the same process
# replaces a lower one; within an incarnation the higher heartbeat wins.
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
  storeReadAgeMs @10 :UInt32;  # age of the newest own read of the store
  storeLost @11 :Bool;         # own reads of the store have failed of late
  prefillTokensPerSecond @12 :UInt64;
  decodeTokensPerSecond @13 :UInt64;

  enum Role {
    gate @0;
    steward @1;
  }
}

# Backend servers lost while they ran requests with one digest.
struct CrashReport {
  digest @0 :UInt64;
  backends @1 :List(Text);
  released @2 :UInt64;  # number of releases seen
  lostAlone @3 :Bool;   # one was lost while it ran this request alone
}

struct View {
  members @0 :List(Member);
  crashes @1 :List(CrashReport);
  evidenceAgeMs @2 :UInt32;  # age of the newest known read of the store
  leavingBackends @3 :List(Text);
}

struct Shard {
  index @0 :UInt32;
  document @1 :Text;
}

struct ClaimRequest {
  identity @0 :Text;
  attempt @1 :Text;
  issuedAtMs @2 :UInt64;  # calendar time inside the idempotency key
  content @3 :UInt64;     # digest of the request's body
}

struct ClaimReply {
  verdict @0 :Verdict;
  status @1 :UInt16;
  body @2 :Text;
  hasBody @3 :Bool;
  contentType @4 :Text;

  enum Verdict {
    granted @0;
    inDoubt @1;    # claimed by another attempt, no outcome recorded
    finished @2;   # ran; the recorded answer follows when it was small enough
    unavailable @3;  # no durable claim could be made
    mismatch @4;     # the identity was used with another body
  }
}

struct OutcomeRecord {
  identity @0 :Text;
  attempt @1 :Text;
  released @2 :Bool;  # never reached a backend server
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
  entries @3 :List(UsageEntry);  # cumulative within the segment
  confirmedBelow @4 :UInt64;     # segments below this number stand in the store
}

# Spoken between the system's own processes.
interface Peer {
  exchange @0 (view :View) -> (view :View);
  fetchConfiguration @1 (known :List(UInt64)) -> (revision :UInt64, head :Text, shards :List(Shard));
  claim @2 (request :ClaimRequest) -> (reply :ClaimReply);
  recordOutcome @3 (record :OutcomeRecord) -> (durable :Bool);
  replicateUsage @4 (batch :UsageBatch) -> ();
}
