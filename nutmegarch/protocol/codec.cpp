#include "nutmegarch/protocol/codec.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

#include <capnp/orphan.h>

namespace nutmegarch::protocol {

namespace {

/// Value of CallContext.answerWithin for duration::max().
constexpr std::int64_t no_answer_limit = 0;

std::string to_text(capnp::Text::Reader from) { return {from.cStr(), from.size()}; }

std::string to_bytes(capnp::Data::Reader from) {
  return {reinterpret_cast<const char*>(from.begin()), from.size()};
}

capnp::Data::Reader to_data(const std::string& from) {
  return {reinterpret_cast<const kj::byte*>(from.data()), from.size()};
}

/// Bodies of this size or more are not copied into a message but referenced.
constexpr std::size_t min_referenced_bytes = 64U << 10U;

/// True if the message refers to the body, which must then outlive it.
bool set_body(const std::string& body, wire::Request::Builder to) {
  // Messages consist of whole words, so the memory behind the body must belong to it as well.
  const std::size_t word = sizeof(capnp::word);
  const std::size_t size_in_words = (body.size() + word - 1) / word * word;
  const bool is_aligned = reinterpret_cast<std::uintptr_t>(body.data()) % word == 0;
  if (body.size() < min_referenced_bytes || body.capacity() < size_in_words || !is_aligned) {
    to.setBody(to_data(body));
    return false;
  }
  to.adoptBody(capnp::Orphanage::getForMessageContaining(to).referenceExternalData(to_data(body)));
  return true;
}

void write_headers(const headers& from, capnp::List<wire::Header>::Builder to) {
  for (std::size_t i = 0; i < from.size(); ++i) {
    wire::Header::Builder field = to[static_cast<unsigned>(i)];
    field.setName(from.at(i).name);
    field.setValue(from.at(i).value);
  }
}

headers read_headers(capnp::List<wire::Header>::Reader from) {
  headers fields;
  fields.reserve(from.size());
  for (const wire::Header::Reader field : from) {
    fields.push_back({to_text(field.getName()), to_text(field.getValue())});
  }
  return fields;
}

template <typename Enum>
Enum clamp_enum(unsigned value, Enum max_value) {
  return static_cast<Enum>(std::min(value, static_cast<unsigned>(max_value)));
}

std::optional<target_rate> read_rate(double per_second, std::int64_t age) {
  if (!std::isfinite(per_second) || per_second <= 0) {
    return std::nullopt;
  }
  return target_rate{per_second, std::max(duration{}, duration(age))};
}

/// Value of an age on the wire that is not known.
constexpr std::int64_t no_age = 0;

std::int64_t to_wire_age(const std::optional<duration>& age) {
  return age ? std::max<std::int64_t>(1, age->count()) : no_age;
}

std::optional<duration> from_wire_age(std::int64_t age) {
  return age > no_age ? std::optional<duration>(age) : std::nullopt;
}

template <typename Builder>
void write_confirmation(const configuration_state& from, Builder to) {
  to.setConfigurationVersion(from.version);
  to.setConfigurationAge(to_wire_age(from.age));
}

template <typename Reader>
configuration_state read_confirmation(Reader from) {
  configuration_state state;
  state.version = from.getConfigurationVersion();
  state.age = from_wire_age(from.getConfigurationAge());
  return state;
}

void write_stamp(const membership::document_stamp& from, wire::DocumentStamp::Builder to) {
  to.setKey(from.key);
  to.setVersion(from.version);
  to.setRevision(from.position.revision);
  to.setEra(from.position.era);
  to.setHash(from.hash);
}

membership::document_stamp read_stamp(wire::DocumentStamp::Reader from) {
  return {to_text(from.getKey()), from.getVersion(), {from.getEra(), from.getRevision()}, from.getHash()};
}

}  // namespace

void write_context(const call_context& from, std::uint64_t stamp, wire::CallContext::Builder to) {
  to.setIdHigh(from.id.high);
  to.setIdLow(from.id.low);
  to.setService(from.service);
  to.setRoute(from.route);
  to.setCaller(from.caller);
  to.setCallClass(static_cast<std::uint8_t>(from.cls));
  to.setShedRank(from.shed_rank);
  to.setDepth(from.depth);
  to.setCrashCount(from.crash_count);
  to.setRepeated(from.repeated);
  to.setIdempotent(from.idempotent);
  to.setRetryTokens(from.retry_tokens);
  to.setRemaining(from.remaining.count());
  to.setAnswerWithin(from.answer_within == duration::max()
                         ? no_answer_limit
                         : std::max<std::int64_t>(1, from.answer_within.count()));
  to.setFingerprint(from.fingerprint);
  to.setStamp(stamp);
  to.setAttemptId(from.attempt_id);
  to.setInstance(from.instance);
  to.setInner(from.inner);
  to.setOrganisation(from.organisation);
  if (from.known_target_rate) {
    to.setTargetRate(from.known_target_rate->per_second);
    to.setTargetRateAge(from.known_target_rate->age.count());
  }
  if (from.ticket) {
    to.setTicketIncarnation(from.ticket->incarnation);
    to.setTicketSequence(from.ticket->sequence);
  }
}

bool write(const peer_call& from, wire::CallContext::Builder context, wire::Request::Builder request) {
  write_context(from.context, from.stamp, context);
  request.setMethod(from.request->method);
  request.setTarget(from.request->target);
  request.setAuthority(from.request->authority);
  write_headers(from.request->fields,
                request.initHeaders(static_cast<unsigned>(from.request->fields.size())));
  return set_body(from.request->body, request);
}

peer_call read_context(wire::CallContext::Reader from) {
  peer_call call;
  call_context& to = call.context;
  to.id = {from.getIdHigh(), from.getIdLow()};
  to.service = to_text(from.getService());
  to.route = to_text(from.getRoute());
  to.caller = to_text(from.getCaller());
  to.cls = clamp_enum(from.getCallClass(), call_class::browse);
  to.shed_rank = static_cast<std::uint8_t>(std::min<int>(from.getShedRank(), shed_rank_count - 1));
  to.depth = from.getDepth();
  to.crash_count = from.getCrashCount();
  to.repeated = from.getRepeated();
  to.idempotent = from.getIdempotent();
  to.retry_tokens = from.getRetryTokens();
  to.remaining = std::max(duration{}, duration(from.getRemaining()));
  to.answer_within =
      from.getAnswerWithin() > no_answer_limit ? duration(from.getAnswerWithin()) : duration::max();
  to.fingerprint = from.getFingerprint();
  if (from.getTicketSequence() != 0) {
    to.ticket = order_ticket{from.getTicketIncarnation(), from.getTicketSequence()};
  }
  to.attempt_id = to_text(from.getAttemptId());
  to.instance = to_text(from.getInstance());
  to.inner = from.getInner();
  to.organisation = to_text(from.getOrganisation());
  to.known_target_rate = read_rate(from.getTargetRate(), from.getTargetRateAge());
  call.stamp = from.getStamp();
  return call;
}

peer_call read(wire::CallContext::Reader context, wire::Request::Reader request) {
  peer_call call = read_context(context);
  const std::shared_ptr<request_message> message = std::make_shared<request_message>();
  message->method = to_text(request.getMethod());
  message->target = to_text(request.getTarget());
  message->authority = to_text(request.getAuthority());
  message->fields = read_headers(request.getHeaders());
  message->body = to_bytes(request.getBody());
  call.request = message;
  return call;
}

void write(const peer_answer& from, wire::Answer::Builder to) {
  to.setOutcome(static_cast<std::uint8_t>(from.outcome));
  to.setReason(static_cast<std::uint8_t>(from.reason));
  to.setStatus(static_cast<std::uint16_t>(from.message.status));
  write_headers(from.message.fields, to.initHeaders(static_cast<unsigned>(from.message.fields.size())));
  to.setBody(to_data(from.message.body));
  to.setTokensBack(from.tokens_back);
  to.setLoad(from.report.load);
  to.setLevel(from.report.level.cutoff);
  to.setLeaving(from.report.leaving);
  to.setIncarnation(from.report.incarnation);
  if (from.report.rate) {
    to.setTargetRate(from.report.rate->per_second);
    to.setTargetRateAge(from.report.rate->age.count());
  }
  to.setRouteLevel(from.route_level.cutoff);
  to.setCallsOn(from.has_downstream_calls);
  to.setInnerRoute(from.is_inner_route);
  to.setTicketSequence(from.ticket ? from.ticket->sequence : 0);
  to.setRule(from.rule);
  to.setReachedTarget(from.reached_target);
  if (from.leaving_process_started_ms) {
    to.initTargetLeaving().setStartedMs(*from.leaving_process_started_ms);
  }
  write_confirmation(from.configuration, to);
  to.setStamp(from.stamp);
}

peer_answer read(wire::Answer::Reader from) {
  peer_answer answer;
  answer.outcome = clamp_enum(from.getOutcome(), call_outcome::failed);
  answer.reason = clamp_enum(from.getReason(), last_call_reason);
  answer.message.status = from.getStatus();
  answer.message.fields = read_headers(from.getHeaders());
  answer.message.body = to_bytes(from.getBody());
  answer.tokens_back = from.getTokensBack();
  const double load = from.getLoad();
  answer.report = {std::isfinite(load) && load > 0 ? load : 0, admission_level{from.getLevel()},
                   from.getLeaving(), from.getIncarnation(),
                   read_rate(from.getTargetRate(), from.getTargetRateAge())};
  answer.route_level.cutoff = from.getRouteLevel();
  answer.has_downstream_calls = from.getCallsOn();
  answer.is_inner_route = from.getInnerRoute();
  if (from.getTicketSequence() != 0) {
    answer.ticket = order_ticket{from.getIncarnation(), from.getTicketSequence()};
  }
  answer.rule = to_text(from.getRule());
  answer.reached_target = from.getReachedTarget();
  if (from.hasTargetLeaving()) {
    answer.leaving_process_started_ms = std::max<std::int64_t>(0, from.getTargetLeaving().getStartedMs());
  }
  answer.configuration = read_confirmation(from);
  answer.stamp = from.getStamp();
  return answer;
}

void write(const peer_exchange& from, wire::Exchange::Builder to) {
  to.setHost(from.self.host);
  to.setIncarnation(from.self.incarnation);
  to.setLeaving(from.self.leaving);
  to.setStamp(from.stamp);
  to.setStoreRevision(from.confirmed.revision);
  to.setStoreEra(from.confirmed.era);
  to.setNoticeRevision(from.notice.revision);
  to.setNoticeEra(from.notice.era);
  write_confirmation(from.configuration, to);
  to.setReaderAge(to_wire_age(from.reader_age));
  capnp::List<wire::DocumentStamp>::Builder digest = to.initDigest(static_cast<unsigned>(from.digest.size()));
  for (std::size_t i = 0; i < from.digest.size(); ++i) {
    write_stamp(from.digest.at(i), digest[static_cast<unsigned>(i)]);
  }
  capnp::List<wire::Document>::Builder documents =
      to.initDocuments(static_cast<unsigned>(from.documents.size()));
  for (std::size_t i = 0; i < from.documents.size(); ++i) {
    wire::Document::Builder document = documents[static_cast<unsigned>(i)];
    write_stamp(from.documents.at(i).stamp, document.initStamp());
    document.setBody(to_data(from.documents.at(i).body));
  }
  capnp::List<wire::CrashMark>::Builder marks = to.initMarks(static_cast<unsigned>(from.marks.size()));
  for (std::size_t i = 0; i < from.marks.size(); ++i) {
    wire::CrashMark::Builder mark = marks[static_cast<unsigned>(i)];
    mark.setFingerprint(from.marks.at(i).fingerprint);
    mark.setCrashes(static_cast<std::uint16_t>(from.marks.at(i).crashes));
  }
}

peer_exchange read(wire::Exchange::Reader from) {
  peer_exchange exchange;
  exchange.self = {to_text(from.getHost()), from.getIncarnation(), from.getLeaving()};
  exchange.stamp = from.getStamp();
  // Peers of an earlier version name no eras, so that what they know counts as older.
  exchange.confirmed = {from.getStoreEra(), from.getStoreRevision()};
  exchange.notice = {from.getNoticeEra(), from.getNoticeRevision()};
  exchange.configuration = read_confirmation(from);
  exchange.reader_age = from_wire_age(from.getReaderAge());
  for (const wire::DocumentStamp::Reader stamp : from.getDigest()) {
    exchange.digest.push_back(read_stamp(stamp));
  }
  for (const wire::Document::Reader document : from.getDocuments()) {
    exchange.documents.push_back({read_stamp(document.getStamp()), to_bytes(document.getBody())});
  }
  for (const wire::CrashMark::Reader mark : from.getMarks()) {
    exchange.marks.push_back({mark.getFingerprint(), mark.getCrashes()});
  }
  return exchange;
}

}  // namespace nutmegarch::protocol
