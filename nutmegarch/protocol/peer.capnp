@0xb1c6a5d0e9f34721;

# The protocol between two nodes. Times are durations in nanoseconds, because the clocks of two hosts are not
# comparable.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("nutmegarch::protocol::wire");

struct CallContext {
  idHigh @0 :UInt64;
  idLow @1 :UInt64;
  service @2 :Text;
  route @3 :Text;
  caller @4 :Text;
  callClass @5 :UInt8;
  shedRank @6 :UInt8;
  depth @7 :UInt8;
  crashCount @8 :UInt8;
  repeated @9 :Bool;
  idempotent @10 :Bool;
  retryTokens @11 :UInt16;
  remaining @12 :Int64;
  fingerprint @13 :UInt64;
  ticketIncarnation @14 :UInt64;
  ticketSequence @15 :UInt64;
  # Hybrid logical clock of the sender.
  stamp @16 :UInt64;
  attemptId @17 :Text;
  instance @18 :Text;
  inner @19 :Bool;
  # Requests per second that the target takes, as the sender has learned it, and the time since the target
  # named it. 0: not known.
  targetRate @20 :Float64;
  targetRateAge @21 :Int64;
  # Time for which the sender can still take the answer, since it stops afterwards. 0: no limit.
  answerWithin @22 :Int64;
  # Name of the caller's organisation; empty without one.
  organisation @23 :Text;
}

struct CallId {
  high @0 :UInt64;
  low @1 :UInt64;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Request {
  method @0 :Text;
  target @1 :Text;
  headers @2 :List(Header);
  body @3 :Data;
  authority @4 :Text;
}

struct Answer {
  outcome @0 :UInt8;
  reason @1 :UInt8;
  status @2 :UInt16;
  headers @3 :List(Header);
  body @4 :Data;
  tokensBack @5 :UInt16;
  load @6 :Float64;
  level @7 :UInt16;
  leaving @8 :Bool;
  incarnation @9 :UInt64;
  routeLevel @10 :UInt16;
  callsOn @11 :Bool;
  ticketSequence @12 :UInt64;
  rule @13 :Text;
  stamp @14 :UInt64;
  # The call was written to the target. It counts as an arrival there, whether or not the target answered.
  reachedTarget @15 :Bool;
  # Requests per second that the target takes, and the time since it named them. 0: no limit is known.
  targetRate @16 :Float64;
  targetRateAge @17 :Int64;
  # Set when the target process that the call names has announced that it leaves.
  targetLeaving @18 :Departure;
  # Only targets call the route, while they run other calls.
  innerRoute @19 :Bool;
  # As in Exchange.
  configurationVersion @20 :UInt64;
  configurationAge @21 :Int64;
}

struct Departure {
  # Start of the process on the platform's clock, in milliseconds; 0 when unknown.
  startedMs @0 :Int64;
}

struct DocumentStamp {
  key @0 :Text;
  version @1 :UInt64;
  revision @2 :UInt64;
  hash @3 :UInt64;
  # Era of the store in which the revision was given out.
  era @4 :UInt64;
}

struct Document {
  stamp @0 :DocumentStamp;
  body @1 :Data;
}

struct CrashMark {
  fingerprint @0 :UInt64;
  crashes @1 :UInt16;
}

struct Exchange {
  host @0 :Text;
  incarnation @1 :UInt64;
  leaving @2 :Bool;
  digest @3 :List(DocumentStamp);
  documents @4 :List(Document);
  marks @5 :List(CrashMark);
  stamp @6 :UInt64;
  # Revision of the newest change that the platform's store has told the sender of; 0 if the store does not
  # confirm the sender's view now.
  storeRevision @7 :UInt64;
  # Revision of a change that peers may wait for on dead connections to the store; 0 if there is none.
  noticeRevision @8 :UInt64;
  # Eras of the store in which the two revisions were given out.
  storeEra @9 :UInt64;
  noticeEra @10 :UInt64;
  # Version of the configuration that the sender has in force; 0 if it has none.
  configurationVersion @11 :UInt64;
  # This long ago the platform's store had no newer configuration than that. 0: not known.
  configurationAge @12 :Int64;
  # This long ago the sender has heard of a node that reads configurations from the store and is answered by it.
  # 0: not known.
  readerAge @13 :Int64;
}

interface Peer {
  # Runs a call at the target of this node, or refuses it.
  call @0 (context :CallContext, request :Request) -> (answer :Answer);
  # Issues a ticket for an order. The answer's ticketSequence is 0 when no ticket was issued.
  issueTicket @1 (context :CallContext) -> (answer :Answer);
  # Gossip: compares the digests of both nodes, and sends the documents that the other lacks.
  exchange @2 (offer :Exchange) -> (reply :Exchange);
  # Checks that the connection carries messages in both directions.
  ping @3 ();
  # The sender stops, and takes the answers to its earlier calls for this long only. Those of them that wait and
  # can't end in time are refused.
  limitAnswers @4 (calls :List(CallId), within :Int64);
  # Asks the node that keeps the organisation's allowance for permission to make requests. The node is no keeper
  # if it does not know the organisation or may be cut off, or if another node, whose address it may name in
  # `keeper`, grants the allowance.
  spendAllowance @5 (organisation :Text, wanted :UInt32)
      -> (isKeeper :Bool, granted :UInt32, retryAfter :Int64, keeper :Text);
}
