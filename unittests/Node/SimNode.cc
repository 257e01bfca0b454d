// Nodes on fakes.
#include "SimNode.h"

namespace basilusher {
namespace {

constexpr Millis kPeerLatency{2};
constexpr Millis kStoreTimeout{800};

}  // namespace

void SimPeers::Call(const std::string& address, const char* path,
                    const Json& body, Millis timeout, PeerCallback done) {
  ++calls[path];
  const auto answered = std::make_shared<bool>(false);
  const auto once = [answered, done](std::optional<Json> answer) {
    if (*answered) return;
    *answered = true;
    done(std::move(answer));
  };
  timers_->After(timeout, [once] { once(std::nullopt); });
  if (lose_next[path] > 0) {
    --lose_next[path];
    return;
  }
  const auto node = nodes_.find(address);
  if (node == nodes_.end()) return;
  const PeerMethods::Method* method = node->second->Find(path);
  if (method == nullptr) return;
  timers_->After(kPeerLatency, [this, method, body, once] {
    (*method)(body, [this, once](std::optional<Json> answer) {
      timers_->After(kPeerLatency, [once, answer] { once(answer); });
    });
  });
}

void SimPeers::Fetch(const std::string& address, const char* path,
                     const Json& body, Millis timeout, PeerCallback done) {
  Call(address, path, body, timeout,
       [this, done = std::move(done)](std::optional<Json> answer) {
         timers_->After(transfer_time, [done, answer] { done(answer); });
       });
}

bool SimStorePath::Fails(const StoreAnswerCallback& done, Millis timeout) {
  if (!silent) return false;
  timers_->After(timeout, [done] { done({.status = TxnStatus::kLost}); });
  return true;
}

void SimStorePath::Get(const std::string& key, StoreAnswerCallback done) {
  if (!Fails(done, kStoreTimeout)) store_->Get(key, std::move(done));
}

void SimStorePath::List(const std::string& prefix, StoreAnswerCallback done,
                        StoreProgressCallback on_progress) {
  if (Fails(done, kStoreTimeout)) return;
  store_->List(prefix, std::move(done), std::move(on_progress));
}

void SimStorePath::Watch(const std::string& prefix, std::int64_t revision,
                         Millis wait, StoreAnswerCallback done,
                         StoreProgressCallback on_progress) {
  if (Fails(done, wait + kStoreTimeout)) return;
  // An answer that comes after the path was cut is lost.
  store_->Watch(
      prefix, revision, wait,
      [this, done](const StoreAnswer& a) {
        if (!Fails(done, kStoreTimeout)) done(a);
      },
      std::move(on_progress));
}

void SimStorePath::Commit(const Txn& txn, StoreAnswerCallback done) {
  ++commits;
  if (!Fails(done, kStoreTimeout)) store_->Commit(txn, std::move(done));
}

void SimStorePath::GrantLease(Millis ttl, StoreAnswerCallback done) {
  if (!Fails(done, kStoreTimeout)) store_->GrantLease(ttl, std::move(done));
}

void SimStorePath::KeepLease(std::int64_t lease, StoreAnswerCallback done) {
  if (!Fails(done, kStoreTimeout)) store_->KeepLease(lease, std::move(done));
}

void SimStorePath::EndLease(std::int64_t lease, StoreAnswerCallback done) {
  if (!Fails(done, kStoreTimeout)) store_->EndLease(lease, std::move(done));
}

SimNode::SimNode(FleetSim* sim, SimPeers* peers, const std::string& name,
                 double strength, bool store_silent)
    : sim(sim),
      store(&sim->store, &sim->timers),
      evacuations(&sim->timers, nullptr) {
  store.silent = store_silent;
  const std::string address = name + ":7000";
  agent = std::make_shared<NodeAgent>(
      OwnerDependencies{.store = &store,
                        .workers = &sim->fleet,
                        .instances = &sim->fleet,
                        .timers = &sim->timers,
                        .clock = &sim->timers,
                        .formats = &sim->formats,
                        .evacuations = &evacuations},
      peers,
      NodeOptions{.node = name,
                  .incarnation = name + "-1",
                  .peer_address = address,
                  .strength = strength},
      [sim] { return std::make_shared<Catalog>(sim->catalog); });
  catalogs = std::make_shared<CatalogKeeper>(
      &store, &sim->timers, &sim->timers, &sim->formats, peers,
      CatalogListener{
          .on_catalog =
              [this](const std::shared_ptr<const Catalog>& catalog) {
                agent->OnCatalog(catalog);
              },
          .on_wave =
              [this](const MaintenanceWave& wave) { agent->OnWave(wave); },
          .evacuations = &evacuations,
          .peers = [this]() -> const std::map<std::string, std::string>& {
            return agent->Peers();
          }});
  evacuations.Follow([this] { return catalogs->FreshAt(); });
  front = std::make_shared<JobFront>(JobFrontPorts{.store = &store,
                                                   .timers = &sim->timers,
                                                   .clock = &sim->timers,
                                                   .peers = peers},
                                     JobFrontOptions{}, agent, catalogs);
  front->Serve(&methods);
  methods.On(PeerPaths::kStatus, [this](const Json&, PeerCallback done) {
    done(catalogs->Status());
  });
  methods.On(PeerPaths::kCatalog, [this](const Json&, PeerCallback done) {
    done(catalogs->Export());
  });
  methods.On(PeerPaths::kEndTerm, [this](const Json& body, PeerCallback done) {
    done(agent->AnswerEndTerm(body));
  });

  methods.On(PeerPaths::kTermEnded,
             [this](const Json& body, PeerCallback done) {
               done(agent->HearEndedTerm(body));
             });
  methods.On(PeerPaths::kFindEndedTerm,
             [this](const Json& body, PeerCallback done) {
               done(agent->AnswerFindEndedTerm(body));
             });
  peers->Attach(address, &methods);
  catalogs->Begin();
  agent->Begin();
}

std::shared_ptr<std::optional<SubmitResult>> SimNode::Submit(const JobSpec& job,
                                                             Millis deadline) {
  std::shared_ptr<std::optional<SubmitResult>> told =
      std::make_shared<std::optional<SubmitResult>>();
  front->Submit(job, sim->timers.Now() + deadline,
                [told](SubmitResult result) { *told = result; });
  return told;
}

}  // namespace basilusher
