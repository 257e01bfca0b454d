// JSON schemas of the operators' files.
#ifndef BASILUSHER_LIB_MODEL_INTENTSCHEMA_H_
#define BASILUSHER_LIB_MODEL_INTENTSCHEMA_H_

namespace basilusher {

inline constexpr char kDeploymentSchema[] = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["name", "sparePool", "weights"],
  "properties": {
    "name": {"type": "string", "minLength": 1},
    "sparePool": {"type": "string", "minLength": 1},
    "claimRetentionMillis": {"type": "integer", "minimum": 7200000},
    "weights": {
      "type": "object",
      "additionalProperties": false,
      "required": ["bufferCost", "rollOutTime", "moves", "closenessToShare"],
      "properties": {
        "bufferCost": {"type": "number", "minimum": 0},
        "rollOutTime": {"type": "number", "minimum": 0},
        "moves": {"type": "number", "minimum": 0},
        "closenessToShare": {"type": "number", "minimum": 0}
      }
    }
  }
})json";

inline constexpr char kTeamsSchema[] = R"json({
  "type": "object",
  "minProperties": 1,
  "additionalProperties": {
    "type": "object",
    "additionalProperties": false,
    "required": ["share", "limit"],
    "properties": {
      "share": {"type": "number", "exclusiveMinimum": 0},
      "limit": {"type": "integer", "minimum": 0}
    }
  }
})json";

inline constexpr char kServiceSchema[] = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["service", "pool", "availabilityBudget", "workers", "queues"],
  "properties": {
    "service": {"type": "string", "minLength": 1},
    "pool": {"type": "string", "minLength": 1},
    "availabilityBudget": {"type": "integer", "minimum": 1},
    "workers": {
      "type": "array", "uniqueItems": true,
      "items": {"type": "string", "minLength": 1}
    },
    "queues": {
      "type": "object",
      "additionalProperties": {
        "type": "object",
        "additionalProperties": false,
        "required": ["class", "deadlineMillis", "idempotent"],
        "properties": {
          "class": {"enum": ["urgent", "standard", "background"]},
          "deadlineMillis": {"type": "integer", "minimum": 1},
          "open": {"type": "boolean"},
          "teams": {"type": "array", "items": {"type": "string"}},
          "idempotent": {"type": "boolean"},
          "maxBodyBytes": {"type": "integer", "minimum": 1},
          "maxWaiting": {"type": "integer", "minimum": 0}
        }
      }
    }
  }
})json";

}  // namespace basilusher

#endif  // BASILUSHER_LIB_MODEL_INTENTSCHEMA_H_
