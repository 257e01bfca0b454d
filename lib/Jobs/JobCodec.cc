// Stored form of jobs and their progress: CBOR objects with short keys.
#include "basilusher/Jobs/JobTable.h"
#include "basilusher/Support/Json.h"

namespace basilusher {
namespace {

Json EncodeStep(const StepSpec& step) {
  Json out = {{"n", step.count}};
  const auto put = [&out](const char* name, std::int64_t value) {
    if (value != 0) out[name] = value;
  };
  put("c", step.need.cpu_millis);
  put("m", step.need.memory_mb);
  put("g", step.need.accelerators);
  put("e", step.estimate_ms);
  put("k", step.checkpointable ? 1 : 0);
  put("ga", step.gang ? 1 : 0);
  put("sr", step.same_rack ? 1 : 0);
  put("sp", step.speculative ? 1 : 0);
  put("la", step.lasting ? 1 : 0);
  put("fi", step.filler ? 1 : 0);
  put("mp", step.max_per_worker);
  put("t", step.target_ms);
  if (step.max_unavailable) out["mu"] = *step.max_unavailable;
  if (!step.after.empty()) out["a"] = step.after;
  if (!step.required_label.empty()) out["rl"] = step.required_label;
  if (!step.preferred_rack.empty()) out["pr"] = step.preferred_rack;
  if (!step.image.empty()) out["i"] = step.image;
  return out;
}

StepSpec DecodeStep(const Json& in) {
  StepSpec step;
  step.count = in.at("n").get<int>();
  step.need = {.cpu_millis = in.value("c", std::int64_t{0}),
               .memory_mb = in.value("m", std::int64_t{0}),
               .accelerators = in.value("g", std::int64_t{0})};
  step.estimate_ms = in.value("e", std::int64_t{0});
  step.checkpointable = in.value("k", 0) != 0;
  step.gang = in.value("ga", 0) != 0;
  step.same_rack = in.value("sr", 0) != 0;
  step.speculative = in.value("sp", 0) != 0;
  step.lasting = in.value("la", 0) != 0;
  step.filler = in.value("fi", 0) != 0;
  step.max_per_worker = in.value("mp", 0);
  step.target_ms = in.value("t", std::int64_t{0});
  if (in.contains("mu")) step.max_unavailable = in.at("mu").get<int>();
  step.after = in.value("a", std::vector<int>{});
  step.required_label = in.value("rl", std::string());
  step.preferred_rack = in.value("pr", std::string());
  step.image = in.value("i", std::string());
  return step;
}

std::string ToBytes(const Json& document) {
  std::string out;
  Json::to_cbor(document, out);
  return out;
}

/// Decodes CBOR `bytes`; throws Error(kStoreConflict) if they are malformed.
template <typename Decode>
auto DecodeOrThrow(const std::string& bytes, Decode decode) {
  try {
    return decode(DecodeCbor(bytes));
  } catch (const std::exception& error) {
    throw Error(ResultCode::kStoreConflict,
                std::string("stored job record is malformed: ") + error.what());
  }
}

Json EncodeUnconfirmed(const CrashEvidence& crashes) {
  Json rows = Json::array();
  for (const auto& [run, row] : crashes.unconfirmed) {
    rows.push_back({run, row.worker, row.born_unix_ms, row.in_startup ? 1 : 0});
  }
  return rows;
}

std::map<std::int64_t, UnconfirmedRun> DecodeUnconfirmed(const Json& rows) {
  std::map<std::int64_t, UnconfirmedRun> unconfirmed;
  for (const Json& row : rows) {
    unconfirmed[row.at(0).get<std::int64_t>()] = {
        .worker = row.at(1).get<std::string>(),
        .born_unix_ms = row.size() > 2 ? row.at(2).get<std::int64_t>() : 0,
        .in_startup = row.size() <= 3 || row.at(3).get<int>() != 0};
  }
  return unconfirmed;
}

Json EncodeOccurrence(const OccurrenceRecord& occurrence) {
  Json done = Json::array();
  Json rows = Json::array();
  for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
    const StepRecord& step = occurrence.steps[s];
    std::vector<std::uint8_t> bits((step.tasks.size() + 7) / 8);
    for (std::size_t i = 0; i < step.tasks.size(); ++i) {
      const TaskRecord& task = step.tasks[i];
      if (task.state == TaskState::kDone) {
        bits[i / 8] |= static_cast<std::uint8_t>(1U << (i % 8));
        continue;
      }
      const CrashEvidence& crashes = task.crashes;
      if (task.failures == 0 && task.checkpoint.empty() && crashes.Empty()) {
        continue;
      }
      Json row = {s, i, task.failures, task.failed_runs, task.checkpoint};
      if (!crashes.Empty()) {
        row.push_back({crashes.runs, crashes.in_startup,
                       crashes.alone_in_startup, EncodeUnconfirmed(crashes),
                       crashes.startup_workers, crashes.unconfirmed_starts,
                       crashes.explained_by_others, crashes.seen,
                       crashes.last_unix_ms});
      }
      rows.push_back(std::move(row));
    }
    done.push_back(Json::binary(std::move(bits)));
  }
  return {{"d", std::move(done)}, {"r", std::move(rows)}};
}

void DecodeOccurrence(const Json& in, OccurrenceRecord* occurrence) {
  const Json& done = in.at("d");
  for (std::size_t s = 0; s < occurrence->steps.size() && s < done.size();
       ++s) {
    StepRecord& step = occurrence->steps[s];
    const Json::binary_t& bits = done[s].get_binary();
    for (std::size_t i = 0; i < step.tasks.size(); ++i) {
      if (i / 8 >= bits.size() || ((bits[i / 8] >> (i % 8)) & 1U) == 0) {
        continue;
      }
      step.tasks[i].state = TaskState::kDone;
      ++step.done;
    }
    if (step.done == static_cast<int>(step.tasks.size())) {
      ++occurrence->steps_done;
    }
  }
  for (const Json& row : in.at("r")) {
    TaskRecord& task = occurrence->steps.at(row.at(0).get<std::size_t>())
                           .tasks.at(row.at(1).get<std::size_t>());
    task.failures = row.at(2).get<int>();
    task.failed_runs = row.at(3).get<std::vector<std::int64_t>>();
    task.checkpoint = row.at(4).get<std::string>();
    if (row.size() <= 5) continue;
    const Json& crashes = row.at(5);
    task.crashes = {
        .runs = crashes.at(0).get<std::vector<std::int64_t>>(),
        .in_startup = crashes.at(1).get<int>(),
        .startup_workers = crashes.size() > 4
                               ? crashes.at(4).get<std::vector<std::string>>()
                               : std::vector<std::string>(),
        .alone_in_startup = crashes.at(2).get<int>(),
        .unconfirmed_starts = crashes.size() > 5 ? crashes.at(5).get<int>() : 0,
        .explained_by_others =
            crashes.size() > 6 ? crashes.at(6).get<int>() : 0,
        .seen = crashes.size() > 7 ? crashes.at(7).get<int>() : 0,
        .last_unix_ms =
            crashes.size() > 8 ? crashes.at(8).get<std::int64_t>() : 0,
        .unconfirmed = DecodeUnconfirmed(crashes.at(3))};
  }
}

Json EncodeRunWorkers(const JobRecord& job) {
  Json rows = Json::array();
  for (const auto& [number, occurrence] : job.occurrences) {
    for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
      const std::vector<TaskRecord>& tasks = occurrence.steps[s].tasks;
      for (std::size_t i = 0; i < tasks.size(); ++i) {
        if (tasks[i].run_workers.empty()) continue;
        rows.push_back({number, s, i, tasks[i].run_workers});
      }
    }
  }
  return {job.placements_term, std::move(rows)};
}

void DecodeRunWorkers(const Json& in, JobRecord* job) {
  for (const Json& row : in.at(1)) {
    TaskRecord& task = job->occurrences.at(row.at(0).get<int>())
                           .steps.at(row.at(1).get<std::size_t>())
                           .tasks.at(row.at(2).get<std::size_t>());
    task.run_workers = row.at(3).get<std::set<std::string>>();
  }
  job->placements_term = in.at(0).get<std::int64_t>();
}

}  // namespace

std::string EncodeJobSpec(const JobSpec& spec) {
  Json steps = Json::array();
  for (const StepSpec& step : spec.steps) steps.push_back(EncodeStep(step));
  Json out = {{"q", spec.queue},
              {"w", spec.workspace},
              {"p", spec.payload},
              {"s", std::move(steps)},
              {"u", spec.accepted_unix_ms}};
  if (spec.offered_term > 0) out["t"] = spec.offered_term;
  if (spec.times > 0) {
    out["x"] = {spec.times, spec.start_at_unix_ms, spec.interval_ms};
  }
  return ToBytes(out);
}

JobSpec DecodeJobSpec(const std::string& bytes) {
  return DecodeOrThrow(bytes, [](const Json& in) {
    JobSpec spec;
    spec.queue = in.at("q").get<std::string>();
    spec.workspace = in.at("w").get<std::string>();
    spec.payload = in.at("p").get<std::string>();
    spec.accepted_unix_ms = in.at("u").get<std::int64_t>();
    spec.offered_term = in.value("t", std::int64_t{0});
    for (const Json& step : in.at("s")) spec.steps.push_back(DecodeStep(step));
    if (in.contains("x")) {
      spec.times = in.at("x").at(0).get<int>();
      spec.start_at_unix_ms = in.at("x").at(1).get<std::int64_t>();
      spec.interval_ms = in.at("x").at(2).get<std::int64_t>();
    }
    const std::string problem = ValidateJob(spec);
    if (!problem.empty()) throw Error(ResultCode::kStoreConflict, problem);
    return spec;
  });
}

std::string EncodeProgress(const JobRecord& job) {
  Json open = Json::array();
  for (const auto& [number, occurrence] : job.occurrences) {
    open.push_back({number, EncodeOccurrence(occurrence)});
  }
  Json out = {{"n", job.next_occurrence},
              {"f", job.occurrences_done},
              {"o", std::move(open)}};
  if (job.placements_term > 0 && HasLastingStep(job.spec)) {
    out["w"] = EncodeRunWorkers(job);
  }
  return ToBytes(out);
}

void DecodeProgress(const std::string& bytes, JobRecord* job) {
  DecodeOrThrow(bytes, [job](const Json& in) {
    const int next = in.at("n").get<int>();
    job->occurrences.clear();
    job->next_occurrence = next;
    job->occurrences_done = in.at("f").get<int>();
    for (const Json& row : in.at("o")) {
      OccurrenceRecord occurrence;
      occurrence.steps.resize(job->spec.steps.size());
      for (std::size_t i = 0; i < job->spec.steps.size(); ++i) {
        occurrence.steps[i].tasks.resize(
            static_cast<std::size_t>(job->spec.steps[i].count));
      }
      DecodeOccurrence(row.at(1), &occurrence);
      job->occurrences.emplace(row.at(0).get<int>(), std::move(occurrence));
    }
    job->placements_term = 0;
    if (in.contains("w")) DecodeRunWorkers(in.at("w"), job);
    return 0;
  });
}

}  // namespace basilusher
