// Settings of the entry daemon, read from a JSON file.
#ifndef BASILUSHER_DAEMON_SETTINGS_H_
#define BASILUSHER_DAEMON_SETTINGS_H_

#include <cstddef>
#include <string>
#include <vector>

#include "basilusher/Support/Clock.h"
#include "basilusher/Support/Json.h"
#include "basilusher/Transport/PeerTransport.h"

namespace basilusher {

struct Settings {
  std::string instance;
  std::string data_centre;
  /// IP number for callers, operators and peers.
  std::string address;
  int http_port = 0;
  int peer_port = 0;
  std::string store_address;
  int store_port = 0;
  double store_calls_per_second = 120;
  /// Hash of the operators' token, as printed by `basilusherctl hash`.
  std::string operator_token_hash;
  /// Threads that serve callers; each waits with one request.
  int http_threads = 96;
  /// Memory of the machine that the process may use; a part of it is for the
  /// bodies of requests.
  std::size_t memory_mb = 256;
  /// Longest time of a graceful shutdown.
  Millis shutdown_timeout{60000};
  /// File of the log; empty for standard error.
  std::string log_file;
  /// Peers to try before the platform has listed any.
  std::vector<PeerAddress> seed_peers;
};

/// JSON schema of the settings file.
extern const char* const kSettingsSchema;

/// Reads and checks `path`. Throws Error(kSettingsUnreadable),
/// Error(kSettingsMalformed) or Error(kSettingsInvalid); the text has a line
/// for each bad field. Thread-safe.
Settings LoadSettings(const std::string& path);

/// Reads settings from an already parsed document; `source` names it in
/// errors. Throws Error(kSettingsInvalid). Thread-safe.
Settings ParseSettings(const Json& json, const std::string& source);

}  // namespace basilusher

#endif  // BASILUSHER_DAEMON_SETTINGS_H_
