// Reading of a collected intent document.
#include "basilusher/Model/Intent.h"

#include "basilusher/Model/IntentFiles.h"

namespace basilusher {
namespace {

QueueIntent ParseQueue(const std::string& name, const std::string& pool,
                       const Json& json) {
  QueueIntent queue;
  queue.name = name;
  queue.pool = pool;
  queue.work_class =
      ValueOf(kWorkClassNames, json.at("class").get<std::string>()).value();
  queue.deadline = Millis(json.at("deadlineMillis").get<std::int64_t>());
  queue.open = json.value("open", queue.open);
  queue.teams = json.value("teams", queue.teams);
  queue.idempotent = json.at("idempotent").get<bool>();
  queue.max_body_bytes = json.value("maxBodyBytes", queue.max_body_bytes);
  queue.max_waiting = json.value("maxWaiting", queue.max_waiting);
  return queue;
}

void ParseService(const Json& json, Intent* intent) {
  const std::string pool_name = json.at("pool").get<std::string>();
  PoolIntent pool;
  pool.name = pool_name;
  pool.availability_budget = json.at("availabilityBudget").get<int>();
  pool.workers = json.at("workers").get<std::vector<std::string>>();
  intent->pools[pool_name] = pool;
  for (const auto& row : json.at("queues").items()) {
    intent->queues[row.key()] = ParseQueue(row.key(), pool_name, row.value());
  }
}

MeasureWeights ParseWeights(const Json& json) {
  return {.buffer_cost = json.at("bufferCost").get<double>(),
          .roll_out_time = json.at("rollOutTime").get<double>(),
          .moves = json.at("moves").get<double>(),
          .closeness_to_share = json.at("closenessToShare").get<double>()};
}

}  // namespace

Intent ParseIntent(const Json& document, std::int64_t version) {
  const std::vector<std::string> errors = CheckDocument(document);
  if (!errors.empty()) {
    throw Error(ResultCode::kIntentInvalid, errors.front());
  }
  Intent intent;
  intent.version = version;
  const Json& deployment = document.at("deployment");
  intent.deployment = deployment.at("name").get<std::string>();
  intent.spare_pool = deployment.at("sparePool").get<std::string>();
  intent.claim_retention = Millis(deployment.value(
      "claimRetentionMillis", std::int64_t{intent.claim_retention.count()}));
  intent.weights = ParseWeights(deployment.at("weights"));
  for (const auto& row : document.at("teams").items()) {
    intent.teams[row.key()] = {.name = row.key(),
                               .share = row.value().at("share").get<double>(),
                               .limit = row.value().at("limit").get<int>()};
  }
  for (const auto& row : document.at("services").items()) {
    ParseService(row.value(), &intent);
  }
  return intent;
}

}  // namespace basilusher
