// Replication and publication of the intent and the keys.
#include "basilusher/Control/ConfigAgent.h"

#include <algorithm>
#include <utility>

#include "basilusher/Model/IntentFiles.h"
#include "basilusher/Support/Log.h"

namespace basilusher {
namespace {

/// Largest chunk of a stored document, in bytes.
constexpr std::size_t kChunkBytes = 900000;
/// Least time between two reads of a document's chunks.
constexpr Millis kFetchBackoff{300};
/// Delay after which an entry writes keys received from peers to the store, so
/// that the entry that accepted the change can write them first.
constexpr Millis kKeyWriteDelay{2000};
/// Delay after a failed write of keys.
constexpr Millis kKeyWriteBackoff{500};
/// Period of the comparison of this entry's keys with those in the store.
constexpr Millis kKeyCheckPeriod{500};
/// Least time between two pushes of keys to one peer in answer to heartbeats
/// with another digest. A change of keys is pushed to all peers at once.
constexpr Millis kMinKeyResyncInterval{200};
/// Further reads and writes of the head when the outcome of its write is
/// unknown.
constexpr int kMaxHeadRetries = 4;
constexpr int kOperationDigits = 16;
/// Number of operations kept in the head, so that a publisher whose answer was
/// lost finds its own among them.
constexpr std::size_t kMaxHistory = 16;

std::string ChunkKey(const std::string& operation, int number) {
  return "intent/chunk/" + operation + "/" + std::to_string(number);
}

}  // namespace

ConfigAgent::ConfigAgent(Context context) : context_(std::move(context)) {}

void ConfigAgent::SendToAll(const Message& message) {
  const ViewPtr view = context_.views->Current();
  for (const std::pair<const std::string, EntryInfo>& row : view->entries) {
    if (row.first != context_.self.instance) {
      context_.bus->Send(row.first, message);
    }
  }
}

void ConfigAgent::OnVersionAnnounced(std::int64_t version) {
  if (version <= context_.views->Current()->heard_version) return;
  context_.views->Update(
      [version](ClusterView* view) { view->heard_version = version; });
}

void ConfigAgent::Apply(const Json& document, std::int64_t version) {
  if (version <= version_) return;
  std::shared_ptr<const Intent> intent;
  try {
    intent = std::make_shared<const Intent>(ParseIntent(document, version));
  } catch (const Error& error) {
    LogEvent(LogLevel::kError, "intent-unusable",
             {{"version", version}, {"error", error.what()}});
    return;
  }
  version_ = version;
  document_ = document;
  context_.views->Update([&intent, version](ClusterView* view) {
    view->intent = intent;
    view->heard_version = std::max(view->heard_version, version);
  });
  context_.counters->Set("intent_version", version);
  LogEvent(LogLevel::kInfo, "intent-in-force", {{"version", version}});
  // Peers get the whole document, not just its version, so that a peer that
  // learns of the version has it at once.
  SendToAll(IntentPush{.version = version, .document = document});
}

void ConfigAgent::OnStoreChanges(const StoreChanges& changes) {
  for (const StoreEntry& entry : changes.entries) {
    if (entry.version == 0) continue;
    if (entry.key == kIntentHeadKey) OnHead(entry);
    if (entry.key == kKeysKey) {
      stored_keys_version_ = entry.version;
      stored_keys_ = Json::parse(entry.value).get<KeySet>();
      MergeKeys(stored_keys_);
    }
  }
}

void ConfigAgent::OnHead(const StoreEntry& entry) {
  const Json json = Json::parse(entry.value);
  const Head head{.version = json.at("version").get<std::int64_t>(),
                  .operation = json.at("operation").get<std::string>(),
                  .chunks = json.at("chunks").get<int>()};
  if (head.version <= version_) return;
  OnVersionAnnounced(head.version);
  pending_head_ = head;
  FetchChunks(head);
}

void ConfigAgent::FetchChunks(const Head& head) {
  if (fetching_) return;
  fetching_ = true;
  next_fetch_ = context_.clock->Now() + kFetchBackoff;
  context_.store->List(
      StorePurpose::kConfig, "intent/chunk/" + head.operation + "/",
      [this, head](const StoreReply& reply) {
        fetching_ = false;
        if (reply.status != StoreStatus::kOk ||
            reply.entries.size() != static_cast<std::size_t>(head.chunks)) {
          return;
        }
        std::string text;
        for (int n = 0; n < head.chunks; ++n) {
          for (const StoreEntry& entry : reply.entries) {
            if (entry.key == ChunkKey(head.operation, n)) text += entry.value;
          }
        }
        Apply(Json::parse(text), head.version);
      });
}

void ConfigAgent::OnMessage(const PeerId& from, const Message& message) {
  if (const Heartbeat* heartbeat = std::get_if<Heartbeat>(&message)) {
    OnHeartbeat(from, *heartbeat);
  } else if (const IntentPull* pull = std::get_if<IntentPull>(&message)) {
    if (version_ <= pull->version) return;
    context_.bus->Send(from.instance, IntentPush{version_, document_});
  } else if (const IntentPush* push = std::get_if<IntentPush>(&message)) {
    Apply(push->document, push->version);
  } else if (const KeysPush* keys = std::get_if<KeysPush>(&message)) {
    MergeKeys(keys->keys);
  }
}

void ConfigAgent::OnHeartbeat(const PeerId& from, const Heartbeat& heartbeat) {
  if (heartbeat.intent_version > version_) {
    OnVersionAnnounced(heartbeat.intent_version);
    context_.bus->Send(from.instance, IntentPull{version_});
  }
  const ViewPtr view = context_.views->Current();
  if (heartbeat.keys_digest == view->keys->Digest()) return;
  const TimePoint now = context_.clock->Now();
  TimePoint& next = next_key_resync_[from.instance];
  if (now < next) return;
  next = now + kMinKeyResyncInterval;
  context_.bus->Send(from.instance, KeysPush{*view->keys});
}

void ConfigAgent::SetKeys(KeySet keys) {
  context_.views->Update([&keys](ClusterView* view) {
    view->keys = std::make_shared<const KeySet>(std::move(keys));
  });
  SendToAll(KeysPush{*context_.views->Current()->keys});
}

void ConfigAgent::MergeKeys(const KeySet& keys) {
  KeySet merged = *context_.views->Current()->keys;
  if (!merged.Merge(keys)) return;
  next_key_write_ =
      std::max(next_key_write_, context_.clock->Now() + kKeyWriteDelay);
  SetKeys(std::move(merged));
}

void ConfigAgent::AddKey(const std::string& id, const KeyRecord& record,
                         std::function<void(const KeyChangeResult&)> done) {
  KeySet keys = *context_.views->Current()->keys;
  keys.Add(id, record);
  SetKeys(std::move(keys));
  pending_key_changes_.push_back(std::move(done));
  next_key_write_ = {};
  WriteKeys();
}

void ConfigAgent::WithdrawKey(
    const std::string& id, std::function<void(const KeyChangeResult&)> done) {
  KeySet keys = *context_.views->Current()->keys;
  keys.Withdraw(id);
  SetKeys(std::move(keys));
  pending_key_changes_.push_back(std::move(done));
  next_key_write_ = {};
  WriteKeys();
}

void ConfigAgent::CompleteKeyChanges(bool stored) {
  const std::vector<std::function<void(const KeyChangeResult&)>> waiters =
      std::exchange(pending_key_changes_, {});
  for (const std::function<void(const KeyChangeResult&)>& done : waiters) {
    done({.code = stored ? ResultCode::kOk : ResultCode::kStoreUnavailable,
          .stored = stored,
          .text = stored ? "stored"
                         : "the store does not answer; peers replicate the "
                           "change until it does"});
  }
}

void ConfigAgent::WriteKeys() {
  if (writing_keys_ || context_.clock->Now() < next_key_write_) return;
  writing_keys_ = true;
  context_.store->Get(StorePurpose::kConfig, kKeysKey,
                      [this](const StoreReply& reply) { OnKeysRead(reply); });
}

void ConfigAgent::OnKeysRead(const StoreReply& reply) {
  const auto fail = [this] {
    writing_keys_ = false;
    next_key_write_ = context_.clock->Now() + kKeyWriteBackoff;
    CompleteKeyChanges(false);
  };
  if (reply.status == StoreStatus::kUnavailable) {
    fail();
    return;
  }
  KeySet stored;
  std::int64_t version = 0;
  if (reply.status == StoreStatus::kOk) {
    stored = Json::parse(reply.entries.front().value).get<KeySet>();
    version = reply.entries.front().version;
  }
  KeySet merged = *context_.views->Current()->keys;
  if (merged.Merge(stored)) SetKeys(merged);
  if (merged == stored) {
    writing_keys_ = false;
    stored_keys_ = stored;
    CompleteKeyChanges(true);
    return;
  }
  context_.store->Swap(StorePurpose::kConfig,
                       {.key = kKeysKey,
                        .expected_version = version,
                        .value = Json(merged).dump()},
                       [this, merged, fail](const StoreReply& swapped) {
                         if (swapped.status == StoreStatus::kOk) {
                           writing_keys_ = false;
                           stored_keys_ = merged;
                           CompleteKeyChanges(true);
                           return;
                         }
                         if (swapped.status == StoreStatus::kUnavailable) {
                           fail();
                           return;
                         }
                         // The answer was lost or another entry wrote first.
                         // The set only grows, so reading and merging it again
                         // is safe.
                         writing_keys_ = false;
                         next_key_write_ = {};
                       });
}

void ConfigAgent::OnTick() {
  const TimePoint now = context_.clock->Now();
  if (pending_head_.version > version_ && now >= next_fetch_) {
    FetchChunks(pending_head_);
  }
  if (!pending_key_changes_.empty()) WriteKeys();
  if (now < next_key_check_) return;
  next_key_check_ = now + kKeyCheckPeriod;
  KeySet stored = stored_keys_;
  if (stored.Merge(*context_.views->Current()->keys)) {
    WriteKeys();
  }
}

void ConfigAgent::Publish(const Json& document, std::int64_t base_version,
                          std::function<void(const PublishResult&)> done) {
  const std::vector<std::string> errors = CheckDocument(document);
  if (!errors.empty()) {
    done({.code = ResultCode::kIntentInvalid, .text = errors.front()});
    return;
  }
  const PublicationPtr publication = std::make_shared<Publication>();
  publication->document = document;
  publication->done = std::move(done);
  context_.store->Get(
      StorePurpose::kConfig, kIntentHeadKey,
      [this, publication, base_version](const StoreReply& reply) {
        StartPublication(publication, reply, base_version);
      });
}

void ConfigAgent::StartPublication(const PublicationPtr& publication,
                                   const StoreReply& head,
                                   std::int64_t base_version) {
  if (head.status == StoreStatus::kUnavailable) {
    publication->done({.code = ResultCode::kStoreUnavailable,
                       .text = "the store does not answer; nothing was "
                               "published"});
    return;
  }
  std::int64_t current = 0;
  if (head.status == StoreStatus::kOk) {
    const Json json = Json::parse(head.entries.front().value);
    current = json.at("version").get<std::int64_t>();
    publication->history = json.at("history").get<std::vector<std::string>>();
    publication->head_store_version = head.entries.front().version;
  }
  if (current != base_version) {
    publication->done({.code = ResultCode::kIntentStale,
                       .version = current,
                       .current = version_ == current ? document_ : Json(),
                       .text = "base version " + std::to_string(base_version) +
                               " is stale; version " + std::to_string(current) +
                               " is published"});
    return;
  }
  publication->head = {
      .version = current + 1,
      .operation = RandomHex(context_.random, kOperationDigits)};
  publication->history.push_back(publication->head.operation);
  if (publication->history.size() > kMaxHistory) {
    publication->history.erase(publication->history.begin());
  }
  const std::string text = publication->document.dump();
  for (std::size_t at = 0; at < text.size(); at += kChunkBytes) {
    publication->chunks.push_back(text.substr(at, kChunkBytes));
  }
  publication->head.chunks = static_cast<int>(publication->chunks.size());
  WriteChunk(publication);
}

void ConfigAgent::WriteChunk(const PublicationPtr& publication) {
  const int number = publication->chunks_written;
  if (number == publication->head.chunks) {
    WriteHead(publication, kMaxHeadRetries);
    return;
  }
  context_.store->Swap(
      StorePurpose::kConfig,
      {.key = ChunkKey(publication->head.operation, number),
       .value = publication->chunks[number]},
      [this, publication](const StoreReply& reply) {
        // No other publication writes this key, so a conflict means that an
        // earlier write of this chunk took effect.
        if (reply.status == StoreStatus::kUnavailable ||
            reply.status == StoreStatus::kAnswerLost) {
          publication->done({.code = ResultCode::kStoreUnavailable,
                             .text = "the store does not answer; nothing was "
                                     "published"});
          return;
        }
        ++publication->chunks_written;
        WriteChunk(publication);
      });
}

void ConfigAgent::WriteHead(const PublicationPtr& publication,
                            int retries_left) {
  const Json head = {{"version", publication->head.version},
                     {"operation", publication->head.operation},
                     {"history", publication->history},
                     {"chunks", publication->head.chunks}};
  context_.store->Swap(
      StorePurpose::kConfig,
      {.key = kIntentHeadKey,
       .expected_version = publication->head_store_version,
       .value = head.dump()},
      [this, publication, retries_left](const StoreReply& reply) {
        if (reply.status == StoreStatus::kOk) {
          Apply(publication->document, publication->head.version);
          publication->done(
              {.version = publication->head.version, .text = "published"});
          return;
        }
        if (reply.status == StoreStatus::kUnavailable) {
          publication->done({.code = ResultCode::kStoreUnavailable,
                             .text = "the store does not answer; nothing was "
                                     "published"});
          return;
        }
        ResolveHeadWrite(publication, retries_left);
      });
}

void ConfigAgent::ResolveHeadWrite(const PublicationPtr& publication,
                                   int retries_left) {
  context_.store->Get(
      StorePurpose::kConfig, kIntentHeadKey,
      [this, publication, retries_left](const StoreReply& reply) {
        const bool unreadable = reply.status == StoreStatus::kUnavailable;
        const bool unchanged =
            !unreadable &&
            (reply.status == StoreStatus::kNotFound ||
             reply.entries.front().version == publication->head_store_version);
        if ((unreadable || unchanged) && retries_left <= 0) {
          publication->done(
              {.code = ResultCode::kStoreAnswerLost,
               .version = publication->head.version,
               .text = "the store's answer was lost; run status to see whether "
                       "the version is in force"});
          return;
        }
        if (unreadable) {
          ResolveHeadWrite(publication, retries_left - 1);
          return;
        }
        if (unchanged) {
          WriteHead(publication, retries_left - 1);
          return;
        }
        const Json head = Json::parse(reply.entries.front().value);
        const std::vector<std::string> history =
            head.at("history").get<std::vector<std::string>>();
        if (std::find(history.begin(), history.end(),
                      publication->head.operation) != history.end()) {
          Apply(publication->document, publication->head.version);
          publication->done(
              {.version = publication->head.version, .text = "published"});
          return;
        }
        publication->done(
            {.code = ResultCode::kIntentStale,
             .version = head.at("version").get<std::int64_t>(),
             .text = "a concurrent publication took effect first"});
      });
}

}  // namespace basilusher
