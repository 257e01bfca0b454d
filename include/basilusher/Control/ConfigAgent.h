// Intent and keys: taken from the store and from peers, never going back.
#ifndef BASILUSHER_CONTROL_CONFIGAGENT_H_
#define BASILUSHER_CONTROL_CONFIGAGENT_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "basilusher/Control/Context.h"
#include "basilusher/Control/StoreChanges.h"

namespace basilusher {

/// Outcome of a publication.
struct PublishResult {
  ResultCode code = ResultCode::kOk;
  /// The version now in the store.
  std::int64_t version = 0;
  /// The document now in the store, if the base was stale.
  Json current;
  std::string text;
};

/// Outcome of a change of keys.
struct KeyChangeResult {
  ResultCode code = ResultCode::kOk;
  /// Whether the store has it; otherwise peers carry it until the store is
  /// back.
  bool stored = false;
  std::string text;
};

/// Not thread-safe.
class ConfigAgent : public Component {
 public:
  explicit ConfigAgent(Context context);

  void OnMessage(const PeerId& from, const Message& message) override;
  void OnTick() override;
  void OnStoreChanges(const StoreChanges& changes);

  /// Publishes `document` on top of `base_version` by compare-and-swap. `done`
  /// is called once.
  void Publish(const Json& document, std::int64_t base_version,
               std::function<void(const PublishResult&)> done);
  /// Adds a key; reported only after the store has it.
  void AddKey(const std::string& id, const KeyRecord& record,
              std::function<void(const KeyChangeResult&)> done);
  /// Withdraws a key: in force here and sent to all peers at once, written to
  /// the store as soon as it answers.
  void WithdrawKey(const std::string& id,
                   std::function<void(const KeyChangeResult&)> done);
  /// The document of the version in force; null if none is.
  const Json& Document() const { return document_; }

 private:
  struct Head {
    std::int64_t version = 0;
    std::string operation;
    int chunks = 0;
  };
  struct Publication {
    Json document;
    Head head;
    std::int64_t head_store_version = 0;
    int chunks_written = 0;
    std::vector<std::string> chunks;
    std::vector<std::string> history;
    std::function<void(const PublishResult&)> done;
  };
  using PublicationPtr = std::shared_ptr<Publication>;

  void Apply(const Json& document, std::int64_t version);
  void OnHead(const StoreEntry& entry);
  void FetchChunks(const Head& head);
  void OnHeartbeat(const PeerId& from, const Heartbeat& heartbeat);
  void OnVersionAnnounced(std::int64_t version);
  void MergeKeys(const KeySet& keys);
  void SetKeys(KeySet keys);
  void WriteKeys();
  void OnKeysRead(const StoreReply& reply);
  void CompleteKeyChanges(bool stored);
  void StartPublication(const PublicationPtr& publication,
                        const StoreReply& head, std::int64_t base_version);
  void WriteChunk(const PublicationPtr& publication);
  void WriteHead(const PublicationPtr& publication, int tries_left);
  void ResolveHeadWrite(const PublicationPtr& publication, int tries_left);
  void SendToAll(const Message& message);

  Context context_;
  Json document_;
  std::int64_t version_ = 0;
  bool fetching_ = false;
  Head pending_head_;
  TimePoint next_fetch_{};
  /// Keys known to be in the store.
  KeySet stored_keys_;
  std::int64_t stored_keys_version_ = 0;
  bool writing_keys_ = false;
  TimePoint next_key_write_{};
  TimePoint next_key_check_{};
  std::vector<std::function<void(const KeyChangeResult&)>> pending_key_changes_;
  std::map<std::string, TimePoint> next_push_;
};

}  // namespace basilusher

#endif  // BASILUSHER_CONTROL_CONFIGAGENT_H_
