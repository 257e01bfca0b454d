// Collection and checks of the operators' files.
#include "basilusher/Model/IntentFiles.h"

#include <algorithm>
#include <filesystem>
#include <map>
#include <set>

#include "IntentSchema.h"

namespace basilusher {
namespace {

namespace fs = std::filesystem;

void CheckPart(const std::string& source, const Json& part,
               std::string_view schema, std::vector<std::string>* errors) {
  for (const SchemaViolation& violation : CheckSchema(part, schema)) {
    errors->push_back(DescribeViolation(source, violation));
  }
}

/// Reads one file into `document[key]`, or reports why it can't.
void CollectFile(const fs::path& path, const std::string& key, Json* document,
                 std::vector<std::string>* errors) {
  try {
    (*document)[key] = ParseJson(ReadFile(path.string()), path.string(),
                                 ResultCode::kIntentInvalid);
  } catch (const Error& error) {
    errors->push_back(error.what());
  }
}

std::vector<fs::path> FindServiceFiles(const std::string& directory) {
  std::vector<fs::path> paths;
  for (const fs::directory_entry& entry :
       fs::recursive_directory_iterator(directory)) {
    if (entry.path().filename() == "service.json") {
      paths.push_back(entry.path());
    }
  }
  std::sort(paths.begin(), paths.end());
  return paths;
}

/// Adds the parsed service in `holder["service"]` under its own name.
void AddService(const fs::path& path, const Json& holder,
                CollectedIntent* collected) {
  if (!holder.contains("service")) return;
  const Json& service = holder.at("service");
  const std::size_t before = collected->errors.size();
  CheckPart(path.string(), service, kServiceSchema, &collected->errors);
  if (collected->errors.size() != before) return;
  const std::string name = service.at("service").get<std::string>();
  Json& services = collected->document["services"];
  if (services.contains(name)) {
    collected->errors.push_back(path.string() + ": field /service: found \"" +
                                name +
                                "\"; expected: a name no other file uses");
    return;
  }
  services[name] = service;
}

/// Reports names that two services claim: pools, queues and workers.
class UniqueNames {
 public:
  UniqueNames(std::string kind, std::vector<std::string>* errors)
      : kind_(std::move(kind)), errors_(errors) {}

  void Claim(const std::string& name, const std::string& service) {
    const auto [it, fresh] = owners_.emplace(name, service);
    if (fresh) return;
    errors_->push_back("service " + service + ": " + kind_ + " \"" + name +
                       "\" already belongs to service " + it->second +
                       "; expected: one service for each " + kind_);
  }

  bool Has(const std::string& name) const { return owners_.contains(name); }

 private:
  std::string kind_;
  std::vector<std::string>* errors_;
  std::map<std::string, std::string> owners_;
};

void CheckQueueTeams(const std::string& name, const Json& queue,
                     const Json& teams, std::vector<std::string>* errors) {
  const bool open = queue.value("open", false);
  const std::vector<std::string> allowed =
      queue.value("teams", std::vector<std::string>());
  if (!open && allowed.empty()) {
    errors->push_back("queue " + name +
                      ": field /teams: found nothing; expected: at least one "
                      "team, or \"open\": true");
  }
  for (const std::string& team : allowed) {
    if (teams.contains(team)) continue;
    errors->push_back("queue " + name + ": field /teams: found \"" + team +
                      "\"; expected: a team of teams.json");
  }
}

void CheckAcrossServices(const Json& document,
                         std::vector<std::string>* errors) {
  UniqueNames pools("pool", errors);
  UniqueNames queues("queue", errors);
  UniqueNames workers("worker", errors);
  for (const auto& row : document.at("services").items()) {
    const Json& service = row.value();
    pools.Claim(service.at("pool").get<std::string>(), row.key());
    for (const Json& worker : service.at("workers")) {
      workers.Claim(worker.get<std::string>(), row.key());
    }
    for (const auto& queue : service.at("queues").items()) {
      queues.Claim(queue.key(), row.key());
      CheckQueueTeams(queue.key(), queue.value(), document.at("teams"), errors);
    }
  }
  const std::string spare = document.at("deployment").at("sparePool");
  if (!pools.Has(spare)) {
    errors->push_back("deployment: field /sparePool: found \"" + spare +
                      "\"; expected: the pool of a service");
  }
}

}  // namespace

std::vector<std::string> CheckDocument(const Json& document) {
  std::vector<std::string> errors;
  for (const char* part : {"deployment", "teams", "services"}) {
    if (document.is_object() && document.contains(part)) continue;
    errors.push_back(std::string("intent: field /") + part +
                     ": found nothing; expected: an object");
  }
  if (!errors.empty()) return errors;
  CheckPart("deployment", document.at("deployment"), kDeploymentSchema,
            &errors);
  CheckPart("teams", document.at("teams"), kTeamsSchema, &errors);
  if (!document.at("services").is_object()) {
    errors.push_back("intent: field /services: expected: an object");
    return errors;
  }
  for (const auto& row : document.at("services").items()) {
    CheckPart("service " + row.key(), row.value(), kServiceSchema, &errors);
  }
  if (errors.empty()) CheckAcrossServices(document, &errors);
  return errors;
}

CollectedIntent CollectIntent(const std::string& directory) {
  CollectedIntent collected;
  if (!fs::is_directory(directory)) {
    collected.errors.push_back(directory +
                               ": not a directory; give the directory that "
                               "holds deployment.json and teams.json");
    return collected;
  }
  collected.document["services"] = Json::object();
  const fs::path root(directory);
  CollectFile(root / "deployment.json", "deployment", &collected.document,
              &collected.errors);
  CollectFile(root / "teams.json", "teams", &collected.document,
              &collected.errors);
  for (const fs::path& path : FindServiceFiles(directory)) {
    Json holder;
    CollectFile(path, "service", &holder, &collected.errors);
    AddService(path, holder, &collected);
  }
  if (!collected.document.contains("deployment") ||
      !collected.document.contains("teams")) {
    return collected;
  }
  const std::vector<std::string> errors = CheckDocument(collected.document);
  collected.errors.insert(collected.errors.end(), errors.begin(), errors.end());
  return collected;
}

std::vector<std::string> DescribeDifference(const Json& before,
                                            const Json& after) {
  std::vector<std::string> lines;
  for (const Json& step : Json::diff(before, after)) {
    std::string line = step.at("op").get<std::string>() + " " +
                       step.at("path").get<std::string>();
    if (step.contains("value")) line += " = " + step.at("value").dump();
    lines.push_back(line);
  }
  return lines;
}

}  // namespace basilusher
