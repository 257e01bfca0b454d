// A node on the fakes of a fleet: configuration, election and front, with peer
// calls that go straight to the other nodes' methods.
#ifndef BASILUSHER_UNITTESTS_NODE_SIMNODE_H_
#define BASILUSHER_UNITTESTS_NODE_SIMNODE_H_

#include <map>
#include <memory>
#include <string>

#include "FleetSim.h"
#include "basilusher/Node/CatalogKeeper.h"
#include "basilusher/Node/JobFront.h"
#include "basilusher/Node/NodeAgent.h"

namespace basilusher {

/// Carries peer calls between nodes on virtual time.
class SimPeers : public PeerCaller {
 public:
  explicit SimPeers(SimTimers* timers) : timers_(timers) {}
  void Call(const std::string& address, const char* path, const Json& body,
            Millis timeout, PeerCallback done) override;
  void Fetch(const std::string& address, const char* path, const Json& body,
             Millis timeout, PeerCallback done) override;
  void Attach(const std::string& address, const PeerMethods* methods) {
    nodes_[address] = methods;
  }

  /// The process of the node at this address has ended.
  void Detach(const std::string& address) { nodes_.erase(address); }

  /// Calls so far, by path.
  std::map<std::string, int> calls;
  /// How long the answer to Fetch() takes to arrive.
  Millis transfer_time{0};
  /// How many of the next calls are lost, by path.
  std::map<std::string, int> lose_next;

 private:
  SimTimers* timers_;
  std::map<std::string, const PeerMethods*> nodes_;
};

/// A store that may fail for one node while it serves the others.
class SimStorePath : public TransactionalStore {
 public:
  SimStorePath(TransactionalStore* store, SimTimers* timers)
      : store_(store), timers_(timers) {}
  void Get(const std::string& key, StoreAnswerCallback done) override;
  void List(const std::string& prefix, StoreAnswerCallback done,
            StoreProgressCallback on_progress) override;
  void Watch(const std::string& prefix, std::int64_t revision, Millis wait,
             StoreAnswerCallback done,
             StoreProgressCallback on_progress) override;
  void Commit(const Txn& txn, StoreAnswerCallback done) override;
  void GrantLease(Millis ttl, StoreAnswerCallback done) override;
  void KeepLease(std::int64_t lease, StoreAnswerCallback done) override;
  void EndLease(std::int64_t lease, StoreAnswerCallback done) override;

  /// No call of this node is answered or carried out.
  bool silent = false;
  std::int64_t commits = 0;

 private:
  bool Fails(const StoreAnswerCallback& done, Millis timeout);

  TransactionalStore* store_;
  SimTimers* timers_;
};

struct SimNode {
  SimNode(FleetSim* sim, SimPeers* peers, const std::string& name,
          double strength = 0.25, bool store_silent = false);
  /// Hands a job in and returns what its submitter was told, if anything.
  std::shared_ptr<std::optional<SubmitResult>> Submit(const JobSpec& job,
                                                      Millis deadline);

  FleetSim* sim;
  SimStorePath store;
  /// Off until a test sets the maximum age.
  EvacuationView evacuations;
  PeerMethods methods;
  std::shared_ptr<NodeAgent> agent;
  std::shared_ptr<CatalogKeeper> catalogs;
  std::shared_ptr<JobFront> front;
};

}  // namespace basilusher

#endif  // BASILUSHER_UNITTESTS_NODE_SIMNODE_H_
