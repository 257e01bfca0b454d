// Stand-in of the platform over HTTP.
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <utility>

#include "StandinHttp.h"
#include "basilusher/Standin/Servers.h"
#include "basilusher/Store/MemoryStore.h"

namespace basilusher {
namespace {

/// One for each connection; an entry holds five.
constexpr int kThreads = 256;
constexpr Millis kExpiryPeriod{50};
constexpr Millis kRebootTime{1000};
constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;

void WriteReply(const StoreReply& reply, httplib::Response* response) {
  Json entries = Json::array();
  for (const StoreEntry& entry : reply.entries) {
    entries.push_back({{"key", entry.key},
                       {"value", entry.value},
                       {"version", entry.version}});
  }
  response->status = kStatusOk;
  if (reply.status == StoreStatus::kNotFound) {
    response->status = kStatusNotFound;
  }
  if (reply.status == StoreStatus::kConflict) {
    response->status = kStatusConflict;
  }
  response->set_content(
      Json{{"version", reply.version}, {"entries", entries}}.dump(),
      "application/json");
}

}  // namespace

class PlatformServer::Impl {
 public:
  explicit Impl(const PlatformOptions& options)
      : options_(options), http_(kThreads) {
    lists_.push_back({TimePoint{}, options.instances});
    AddStoreRoutes();
    AddLeaseRoutes();
    AddListRoutes();
  }

  ~Impl() { Stop(); }

  int Start() {
    expiry_ = std::thread([this] { ExpireLeases(); });
    return http_.Start(options_.address, options_.port);
  }

  FaultTable* Faults() { return http_.Faults(); }

  void Stop() {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      stopping_ = true;
    }
    changed_.notify_all();
    if (expiry_.joinable()) expiry_.join();
    http_.Stop();
  }

 private:
  void Count(const std::string& operation) { ++calls_[operation]; }

  void AddStoreRoutes() {
    http_.Get(
        "/kv/get", "get",
        [this](const httplib::Request& request, httplib::Response& response) {
          const std::lock_guard<std::mutex> lock(mutex_);
          Count("get");
          WriteReply(store_.Get(request.get_param_value("key")), &response);
        });
    http_.Get(
        "/kv/list", "list",
        [this](const httplib::Request& request, httplib::Response& response) {
          const std::lock_guard<std::mutex> lock(mutex_);
          Count("list");
          WriteReply(store_.List(request.get_param_value("prefix")), &response);
        });
    http_.Post(
        "/kv/swap", "swap",
        [this](const httplib::Request& request, httplib::Response& response) {
          Swap(request, &response);
        });
    http_.Post(
        "/kv/watch", "watch",
        [this](const httplib::Request& request, httplib::Response& response) {
          Watch(request, &response);
        });
  }

  void Swap(const httplib::Request& request, httplib::Response* response) {
    const Json json = Json::parse(request.body);
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      Count("swap");
      WriteReply(store_.Swap({.key = json.at("key").get<std::string>(),
                              .expected_version =
                                  json.at("version").get<std::int64_t>(),
                              .value = json.at("value").get<std::string>(),
                              .lease = json.at("lease").get<std::string>(),
                              .erase = json.at("erase").get<bool>()}),
                 response);
    }
    changed_.notify_all();
  }

  void Watch(const httplib::Request& request, httplib::Response* response) {
    const Json json = Json::parse(request.body);
    const std::vector<std::string> prefixes =
        json.at("prefixes").get<std::vector<std::string>>();
    const std::int64_t revision = json.at("revision").get<std::int64_t>();
    const Millis wait(json.at("waitMillis").get<std::int64_t>());
    std::unique_lock<std::mutex> lock(mutex_);
    Count("watch");
    std::vector<StoreEntry> changes;
    changed_.wait_for(lock, wait, [&] {
      changes = store_.ChangesAfter(prefixes, revision);
      return stopping_ || !changes.empty();
    });
    WriteReply({.status = StoreStatus::kOk,
                .entries = std::move(changes),
                .version = store_.Revision()},
               response);
  }

  void AddLeaseRoutes() {
    http_.Post(
        "/lease/keep", "lease",
        [this](const httplib::Request& request, httplib::Response& response) {
          const Json json = Json::parse(request.body);
          const std::lock_guard<std::mutex> lock(mutex_);
          Count("lease");
          WriteReply(store_.KeepLease(json.at("id").get<std::string>(),
                                      Millis(json.at("ttlMillis").get<int>()),
                                      clock_.Now()),
                     &response);
        });
    http_.Post(
        "/lease/end", "lease",
        [this](const httplib::Request& request, httplib::Response& response) {
          const Json json = Json::parse(request.body);
          {
            const std::lock_guard<std::mutex> lock(mutex_);
            Count("lease");
            WriteReply(store_.EndLease(json.at("id").get<std::string>()),
                       &response);
          }
          changed_.notify_all();
        });
  }

  void AddListRoutes() {
    http_.Get("/instances", "instances",
              [this](const httplib::Request& /*request*/,
                     httplib::Response& response) {
                const std::lock_guard<std::mutex> lock(mutex_);
                Count("instances");
                response.set_content(LaggingList().dump(), "application/json");
              });
    http_.Post("/instances/release", "release",
               [this](const httplib::Request& request,
                      httplib::Response& /*response*/) {
                 const std::lock_guard<std::mutex> lock(mutex_);
                 Count("release");
                 Reboot(Json::parse(request.body));
               });
    // For tests: the platform wants to maintain the workers named.
    http_.Server()->Post("/instances/notice",
                         [this](const httplib::Request& request,
                                httplib::Response& /*response*/) {
                           const std::lock_guard<std::mutex> lock(mutex_);
                           const Json ids = Json::parse(request.body);
                           ChangeWorkers([&ids](Json* worker) {
                             for (const Json& id : ids) {
                               if (worker->at("id") != id) continue;
                               (*worker)["wants_maintenance"] = true;
                             }
                           });
                         });
    // For tests: replaces the true list of instances.
    http_.Server()->Post("/instances", [this](const httplib::Request& request,
                                              httplib::Response& /*response*/) {
      const std::lock_guard<std::mutex> lock(mutex_);
      lists_.push_back({clock_.Now(), Json::parse(request.body)});
    });
    http_.Server()->Get("/stats", [this](const httplib::Request& /*request*/,
                                         httplib::Response& response) {
      const std::lock_guard<std::mutex> lock(mutex_);
      response.set_content(Json(calls_).dump(), "application/json");
    });
  }

  void ChangeWorkers(const std::function<void(Json*)>& change) {
    Json list = lists_.back().second;
    for (Json& worker : list["workers"]) change(&worker);
    lists_.push_back({clock_.Now(), std::move(list)});
  }

  /// Starts a reboot if the worker wants one and its count is as stated.
  void Reboot(const Json& order) {
    ChangeWorkers([this, &order](Json* worker) {
      if (worker->at("id") != order.at("id")) return;
      if (!worker->value("wants_maintenance", false)) return;
      const std::int64_t count = worker->value("maintained", std::int64_t{0});
      if (count != order.at("maintained").get<std::int64_t>()) return;
      (*worker)["wants_maintenance"] = false;
      (*worker)["rebooting"] = true;
      (*worker)["maintained"] = count + 1;
      reboots_[worker->at("id").get<std::string>()] =
          clock_.Now() + kRebootTime;
    });
  }

  void FinishReboots(TimePoint now) {
    std::vector<std::string> due;
    for (const std::pair<const std::string, TimePoint>& row : reboots_) {
      if (row.second <= now) due.push_back(row.first);
    }
    if (due.empty()) return;
    ChangeWorkers([this, &due](Json* worker) {
      for (const std::string& id : due) {
        if (worker->at("id") != id) continue;
        (*worker)["rebooting"] = false;
        // The worker comes back from its reboot.
        httplib::Client client(worker->at("address").get<std::string>(),
                               worker->at("port").get<int>());
        client.Post("/reboot");
        reboots_.erase(id);
      }
    });
  }

  Json LaggingList() {
    const TimePoint now = clock_.Now();
    FinishReboots(now);
    while (lists_.size() > 1 && now - lists_[1].first >= options_.list_lag) {
      lists_.pop_front();
    }
    return lists_.front().second;
  }

  void ExpireLeases() {
    std::unique_lock<std::mutex> lock(mutex_);
    while (!stopping_) {
      if (store_.ExpireLeases(clock_.Now()) > 0) {
        lock.unlock();
        changed_.notify_all();
        lock.lock();
      }
      lock.unlock();
      std::this_thread::sleep_for(kExpiryPeriod);
      lock.lock();
    }
  }

  PlatformOptions options_;
  SteadyClock clock_;
  std::mutex mutex_;
  std::condition_variable changed_;
  MemoryStore store_;
  std::map<std::string, std::int64_t> calls_;
  std::deque<std::pair<TimePoint, Json>> lists_;
  /// Workers that reboot, and until when.
  std::map<std::string, TimePoint> reboots_;
  bool stopping_ = false;
  std::thread expiry_;
  StandinHttp http_;
};

PlatformServer::PlatformServer(const PlatformOptions& options)
    : impl_(std::make_unique<Impl>(options)) {}

PlatformServer::~PlatformServer() = default;

int PlatformServer::Start() { return impl_->Start(); }

void PlatformServer::Stop() { impl_->Stop(); }

FaultTable* PlatformServer::Faults() { return impl_->Faults(); }

}  // namespace basilusher
