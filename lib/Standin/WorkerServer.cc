// Stand-in of a worker over HTTP.
#include <array>
#include <mutex>

#include "StandinHttp.h"
#include "basilusher/Standin/Servers.h"
#include "basilusher/Standin/WorkerCore.h"
#include "basilusher/Support/Digest.h"

namespace basilusher {
namespace {

constexpr char kWorkPrefix[] = "work=";
constexpr int kNotRunStatus = 429;
constexpr int kLongestWorkMs = 600000;

std::string FirstLine(const std::string& body) {
  constexpr std::size_t kMostTagBytes = 200;
  return body.substr(0, std::min(body.find('\n'), kMostTagBytes));
}

/// Milliseconds stated at the start of the body; zero without a statement.
int WorkMillis(const std::string& tag) {
  const std::string prefix = kWorkPrefix;
  if (tag.compare(0, prefix.size(), prefix) != 0) return 0;
  return std::min(std::atoi(tag.c_str() + prefix.size()), kLongestWorkMs);
}

}  // namespace

class WorkerServer::Impl {
 public:
  explicit Impl(const WorkerOptions& options)
      : info_(options.info),
        core_(options.info.slots),
        http_(options.info.connections) {
    http_.Post(
        R"(/run/([^/]+))", "run",
        [this](const httplib::Request& request, httplib::Response& response) {
          Run(request, &response);
        });
    AddTaskRoutes();
    AddBarRoutes();
    AddDrainRoutes();
    AddTestRoutes();
  }

  int Start() { return http_.Start(info_.address, info_.port); }

  void Stop() { http_.Stop(); }

 private:
  void Run(const httplib::Request& request, httplib::Response* response) {
    const RunRecord run = RecordOf(request);
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (!core_.Start(run)) {
        response->status = kNotRunStatus;
        response->set_header("X-Not-Run", "1");
        return;
      }
    }
    const int millis = WorkMillis(run.tag);
    if (millis > 0) std::this_thread::sleep_for(Millis(millis));
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      core_.Finish(run.request_id, run.attempt, WallMicros());
    }
    response->set_header("X-Request-Id", run.request_id);
    response->set_header("X-Attempt", std::to_string(run.attempt));
    response->set_header("X-Digest", DigestOf(request.body));
    response->set_content(request.body, "application/octet-stream");
  }

  static RunRecord RecordOf(const httplib::Request& request) {
    return {.request_id = request.matches[1],
            .attempt = std::atoi(request.get_header_value("X-Attempt").c_str()),
            .team = request.get_header_value("X-Team"),
            .holder = request.get_header_value("X-Holder"),
            .tag = FirstLine(request.body),
            .started_micros = WallMicros()};
  }

  void AddTaskRoutes() {
    http_.Post(
        R"(/task/start/([^/]+))", "run",
        [this](const httplib::Request& request, httplib::Response& response) {
          const RunRecord run = RecordOf(request);
          const std::lock_guard<std::mutex> lock(mutex_);
          if (core_.StartTask(run, Millis(WorkMillis(run.tag)),
                              LeaseOf(request), clock_.Now())) {
            return;
          }
          response.status = kNotRunStatus;
          response.set_header("X-Not-Run", "1");
        });
    http_.Post(
        R"(/task/renew/([^/]+))", "task",
        [this](const httplib::Request& request, httplib::Response& response) {
          const std::lock_guard<std::mutex> lock(mutex_);
          WriteState(core_.RenewTask(request.matches[1], LeaseOf(request),
                                     clock_.Now()),
                     &response);
        });
    http_.Post(
        R"(/task/stop/([^/]+))", "task",
        [this](const httplib::Request& request, httplib::Response& response) {
          const std::lock_guard<std::mutex> lock(mutex_);
          WriteState(core_.StopTask(request.matches[1], clock_.Now()),
                     &response);
        });
  }

  static Millis LeaseOf(const httplib::Request& request) {
    return Millis(
        std::atoi(request.get_header_value("X-Lease-Millis").c_str()));
  }

  static void WriteState(WorkerTaskState state, httplib::Response* response) {
    constexpr std::array<const char*, 4> kNames = {"running", "done", "stopped",
                                                   "never-started"};
    response->set_content(
        Json{{"state", kNames[static_cast<std::size_t>(state)]},
             {"result", state == WorkerTaskState::kDone ? "done" : ""}}
            .dump(),
        "application/json");
  }

  void AddBarRoutes() {
    http_.Post(
        "/bar/run", "bar",
        [this](const httplib::Request& request, httplib::Response& response) {
          const std::lock_guard<std::mutex> lock(mutex_);
          const bool running = core_.BarRun(
              request.get_param_value("request"),
              std::atoi(request.get_param_value("attempt").c_str()));
          response.set_content(running ? "1" : "0", "text/plain");
        });
    http_.Post(
        "/bar/holder", "bar",
        [this](const httplib::Request& request, httplib::Response& response) {
          const std::lock_guard<std::mutex> lock(mutex_);
          const int running =
              core_.BarHolder(request.get_param_value("holder"));
          response.set_content(std::to_string(running), "text/plain");
        });
  }

  void AddDrainRoutes() {
    http_.Post(
        "/drain", "drain",
        [this](const httplib::Request& request, httplib::Response& response) {
          const std::lock_guard<std::mutex> lock(mutex_);
          core_.AdvanceTasks(clock_.Now());
          response.set_content(std::to_string(core_.Drain(FenceOf(request))),
                               "text/plain");
        });
    http_.Post("/admit", "drain",
               [this](const httplib::Request& request,
                      httplib::Response& /*response*/) {
                 const std::lock_guard<std::mutex> lock(mutex_);
                 core_.Admit(FenceOf(request));
               });
    // The platform's reboot, which the process outlives.
    http_.Server()->Post("/reboot", [this](const httplib::Request& /*request*/,
                                           httplib::Response& /*response*/) {
      const std::lock_guard<std::mutex> lock(mutex_);
      core_.Reboot();
    });
  }

  static std::int64_t FenceOf(const httplib::Request& request) {
    return std::atoll(request.get_param_value("fence").c_str());
  }

  void AddTestRoutes() {
    http_.Server()->Post("/leave", [this](const httplib::Request& /*request*/,
                                          httplib::Response& /*response*/) {
      const std::lock_guard<std::mutex> lock(mutex_);
      core_.Leave();
    });
    http_.Server()->Get("/record", [this](const httplib::Request& /*request*/,
                                          httplib::Response& response) {
      const std::lock_guard<std::mutex> lock(mutex_);
      core_.AdvanceTasks(clock_.Now());
      const Json json = {{"worker", info_.id},
                         {"peak", core_.Peak()},
                         {"running", core_.Running()},
                         {"runs", core_.Records()}};
      response.set_content(
          json.dump(-1, ' ', false, Json::error_handler_t::replace),
          "application/json");
    });
  }

  WorkerInfo info_;
  SteadyClock clock_;
  std::mutex mutex_;
  WorkerCore core_;
  StandinHttp http_;
};

WorkerServer::WorkerServer(const WorkerOptions& options)
    : impl_(std::make_unique<Impl>(options)) {}

WorkerServer::~WorkerServer() = default;

int WorkerServer::Start() { return impl_->Start(); }

void WorkerServer::Stop() { impl_->Stop(); }

}  // namespace basilusher
