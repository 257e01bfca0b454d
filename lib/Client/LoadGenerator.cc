// Callers' threads.
#include "basilusher/Client/LoadGenerator.h"

#include <httplib.h>

#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>

#include "basilusher/Support/Random.h"

namespace basilusher {
namespace {

constexpr Millis kCallTimeout{20000};
constexpr Millis kPauseAfterCut{50};

/// One caller: a thread with connections of its own.
class Caller {
 public:
  Caller(const LoadOptions& options, const LoadPart& part, int number)
      : options_(options),
        part_(part),
        number_(number),
        random_(options.seed * 1000003 + static_cast<std::uint64_t>(number)) {}

  std::vector<LoadRecord> Run(TimePoint until) {
    const SteadyClock clock;
    std::vector<LoadRecord> records;
    while (clock.Now() < until) {
      const std::string tag = NextTag();
      records.push_back(SendOnce(tag, /*repeated=*/false));
      const bool repeat =
          part_.repeat_every > 0 && sent_ % part_.repeat_every == 0;
      if (repeat) records.push_back(SendOnce(tag, /*repeated=*/true));
      if (records.back().outcome == "cut") {
        std::this_thread::sleep_for(kPauseAfterCut);
      }
      if (part_.pause_ms > 0) {
        std::this_thread::sleep_for(Millis(part_.pause_ms));
      }
    }
    return records;
  }

 private:
  std::string NextTag() {
    ++sent_;
    return "work=" + std::to_string(part_.work_ms) +
           " id=" + std::to_string(options_.seed) + "-" +
           std::to_string(number_) + "-" + std::to_string(sent_);
  }

  httplib::Client* ClientOf(const EntryAddress& entry) {
    std::unique_ptr<httplib::Client>& client =
        clients_[entry.address + ":" + std::to_string(entry.port)];
    if (client == nullptr) {
      client = std::make_unique<httplib::Client>(entry.address, entry.port);
      client->set_keep_alive(true);
      client->set_tcp_nodelay(true);
      client->set_connection_timeout(kCallTimeout);
      client->set_read_timeout(kCallTimeout);
      client->set_write_timeout(kCallTimeout);
    }
    return client.get();
  }

  LoadRecord SendOnce(const std::string& tag, bool repeated) {
    const EntryAddress& entry =
        options_.entries[random_.Next() % options_.entries.size()];
    std::string body = tag + "\n";
    if (body.size() < part_.body_bytes) body.resize(part_.body_bytes, 'x');
    LoadRecord record{.tag = tag,
                      .team = part_.team,
                      .queue = part_.queue,
                      .idempotent = part_.idempotent,
                      .repeated = repeated};
    const std::chrono::steady_clock::time_point start =
        std::chrono::steady_clock::now();
    const httplib::Result result = Post(entry, tag, body);
    record.latency_micros =
        std::chrono::duration_cast<std::chrono::microseconds>(
            std::chrono::steady_clock::now() - start)
            .count();
    Judge(result, body, &record);
    return record;
  }

  httplib::Result Post(const EntryAddress& entry, const std::string& tag,
                       const std::string& body) {
    httplib::Headers headers{{"X-Team-Key", part_.key}};
    std::string path = "/v1/queues/" + part_.queue + "/requests";
    if (!part_.idempotent) headers.emplace("Idempotency-Key", tag);
    if (options_.direct) {
      headers.emplace("X-Attempt", "1");
      path = "/run/" + std::to_string(number_) + "-" + std::to_string(sent_);
    }
    return ClientOf(entry)->Post(path, headers, body,
                                 "application/octet-stream");
  }

  void Judge(const httplib::Result& result, const std::string& body,
             LoadRecord* record) const {
    if (!result) {
      const bool unreached =
          result.error() == httplib::Error::Connection ||
          result.error() == httplib::Error::ConnectionTimeout;
      record->outcome = unreached ? "unreached" : "cut";
      return;
    }
    record->outcome = result->get_header_value("X-Outcome");
    if (options_.direct) {
      record->outcome = result->has_header("X-Not-Run") ? "not-run" : "ran";
    }
    record->code = std::atoi(result->get_header_value("X-Result-Code").c_str());
    if (record->outcome == "ran") record->own_answer = result->body == body;
  }

  const LoadOptions& options_;
  const LoadPart& part_;
  int number_;
  SeededRandom random_;
  int sent_ = 0;
  std::map<std::string, std::unique_ptr<httplib::Client>> clients_;
};

}  // namespace

std::vector<LoadRecord> RunLoad(const LoadOptions& options) {
  std::mutex mutex;
  std::vector<LoadRecord> records;
  std::vector<std::thread> threads;
  const TimePoint until = SteadyClock().Now() + options.duration;
  int number = 0;
  for (const LoadPart& part : options.parts) {
    for (int n = 0; n < part.callers; ++n) {
      threads.emplace_back([&options, &part, &mutex, &records, until,
                            caller = number++] {
        std::vector<LoadRecord> own = Caller(options, part, caller).Run(until);
        const std::lock_guard<std::mutex> lock(mutex);
        records.insert(records.end(), own.begin(), own.end());
      });
    }
  }
  for (std::thread& thread : threads) thread.join();
  return records;
}

std::vector<LoadPart> ParseLoadParts(const Json& json) {
  std::vector<LoadPart> parts;
  try {
    for (const Json& row : json) {
      LoadPart part;
      part.queue = row.at("queue").get<std::string>();
      part.team = row.value("team", part.team);
      part.key = row.value("key", part.key);
      part.idempotent = row.value("idempotent", part.idempotent);
      part.callers = row.value("callers", part.callers);
      part.work_ms = row.value("workMillis", part.work_ms);
      part.body_bytes = row.value("bodyBytes", part.body_bytes);
      part.pause_ms = row.value("pauseMillis", part.pause_ms);
      part.repeat_every = row.value("repeatEvery", part.repeat_every);
      parts.push_back(part);
    }
  } catch (const Json::exception& error) {
    throw Error(ResultCode::kSettingsInvalid,
                std::string("load: ") + error.what());
  }
  return parts;
}

}  // namespace basilusher
