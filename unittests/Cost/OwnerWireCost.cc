// Processor time of the owner's calls, log lines, counters and timers, by part:
//
//   OwnerWireCost PART COUNT
//
// runs COUNT operations of PART and prints their user and system time. It is a
// benchmark and no test: nothing depends on its figures. Instructions for one
// operation: valgrind --tool=callgrind with two counts, divided by the
// difference.
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <functional>
#include <string>
#include <vector>

#include "InstanceClient.h"
#include "StoreClient.h"
#include "WorkerClient.h"
#include "basilusher/Support/Base64.h"
#include "basilusher/Support/Counters.h"
#include "basilusher/Support/Log.h"

namespace basilusher::platform {
namespace {

constexpr int kMaxCount = 1'000'000;
/// Calls in flight.
constexpr int kParallel = 8;
/// The server of the calls ends after this time, seconds.
constexpr unsigned int kServerLifetimeS = 300;

std::string HoldBody() {
  std::string rows;
  for (int i = 0; i < 6; ++i) {
    if (i > 0) rows += ",";
    rows += "[\"job-4711-abcdef.0." + std::to_string(i) + ".17\"," +
            std::to_string(123456 + i) + ",\"\",37,812]";
  }
  return R"({"ClockMs":1234567,"Ended":[[17,"job-4711-abcdef.0.2.9",123450,)"
         R"("done",""]],"Running":[)" +
         rows + R"(],"born":1767225600000})";
}

std::string WatchBody() {
  std::string rows;
  for (int i = 0; i < 10; ++i) {
    if (i > 0) rows += ",";
    rows += R"({"Key":"jobs/inbox/job-4711-)" + std::to_string(i) +
            R"(","Rev":)" + std::to_string(9000 + i) + R"(,"Value":")" +
            EncodeBase64(std::string(220, 'v')) + "\"}";
  }
  return R"({"CurrentRev":9010,"events":[)" + rows + "]}";
}

std::string InstancesBody() {
  std::string rows;
  for (int i = 0; i < 20; ++i) {
    if (i > 0) rows += ",";
    const std::string number = std::to_string(1000 + i);
    rows += R"({"HostId":"host-)" + number + R"(","Id":"worker-)" + number +
            R"(","Pool":"wear-sort","Zone":"zone-b","State":"up",)"
            R"("Labels":["kind-c","rack-17"],)"
            R"("Room":{"Cpu":16000,"MemMb":65536,"Gpu":0}})";
  }
  return R"({"Machines":[)" + rows + "]}";
}

/// The answer to a request whose first bytes are `head`.
std::string ResponseTo(const std::string& head) {
  std::string body = R"({"ClockMs":1234567})";
  if (head.find("/hold ") != std::string::npos) body = HoldBody();
  if (head.find("/kv-watch") != std::string::npos) body = WatchBody();
  if (head.find("/machines") != std::string::npos) body = InstancesBody();
  if (head.find("/kv-txn") != std::string::npos) body = R"({"Rev":9011})";
  return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
         "Content-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Answers each read that completes a request; requests are small.
void Serve(int listener) {
  alarm(kServerLifetimeS);
  std::vector<pollfd> sockets = {
      {.fd = listener, .events = POLLIN, .revents = 0}};
  std::vector<char> buf(65536);
  while (poll(sockets.data(), sockets.size(), -1) > 0) {
    for (std::size_t i = 1; i < sockets.size(); ++i) {
      if (sockets[i].revents == 0) continue;
      const ssize_t n = read(sockets[i].fd, buf.data(), buf.size());
      if (n <= 0) {
        close(sockets[i].fd);
        sockets[i].fd = -1;
        continue;
      }
      const std::string response =
          ResponseTo(std::string(buf.data(), static_cast<std::size_t>(n)));
      if (write(sockets[i].fd, response.data(), response.size()) < 0) return;
    }
    if (sockets[0].revents != 0) {
      const int fd = accept(listener, nullptr, nullptr);
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      sockets.push_back({.fd = fd, .events = POLLIN, .revents = 0});
    }
  }
}

/// A process that answers calls on a loopback address.
class Server {
 public:
  Server() {
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in name = {};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(name);
    if (bind(listener, reinterpret_cast<sockaddr*>(&name), size) != 0 ||
        listen(listener, kParallel) != 0 ||
        getsockname(listener, reinterpret_cast<sockaddr*>(&name), &size) != 0) {
      std::perror("listen");
      std::exit(1);
    }
    address_ = "127.0.0.1:" + std::to_string(ntohs(name.sin_port));
    pid_ = fork();
    if (pid_ == 0) {
      Serve(listener);
      _exit(0);
    }
    close(listener);
  }
  ~Server() {
    kill(pid_, SIGTERM);
    waitpid(pid_, nullptr, 0);
  }
  const std::string& Address() const { return address_; }

 private:
  std::string address_;
  pid_t pid_ = 0;
};

/// Discards lines.
class NullSink : public LogSink {
 public:
  void Write(LogLevel, const std::string& line) override {
    bytes_ += line.size();
  }

 private:
  std::size_t bytes_ = 0;
};

/// Runs `call` `count` times, some at a time; each call runs the function that
/// it is given once it has ended.
void RunCalls(IoLoop* loop, int count,
              const std::function<void(std::function<void()>)>& call) {
  int begun = 0;
  int ended = 0;
  std::function<void()> next = [&] {
    if (begun == count) return;
    ++begun;
    call([&] {
      if (++ended == count) return loop->Stop();
      next();
    });
  };
  if (count == 0) return;
  for (int i = 0; i < kParallel; ++i) next();
  loop->Run();
}

StartCommand SampleStart() {
  return {.task = {.job = "job-4711-abcdef", .step = 2, .index = 17},
          .run = 123456,
          .payload = R"({"Sleep":1200,"Image":"wear-sort","Seed":42,"Note":")" +
                     std::string(120, 'n') + "\"}",
          .fence = 17,
          .lease_worker_ms = 1234567};
}

Txn SampleTxn() {
  Txn txn;
  txn.conditions.push_back({"control/owner", 77});
  for (int i = 0; i < 8; ++i) {
    const std::string key = "jobs/progress/job-4711-" + std::to_string(i);
    txn.conditions.push_back({key, 9000 + i});
    txn.writes.push_back({.key = key, .value = std::string(120, 'p')});
  }
  return txn;
}

int RunPart(const std::string& part, int count, IoLoop* loop,
            const std::string& address) {
  HttpClient http(loop, {});
  WorkerClient workers(&http, &http);
  StoreClient store(&http, address);
  InstanceClient instances(&http, address, "node-17");
  Counters counters;
  const WorkerAddress worker = {.id = "worker-1234-abcd", .address = address};
  const StartCommand start = SampleStart();
  const HoldCommand hold = {
      .fence = 17, .seen_up_to = 16, .lease_worker_ms = 1234567};
  const Txn txn = SampleTxn();
  if (part == "hold") {
    RunCalls(loop, count, [&](std::function<void()> done) {
      workers.Hold(worker, hold,
                   [done = std::move(done)](const HoldAnswer&) { done(); });
    });
  } else if (part == "start") {
    RunCalls(loop, count, [&](std::function<void()> done) {
      workers.Start(worker, start,
                    [done = std::move(done)](const StartAnswer&) { done(); });
    });
  } else if (part == "commit") {
    RunCalls(loop, count, [&](std::function<void()> done) {
      store.Commit(txn,
                   [done = std::move(done)](const StoreAnswer&) { done(); });
    });
  } else if (part == "watch") {
    RunCalls(loop, count, [&](std::function<void()> done) {
      store.Watch(
          "jobs/inbox/", 9000, Millis(0),
          [done = std::move(done)](const StoreAnswer&) { done(); }, nullptr);
    });
  } else if (part == "instances") {
    RunCalls(loop, count, [&](std::function<void()> done) {
      instances.List([done = std::move(done)](const InstanceList&) { done(); });
    });
  } else if (part == "timer") {
    RunCalls(loop, count, [&](std::function<void()> done) {
      loop->After(Millis(0), std::move(done));
    });
  } else if (part == "log") {
    OpenLogOn("node-17", LogLevel::kInfo, std::make_unique<NullSink>());
    for (int i = 0; i < count; ++i) {
      LogEvent(LogLevel::kInfo, "run-ended",
               {{"task", FormatTaskId(start.task)},
                {"run", start.run + i},
                {"worker", worker.id},
                {"number", i},
                {"how", NameOf(kEndKindNames, EndKind::kDone)},
                {"failures", 0}});
    }
    CloseLog();
  } else if (part == "counters") {
    for (int i = 0; i < count; ++i) {
      counters.Add("runs_started_total");
      counters.Observe("end_stored_ms", i % 40);
    }
  } else {
    return 1;
  }
  return 0;
}

double Micros(const timeval& time) {
  return static_cast<double>(time.tv_sec) * 1e6 +
         static_cast<double>(time.tv_usec);
}

int Main(int argc, char** argv) {
  const int count = argc == 3 ? std::atoi(argv[2]) : -1;
  if (count < 0 || count > kMaxCount) {
    std::fputs(
        "usage: OwnerWireCost "
        "hold|start|commit|watch|instances|timer|log|counters "
        "COUNT\n",
        stderr);
    return 2;
  }
  Server server;
  IoLoop loop;
  rusage before = {};
  rusage after = {};
  getrusage(RUSAGE_SELF, &before);
  const int result = RunPart(argv[1], count, &loop, server.Address());
  getrusage(RUSAGE_SELF, &after);
  const double n = count > 0 ? count : 1;
  std::printf("%s %d: user %.2f us, system %.2f us each\n", argv[1], count,
              (Micros(after.ru_utime) - Micros(before.ru_utime)) / n,
              (Micros(after.ru_stime) - Micros(before.ru_stime)) / n);
  return result;
}

}  // namespace
}  // namespace basilusher::platform

int main(int argc, char** argv) {
  return basilusher::platform::Main(argc, argv);
}
