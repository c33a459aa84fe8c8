@0xd3f1a6b2c7e84915;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("dotterel::schema");

# One datagram between two hosts.
struct HostMessage {
  sender @0 :Text;
  dataCentre @1 :Text;
  union {
    loads @2 :LoadSummary;
    question @3 :Question;
    reply @4 :Reply;
    changes @5 :List(RecordChange);
    usage @6 :UsageSegment;
    crashes @7 :CrashReports;
    organisationUse @8 :OrganisationUse;
    streamRecords @9 :StreamRecords;
    streamQuery @10 :StreamQuery;
    streamReply @11 :StreamReply;
  }
}

# A change of a store record that a relay has observed.
struct RecordChange {
  key @0 :Text;
  value @1 :Data;
  removed @2 :Bool;
  revision @3 :UInt64;
  storeEra @4 :UInt64;  # history of the store that the revision is of
}

# Usage counts that their host cannot write to the store.
struct UsageSegment {
  window @0 :UInt64;
  incarnation @1 :Text;
  number @2 :UInt64;
  totals @3 :Text;  # encoded as in the store
  stored @4 :Bool;  # states that the store holds the segment with these totals
  storeEra @5 :UInt64;  # history of the store that holds it
}

# The load in flight of a host or of all hosts of a data centre.
struct LoadSummary {
  wholeDataCentre @0 :Bool;
  engines @1 :List(EngineLoad);
  reads @2 :List(PromptRead);  # since the sender's previous message
  prefillTokensPerSecond @3 :Float32;
  rateLimits @4 :List(RateLimit);
  distributor @5 :Text;  # host that distributes it in the receiving data centre
  speeds @6 :List(ServerSpeed);
  number @7 :UInt64;  # of the data centre's summary; its copies have the same

  struct EngineLoad {
    engine @0 :Text;
    requests @1 :Float32;
    unreadTokens @2 :Float32;
  }

  # A prompt that an engine has prefilled.
  struct PromptRead {
    engine @0 :Text;
    parts @1 :List(Part);
  }

  struct Part {
    id @0 :Text;
    tokens @1 :UInt32;
  }

  # What hosts have learnt about the speed of a server.
  struct ServerSpeed {
    backend @0 :Text;
    factor @1 :Float32;  # 0: not stated
    ageMs @2 :UInt32;  # since the response that stated the factor arrived
    deviationSum @3 :Float32;  # since the sender's previous message
    measurements @4 :UInt16;
  }

  # What a response of a server stated about its request rate.
  struct RateLimit {
    backend @0 :Text;
    limited @1 :Bool;
    perSecond @2 :Float64;
    ageMs @3 :UInt32;  # since the response arrived
  }
}

# Use of limited organisations by a host or by all hosts of a data centre.
struct OrganisationUse {
  wholeDataCentre @0 :Bool;
  distributor @1 :Text;  # as in LoadSummary
  incarnation @2 :UInt64;  # of the sending process
  number @3 :UInt64;  # increases with each message of the process
  hosts @4 :UInt32;  # whose use is included
  entries @5 :List(Entry);

  struct Entry {
    organisation @0 :Text;
    countsTokens @1 :Bool;
    demandPerSecond @2 :Float32;
    use @3 :List(Float32);  # by window, shortest first
    total @4 :Float32;  # over all hosts that the sender hears
  }
}

# Asks a relay how recently its copy of the store was confirmed.
struct Question {
  sentAt @0 :UInt64;  # on the clock of the asking host, echoed by the reply
}

struct Reply {
  sentAt @0 :UInt64;
  evidenceAgeMs @1 :UInt32;
  configRevision @2 :UInt64;
  backendsDigest @3 :UInt64;
  storeEra @4 :UInt64;  # newest history of the store that the relay has observed
}

# Evidence about requests that were running on lost backend servers. By columns,
# since these take half of the bytes.
struct CrashReports {
  backends @0 :List(Text);  # losses refer to them by position

  # An entry for each report:
  digests @1 :List(UInt64);
  releases @2 :List(UInt64);
  lostAlone @3 :List(Bool);
  lossCounts @4 :List(UInt16);

  # An entry for each loss, in the order of the reports:
  lossBackends @5 :List(UInt16);
  msSinceSent @6 :List(UInt32);
  msSinceLost @7 :List(UInt32);
}

# Software that began a stream.
struct StreamOrigin {
  service @0 :Text;
  version @1 :Text;
}

# Origins of streams that the receiver is to keep. Most are the same few ones.
struct StreamRecords {
  origins @0 :List(StreamOrigin);
  streams @1 :List(UInt64);
  originOfStream @2 :List(UInt8);  # position in origins, for each stream
}

# Asks for the origin of a stream.
struct StreamQuery {
  number @0 :UInt64;  # of the lookup, at the sender
  round @1 :UInt32;
  stream @2 :UInt64;
}

struct StreamReply {
  query @0 :StreamQuery;
  known @1 :Bool;
  origin @2 :StreamOrigin;
}
