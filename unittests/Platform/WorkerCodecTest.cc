// Guards against orders and answers of workers that are encoded or decoded
// otherwise than by a document.
#include "AnyJson.h"
#include "WorkerCodec.h"
#include "basilusher/Support/JsonText.h"

namespace basilusher::platform {
namespace {

std::string Describe(const HoldAnswer& answer) {
  Json running = Json::array();
  for (const RunningTask& it : answer.running) {
    running.push_back({FormatTaskId(it.task), it.run, it.checkpoint, it.percent,
                       it.reported_load});
  }
  Json ended = Json::array();
  for (const EndedTask& it : answer.ended) {
    ended.push_back({it.number, FormatTaskId(it.task), it.run,
                     NameOf(kEndKindNames, it.kind), it.checkpoint});
  }
  return Json({NameOf(kCommandResultNames, answer.result),
               answer.worker_clock_ms, answer.born_unix_ms, running, ended,
               answer.more_ends})
      .dump();
}

/// What `decode` returns, or the text of what it throws.
template <typename Decode>
std::string ResultOf(Decode decode) {
  try {
    return Describe(decode());
  } catch (const std::exception& error) {
    return std::string("error: ") + error.what();
  }
}

Json AnyTask() {
  return "job-" + std::to_string(AnyBelow(20)) + ".0." +
         std::to_string(AnyBelow(5)) + "." + std::to_string(AnyBelow(40));
}

/// A row whose cells are now and then of another type, missing or too many.
Json MaybeOdd(Json row) {
  if (OneIn(12)) {
    row[static_cast<std::size_t>(AnyBelow(static_cast<int>(row.size())))] =
        AnyValue();
  }
  if (OneIn(25)) row.erase(row.size() - 1);
  if (OneIn(25)) row.push_back(AnyValue());
  return row;
}

Json AnyRunning() {
  Json rows = Json::array();
  for (int n = AnyBelow(5); n > 0; --n) {
    Json row = {AnyTask(), AnyBelow(100000), OneIn(3) ? "saved-1" : ""};
    if (!OneIn(4)) row.push_back(AnyBelow(130));
    if (row.size() == 4 && !OneIn(4)) row.push_back(AnyBelow(4000) - 20);
    rows.push_back(MaybeOdd(std::move(row)));
  }
  return rows;
}

Json AnyEnded() {
  Json rows = Json::array();
  for (int n = OneIn(40) ? 500 + AnyBelow(2) : AnyBelow(4); n > 0; --n) {
    Json row = {n, AnyTask(), AnyBelow(100000),
                *rc::gen::element<std::string>("done", "failed", "stopped",
                                               "lapsed", "broken", "alone"),
                ""};
    rows.push_back(n > 100 ? std::move(row) : MaybeOdd(std::move(row)));
  }
  return rows;
}

std::string AnyHoldBody() {
  std::vector<std::pair<std::string, Json>> fields = {
      {"ClockMs", AnyBelow(1000000000)}};
  if (!OneIn(4)) fields.emplace_back("Ended", AnyEnded());
  if (!OneIn(4)) fields.emplace_back("Running", AnyRunning());
  if (!OneIn(4)) fields.emplace_back("born", std::int64_t{1767225600000});
  if (OneIn(4)) fields.emplace_back("Slots", AnyValue());
  if (OneIn(8)) fields.emplace_back("born", AnyValue());
  if (OneIn(8)) fields.emplace_back("Ended", AnyValue());
  if (OneIn(8)) fields.emplace_back("Running", AnyValue());
  if (OneIn(8)) fields[0].second = AnyValue();
  if (OneIn(8)) fields.erase(fields.begin());
  if (fields.size() > 1 && OneIn(2)) {
    std::swap(fields.front(), fields.back());
  }
  return OneIn(30) ? AnyValue().dump() : MaybeDamaged(ObjectText(fields));
}

RC_GTEST_PROP(WorkerCodec, APollIsDecodedAsByADocument, ()) {
  for (int i = 0; i < 20; ++i) {
    const std::string body = AnyHoldBody();
    const std::string expected =
        ResultOf([&] { return DecodeHoldDocument(Json::parse(body)); });
    RC_LOG() << body;
    RC_ASSERT(ResultOf([&] { return DecodeHoldAnswer(body); }) == expected);
  }
}

RC_GTEST_PROP(WorkerCodec, TheAnswerToAnOrderIsDecodedAsByADocument, ()) {
  for (int i = 0; i < 20; ++i) {
    std::vector<std::pair<std::string, Json>> fields;
    if (!OneIn(4)) fields.emplace_back("ClockMs", AnyBelow(1000000000));
    if (!OneIn(3)) fields.emplace_back("Reason", "fence");
    if (OneIn(4)) fields.emplace_back("Other", AnyValue());
    if (OneIn(4)) fields.emplace_back("ClockMs", AnyValue());
    if (OneIn(4)) fields.emplace_back("Reason", AnyValue());
    const std::string body =
        OneIn(10) ? AnyValue().dump() : MaybeDamaged(ObjectText(fields));
    const OrderAnswer expected = DecodeOrderDocument(body);
    const OrderAnswer answer = DecodeOrderAnswer(body);
    RC_LOG() << body;
    RC_ASSERT(answer.clock_ms == expected.clock_ms);
    RC_ASSERT(answer.reason == expected.reason);
  }
}

TEST(WorkerCodec, AUsualPollIsDecoded) {
  const HoldAnswer answer = DecodeHoldAnswer(
      R"({"ClockMs":5,"Ended":[[7,"a.0.1.2",3,"lapsed","c"]],"Slots":{"a":[1]},)"
      R"("Running":[["b.0.0.0",4,"s",150,-3]],"born":9})");
  EXPECT_EQ(Describe(answer), R"(["done",5,9,[["b.0.0.0",4,"s",100,-3]],)"
                              R"([[7,"a.0.1.2",3,"lapsed","c"]],false])");
}

/// As in a document, the last of several fields of one name holds.
TEST(WorkerCodec, ARepeatedListReplacesTheEarlierOne) {
  const HoldAnswer answer = DecodeHoldAnswer(
      R"({"ClockMs":5,"Running":[["b.0.0.0",4,"s"]],"Running":[]})");
  EXPECT_EQ(Describe(answer), R"(["done",5,0,[],[],false])");
}

RC_GTEST_PROP(WorkerCodec, OrdersAreEncodedAsDocuments,
              (const std::string& text, std::int64_t number, bool present)) {
  // Bytes that are not UTF-8 are refused; JsonTextTest covers them.
  const std::string valid =
      Json::parse(DumpLossy(Json(text))).get<std::string>();
  const TaskId task = {
      .job = "j" + valid, .occurrence = 3, .step = 0, .index = 12};
  const StartCommand start = {.task = task,
                              .run = number,
                              .payload = valid,
                              .checkpoint = present ? "c" + valid : "",
                              .ticket = present ? "" : valid,
                              .fence = 17,
                              .lease_worker_ms = number / 2};
  Json expected = {{"Task", FormatTaskId(task)},
                   {"Run", number},
                   {"Spec", valid},
                   {"DeadlineMs", number / 2},
                   {"Fence", 17}};
  if (present) expected["LastCheckpoint"] = start.checkpoint;
  if (!start.ticket.empty()) expected["Ticket"] = start.ticket;
  RC_ASSERT(EncodeStart(start) == expected.dump());

  const HoldCommand hold = {.fence = number,
                            .seen_up_to = 4,
                            .lease_worker_ms = present ? number : 0,
                            .wait = Millis(present ? 0 : 400)};
  expected = {{"Fence", number}, {"SeenUpto", 4}};
  if (hold.lease_worker_ms > 0) expected["DeadlineMs"] = number;
  if (!present) expected["WaitMs"] = 400;
  RC_ASSERT(EncodeHold(hold) == expected.dump());

  expected = {{"Task", FormatTaskId(task)}, {"Run", number}, {"Fence", 5}};
  RC_ASSERT(EncodeStop(task, number, 5) == expected.dump());
  expected["Percent"] = 40;
  RC_ASSERT(EncodePace(task, number, 40, 5) == expected.dump());
}

}  // namespace
}  // namespace basilusher::platform
