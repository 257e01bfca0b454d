// Operators' calls to the entries.
#ifndef BASILUSHER_CLIENT_OPERATORCLIENT_H_
#define BASILUSHER_CLIENT_OPERATORCLIENT_H_

#include <string>
#include <utility>
#include <vector>

#include "basilusher/Support/Clock.h"
#include "basilusher/Support/Json.h"

namespace basilusher {

struct EntryAddress {
  /// IP number.
  std::string address;
  int port = 0;
};

/// Reads "IP:PORT[,IP:PORT...]"; throws Error(kUsage).
std::vector<EntryAddress> ParseEntryAddresses(const std::string& text);

/// An entry's answer to an operator's call.
struct OperatorReply {
  int status = 0;
  Json body;
};

struct OperatorClientOptions {
  std::vector<EntryAddress> entries;
  std::string token;
  Millis timeout{5000};
};

/// Calls the first entry that answers, or all of them. Not thread-safe.
class OperatorClient {
 public:
  explicit OperatorClient(OperatorClientOptions options)
      : options_(std::move(options)) {}

  /// Calls one entry after the other until one answers. Throws
  /// Error(kTransportFailed) if none does. A call that changes something is
  /// not repeated after its bytes were sent.
  OperatorReply Call(const std::string& method, const std::string& path,
                     const std::string& body = "");
  /// The answer of every entry to a GET of `path`, with the entry's address as
  /// "entry"; an entry that does not answer has a "text" that says so.
  std::vector<Json> CallAll(const std::string& path);

 private:
  OperatorClientOptions options_;
};

}  // namespace basilusher

#endif  // BASILUSHER_CLIENT_OPERATORCLIENT_H_
