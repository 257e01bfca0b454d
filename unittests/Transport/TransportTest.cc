// Two transports in one process: delivery, order and a lost peer.
#include <gtest/gtest.h>

#include <algorithm>
#include <condition_variable>
#include <mutex>

#include "basilusher/Transport/PeerTransport.h"

namespace basilusher {
namespace {

/// A transport with what it received.
class End {
 public:
  explicit End(const std::string& name)
      : transport_(MakeWebsocketTransport(
            {.instance = name, .address = "127.0.0.1"})) {
    port = transport_->Start(
        {.on_message = [this](const std::string& bytes) { Note(bytes); },
         .on_connected = [this](const std::string& peer) { Note("+" + peer); },
         .on_disconnected =
             [this](const std::string& peer) { Note("-" + peer); }});
  }

  void Await(const std::string& text) {
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait(lock, [&] {
      return std::find(received.begin(), received.end(), text) !=
             received.end();
    });
  }

  PeerTransport* operator->() { return transport_.get(); }

  int port = 0;
  std::vector<std::string> received;

 private:
  void Note(const std::string& text) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      received.push_back(text);
    }
    changed_.notify_all();
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::unique_ptr<PeerTransport> transport_;
};

TEST(WebsocketTransport, DeliversInOrderBothWays) {
  End a("a");
  End b("b");
  a->SetPeers({{"b", "127.0.0.1", b.port}});
  a.Await("+b");
  b.Await("+a");
  const std::string binary("\0\xff\x01", 3);
  EXPECT_TRUE(a->Send("b", "one"));
  EXPECT_TRUE(a->Send("b", binary));
  EXPECT_TRUE(a->Send("b", "two"));
  EXPECT_TRUE(b->Send("a", "back"));
  b.Await("two");
  a.Await("back");
  EXPECT_EQ(b.received, (std::vector<std::string>{"+a", "one", binary, "two"}));
  EXPECT_FALSE(a->Send("nobody", "x"));
  a->Stop();
  b.Await("-a");
  EXPECT_FALSE(b->Send("a", "x"));
  b->Stop();
}

TEST(WebsocketTransport, DialsAgainWhenAPeerComesBack) {
  End a("a");
  int port = 0;
  {
    End b("b");
    port = b.port;
    a->SetPeers({{"b", "127.0.0.1", port}});
    a.Await("+b");
    b->Stop();
  }
  a.Await("-b");
  End again("b");
  a->SetPeers({{"b", "127.0.0.1", again.port}});
  again.Await("+a");
  a->Stop();
  again->Stop();
}

}  // namespace
}  // namespace basilusher
