// Guards against requests whose rejection ends the node.
#include <gtest/gtest.h>

#include "ClientApi.h"
#include "FleetSim.h"
#include "Formats.h"

namespace basilusher::platform {
namespace {

constexpr int kStatusBadRequest = 400;

class NoPeers : public PeerCaller {
 public:
  void Call(const std::string&, const char*, const Json&, Millis,
            PeerCallback done) override {
    done(std::nullopt);
  }
  void Fetch(const std::string&, const char*, const Json&, Millis,
             PeerCallback done) override {
    done(std::nullopt);
  }
};

/// A node's interface for clients, with one open queue.
class ClientErrorTest : public ::testing::Test {
 protected:
  ClientErrorTest() {
    store.Put(formats.ConfigKey(), R"({"Version":1,"Services":[{"Name":"s"}],
        "Routes":[{"Name":"q","Host":"host","Prefix":"/q/","Service":"s",
                   "Public":true}]})");
    catalogs = std::make_shared<CatalogKeeper>(
        &store, &timers, &timers, &formats, &peers,
        CatalogListener{.on_catalog =
                            [](const std::shared_ptr<const Catalog>&) {},
                        .on_wave = [](const MaintenanceWave&) {},
                        .peers = [this]() -> const auto& { return nobody;
  }});
catalogs->Begin();
timers.Run(Millis(100));
}  // namespace

HttpResponse Submit(const std::string& body) {
  ClientApi api(nullptr, catalogs, &timers);
  HttpResponse given{.status = 0, .body = {}};
  api.Serve({.method = "POST",
             .target = "/q/00000000000000a1",
             .headers = {{"Host", "host"}},
             .body = body},
            [&given](const HttpResponse& response) { given = response; });
  return given;
}

SimTimers timers;
SimStore store{&timers};
Formats formats;
NoPeers peers;
std::map<std::string, std::string> nobody;
std::shared_ptr<CatalogKeeper> catalogs;
};  // namespace basilusher::platform

TEST_F(ClientErrorTest, ASubmissionThatIsNotUtf8IsRejected) {
  for (const char* body :
       {"\xff", "{\"Spec\":\"\xff\"}", "{\"Steps\":[{\"Image\":\"\xc3(\"}]}",
        "{\"\xfe\":1}"}) {
    const HttpResponse response = Submit(body);
    EXPECT_EQ(response.status, kStatusBadRequest);
    EXPECT_TRUE(Json::parse(response.body, nullptr, false).is_object());
  }
}

}  // namespace
}  // namespace basilusher::platform
