// Replication of the intent (the published desired state) and of the callers'
// API keys: both come from the store and from peers and never revert to an
// earlier state.
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
  /// The document now in the store, if the base was stale and this entry has
  /// it.
  Json current;
  std::string text;
};

/// Outcome of a change of keys.
struct KeyChangeResult {
  ResultCode code = ResultCode::kOk;
  /// Whether the store has the change; otherwise it is replicated among the
  /// entries only until the store answers again.
  bool stored = false;
  std::string text;
};

/// Applies newer versions of the intent and merges key sets, replicates both to
/// peers and writes changes to the store. Not thread-safe.
class ConfigAgent : public Component {
 public:
  explicit ConfigAgent(Context context);

  void OnMessage(const PeerId& from, const Message& message) override;
  void OnTick() override;
  void OnStoreChanges(const StoreChanges& changes);

  /// Publishes `document` as the version after `base_version` by
  /// compare-and-swap. `done` is called exactly once.
  void Publish(const Json& document, std::int64_t base_version,
               std::function<void(const PublishResult&)> done);
  /// Adds a key. Like a withdrawal it takes effect here and is sent to all
  /// peers at once; success is reported only after the store has it.
  void AddKey(const std::string& id, const KeyRecord& record,
              std::function<void(const KeyChangeResult&)> done);
  /// Withdraws (revokes) a key: takes effect here and is sent to all peers at
  /// once, and is written to the store as soon as that answers.
  void WithdrawKey(const std::string& id,
                   std::function<void(const KeyChangeResult&)> done);
  /// Returns the document of the version in force; null if there is none.
  const Json& Document() const { return document_; }

 private:
  /// The store's record of the published version; it refers to the chunks of
  /// the document.
  struct Head {
    std::int64_t version = 0;
    /// Random id of the publication; part of its chunks' keys.
    std::string operation;
    /// Number of chunks.
    int chunks = 0;
  };
  /// A publication in progress.
  struct Publication {
    Json document;
    Head head;
    /// The store's version of the head that this publication replaces.
    std::int64_t head_store_version = 0;
    int chunks_written = 0;
    std::vector<std::string> chunks;
    /// Operations of the latest versions, this one included.
    std::vector<std::string> history;
    std::function<void(const PublishResult&)> done;
  };
  using PublicationPtr = std::shared_ptr<Publication>;

  void Apply(const Json& document, std::int64_t version);
  void OnHead(const StoreEntry& entry);
  void FetchChunks(const Head& head);
  void OnHeartbeat(const PeerId& from, const Heartbeat& heartbeat);
  /// Notes in the view that `version` exists, though it is not in force here.
  void OnVersionAnnounced(std::int64_t version);
  void MergeKeys(const KeySet& keys);
  void SetKeys(KeySet keys);
  void WriteKeys();
  void OnKeysRead(const StoreReply& reply);
  void CompleteKeyChanges(bool stored);
  void StartPublication(const PublicationPtr& publication,
                        const StoreReply& head, std::int64_t base_version);
  void WriteChunk(const PublicationPtr& publication);
  void WriteHead(const PublicationPtr& publication, int retries_left);
  void ResolveHeadWrite(const PublicationPtr& publication, int retries_left);
  void SendToAll(const Message& message);

  Context context_;
  Json document_;
  std::int64_t version_ = 0;
  /// Whether a read of chunks is in flight.
  bool fetching_ = false;
  /// Newest head read from the store.
  Head pending_head_;
  TimePoint next_fetch_{};
  /// Keys known to be in the store.
  KeySet stored_keys_;
  std::int64_t stored_keys_version_ = 0;
  bool writing_keys_ = false;
  TimePoint next_key_write_{};
  TimePoint next_key_check_{};
  std::vector<std::function<void(const KeyChangeResult&)>> pending_key_changes_;
  /// Earliest time of the next push of keys to each peer in answer to a
  /// heartbeat with another digest.
  std::map<std::string, TimePoint> next_key_resync_;
};

}  // namespace basilusher

#endif  // BASILUSHER_CONTROL_CONFIGAGENT_H_
