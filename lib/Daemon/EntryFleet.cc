// Drains, admissions and releases on the thread pool.
#include "EntryFleet.h"

namespace basilusher {

void EntryFleet::Drain(const WorkerInfo& worker, std::int64_t fence,
                       std::function<void(int running)> done) {
  services_->pool->Post([this, worker, fence, done] {
    const int running = services_->workers->Drain(worker, fence);
    services_->directory.Run(
        ComponentKind::kFleet,
        [done, running](Component* /*component*/) { done(running); });
  });
}

void EntryFleet::Admit(const WorkerInfo& worker, std::int64_t fence,
                       std::function<void(bool admitted)> done) {
  services_->pool->Post([this, worker, fence, done] {
    const bool admitted = services_->workers->Admit(worker, fence);
    services_->directory.Run(
        ComponentKind::kFleet,
        [done, admitted](Component* /*component*/) { done(admitted); });
  });
}

void EntryFleet::Release(const WorkerInfo& worker, std::int64_t maintained) {
  services_->pool->Post([this, id = worker.id, maintained] {
    HttpStore platform({.address = services_->settings.store_address,
                        .port = services_->settings.store_port});
    platform.ReleaseInstance(id, maintained);
  });
}

}  // namespace basilusher
