// Explanations from the view and from the homes on this entry.
#include "Explain.h"

#include <algorithm>

#include "basilusher/Control/PlaceHome.h"
#include "basilusher/Control/SlotHome.h"

namespace basilusher {
namespace {

using Lines = std::vector<std::string>;

std::string Number(std::int64_t value) { return std::to_string(value); }

void ExplainPool(EntryServices* services, const ClusterView& view,
                 const std::string& pool, Lines* lines) {
  const PoolIntent& intent = view.intent->pools.at(pool);
  const std::vector<WorkerInfo> usable = WorkersOf(view, pool);
  lines->push_back("pool " + pool + ": " + Number(intent.workers.size()) +
                   " workers by intent, " + Number(usable.size()) +
                   " listed and not leaving, availability budget " +
                   Number(intent.availability_budget));
  const std::string home = HomeOf(view, SlotSubject(pool));
  if (home != services->self.instance) {
    lines->push_back("pool " + pool + ": its slots have their home at " + home +
                     "; ask there for waiting and use");
    return;
  }
  const Lines own = services->Ask<SlotHome, Lines>(
      ComponentKind::kSlotHome, [&pool, &usable](SlotHome* slots) {
        const SlotScheduler* scheduler = slots->SchedulerOf(pool);
        if (scheduler == nullptr) {
          return Lines{"pool " + pool + ": nothing has asked for a slot yet"};
        }
        Lines rows = {"pool " + pool + ": " + Number(scheduler->InUse()) +
                      " slots in use, " + Number(scheduler->Waiting()) +
                      " requests waiting"};
        for (const WorkerInfo& worker : usable) {
          if (!scheduler->Health().IsQuarantined(worker.id)) continue;
          rows.push_back("worker " + worker.id +
                         ": quarantined after failures, probed from time to "
                         "time");
        }
        return rows;
      });
  lines->insert(lines->end(), own.begin(), own.end());
}

void ExplainQueue(EntryServices* services, const ClusterView& view,
                  const QueueIntent& queue, Lines* lines) {
  std::string teams = queue.open ? "every team" : "";
  for (const std::string& team : queue.teams) {
    teams += (teams.empty() ? "" : ", ") + team;
  }
  lines->push_back("queue " + queue.name + ": class " +
                   std::string(NameOf(kWorkClassNames, queue.work_class)) +
                   ", pool " + queue.pool + ", open to " + teams + ", " +
                   (queue.idempotent ? "idempotent" : "runs at most once"));
  ExplainPool(services, view, queue.pool, lines);
}

void ExplainTeam(EntryServices* services, const TeamIntent& team,
                 Lines* lines) {
  lines->push_back("team " + team.name + ": share " + Json(team.share).dump() +
                   ", upper limit " + Number(team.limit));
  lines->push_back(services->Ask<FrontDoor, std::string>(
      ComponentKind::kFrontDoor, [&team](FrontDoor* front) {
        const PlaceHolder& places = front->Places();
        return "team " + team.name + ": this entry may run " +
               Number(places.Ceiling(team.name)) + " and runs " +
               Number(places.InUse(team.name));
      }));
  const std::string home = services->Ask<PlaceHome, std::string>(
      ComponentKind::kPlaceHome, [&team](PlaceHome* places) {
        const PlaceLedger* ledger = places->LedgerOf(team.name);
        if (ledger == nullptr) return std::string();
        std::string line = "team " + team.name +
                           ": places have their home here, term " +
                           Number(ledger->Record().term) + ", " +
                           Number(ledger->Outstanding()) + " of " +
                           Number(ledger->Limit()) + " given out";
        for (const std::string& holder : ledger->Unreported()) {
          line += "; " + holder + " has not reported and counts in full";
        }
        return line;
      });
  if (!home.empty()) lines->push_back(home);
}

void ExplainWorker(const ClusterView& view, const std::string& name,
                   Lines* lines) {
  const auto worker = view.workers.find(name);
  if (worker == view.workers.end()) {
    lines->push_back("worker " + name +
                     ": the intent names it, the platform does not list it");
  } else {
    lines->push_back(
        "worker " + name + ": " + worker->second.rack + " in " +
        worker->second.data_centre + ", " + Number(worker->second.slots) +
        " slots" +
        (worker->second.leaving ? "; it is leaving and gets no new work" : ""));
  }
  if (view.draining.contains(name)) {
    lines->push_back("worker " + name +
                     ": holds a place in its pool's budget, drained for "
                     "maintenance or a move");
  }
  if (view.assignments != nullptr && view.assignments->contains(name)) {
    const Assignment& assignment = view.assignments->at(name);
    lines->push_back("worker " + name + ": belongs to pool " + assignment.pool +
                     " now, generation " + Number(assignment.generation));
  }
  for (const auto& pool : view.intent->pools) {
    const std::vector<std::string>& workers = pool.second.workers;
    if (std::find(workers.begin(), workers.end(), name) != workers.end()) {
      lines->push_back("worker " + name + ": the intent wants it in pool " +
                       pool.first);
    }
  }
}

bool IsWorker(const ClusterView& view, const std::string& name) {
  if (view.workers.contains(name)) return true;
  return std::any_of(
      view.intent->pools.begin(), view.intent->pools.end(),
      [&name](const auto& pool) {
        const std::vector<std::string>& ids = pool.second.workers;
        return std::find(ids.begin(), ids.end(), name) != ids.end();
      });
}

}  // namespace

std::vector<std::string> Explain(EntryServices* services,
                                 const std::string& name) {
  const ViewPtr view = services->views.Current();
  Lines lines;
  if (view->listed_entries.contains(name) || view->entries.contains(name)) {
    lines.push_back(
        "entry " + name + ": " +
        (view->entries.contains(name) ? "heard from" : "not heard from") +
        ", " +
        (view->leased.contains(name) ? "holds its lease" : "holds no lease"));
  }
  if (view->intent == nullptr) return lines;
  const auto queue = view->intent->queues.find(name);
  if (queue != view->intent->queues.end()) {
    ExplainQueue(services, *view, queue->second, &lines);
  }
  const auto team = view->intent->teams.find(name);
  if (team != view->intent->teams.end()) {
    ExplainTeam(services, team->second, &lines);
  }
  const bool pool_told =
      queue != view->intent->queues.end() && queue->second.pool == name;
  if (view->intent->pools.contains(name) && !pool_told) {
    ExplainPool(services, *view, name, &lines);
  }
  if (IsWorker(*view, name)) ExplainWorker(*view, name, &lines);
  return lines;
}

}  // namespace basilusher
