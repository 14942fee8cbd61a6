#include "config/peer_codec.h"

#include "config/generated/config.pb.h"
#include "framework/base/error.h"

namespace carobmast::config {
namespace {

template <typename Message>
Message Parse(const std::string& text, const std::string& peer) {
  Message message;
  if (!message.ParseFromString(text)) {
    throw Error("config peer message", peer, "malformed");
  }
  return message;
}

void WriteHead(const Head& head, proto::SetHead& out) {
  out.set_offset(head.offset);
  out.set_digest(head.digest);
  out.set_through(head.through);
  out.set_rules(head.rules);
}

Head ReadHead(const proto::SetHead& head) {
  return {.offset = head.offset(),
          .digest = head.digest(),
          .through = head.through(),
          .rules = head.rules()};
}

template <typename Message>
std::string EncodePeerHead(const PeerHead& head) {
  Message message;
  message.set_process(head.process);
  WriteHead(head.head, *message.mutable_head());
  return message.SerializeAsString();
}

template <typename Message>
PeerHead DecodePeerHead(const std::string& text, const std::string& peer) {
  const Message message = Parse<Message>(text, peer);
  return {.process = message.process(), .head = ReadHead(message.head())};
}

void WriteRecord(const contracts::LogRecord& record, proto::LogRecord& out) {
  out.set_offset(record.offset);
  out.set_appended_ms(record.appended_at.time_since_epoch().count());
  out.set_id(record.id);
  out.set_data(record.data);
}

contracts::LogRecord ReadRecord(const proto::LogRecord& record) {
  const std::chrono::milliseconds since_epoch(record.appended_ms());
  return {.offset = record.offset(),
          .appended_at = WallTime(since_epoch),
          .id = record.id(),
          .data = record.data()};
}

}  // namespace

std::string EncodeHeadRequest(const PeerHead& head) {
  return EncodePeerHead<proto::HeadRequest>(head);
}

PeerHead DecodeHeadRequest(const std::string& text, const std::string& peer) {
  return DecodePeerHead<proto::HeadRequest>(text, peer);
}

std::string EncodeHeadAnswer(const PeerHead& head) {
  return EncodePeerHead<proto::HeadAnswer>(head);
}

PeerHead DecodeHeadAnswer(const std::string& text, const std::string& peer) {
  return DecodePeerHead<proto::HeadAnswer>(text, peer);
}

std::string EncodeFetchRequest(const FetchRequest& request) {
  proto::FetchRequest message;
  message.set_through(request.through);
  if (request.page_head.has_value()) {
    WriteHead(*request.page_head, *message.mutable_page_head());
  }
  message.set_page_after(request.page_after);
  return message.SerializeAsString();
}

FetchRequest DecodeFetchRequest(const std::string& text,
                                const std::string& peer) {
  const proto::FetchRequest message = Parse<proto::FetchRequest>(text, peer);
  FetchRequest request{.through = message.through(),
                       .page_after = message.page_after()};
  if (message.has_page_head()) {
    request.page_head = ReadHead(message.page_head());
  }
  return request;
}

std::string EncodeFetchAnswer(const FetchAnswer& answer) {
  proto::FetchAnswer message;
  WriteHead(answer.head, *message.mutable_head());
  for (const contracts::LogRecord& record : answer.records) {
    WriteRecord(record, *message.add_records());
  }
  message.set_whole(answer.whole);
  for (const std::string& object : answer.objects) message.add_objects(object);
  message.set_page_after(answer.page_after);
  message.set_last_page(answer.last_page);
  return message.SerializeAsString();
}

FetchAnswer DecodeFetchAnswer(const std::string& text,
                              const std::string& peer) {
  const proto::FetchAnswer message = Parse<proto::FetchAnswer>(text, peer);
  FetchAnswer answer{.head = ReadHead(message.head()),
                     .whole = message.whole(),
                     .page_after = message.page_after(),
                     .last_page = message.last_page()};
  for (const proto::LogRecord& record : message.records()) {
    answer.records.push_back(ReadRecord(record));
  }
  for (const std::string& object : message.objects()) {
    answer.objects.push_back(object);
  }
  return answer;
}

}  // namespace carobmast::config
