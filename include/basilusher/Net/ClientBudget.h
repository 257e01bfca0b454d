// Bound on the memory that the clients of a process's servers may hold.
#ifndef BASILUSHER_NET_CLIENTBUDGET_H_
#define BASILUSHER_NET_CLIENTBUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <set>

#include "basilusher/Support/Clock.h"
#include "basilusher/Support/Counters.h"
#include "basilusher/Support/EnumTable.h"

namespace basilusher {

/// Why a request was rejected or a connection closed.
enum class ClientLimit {
  /// The head is too large or has too many fields.
  kHead,
  kBody,
  /// Chunk extensions and trailers are too large.
  kFraming,
  /// The request was not received whole in time.
  kRequestTime,
  /// The response was not read in time.
  kResponseTime,
  /// The budget is spent: a body was rejected.
  kMemory,
  /// The budget is spent: the connection that held most for longest was closed.
  kHeldMost,
  /// A connection was closed in favour of a new one, or not accepted.
  kConnections,
};

inline constexpr EnumTable<ClientLimit, 8> kClientLimitNames = {{
    {ClientLimit::kHead, "head"},
    {ClientLimit::kBody, "body"},
    {ClientLimit::kFraming, "framing"},
    {ClientLimit::kRequestTime, "request-time"},
    {ClientLimit::kResponseTime, "response-time"},
    {ClientLimit::kMemory, "memory"},
    {ClientLimit::kHeldMost, "held-most"},
    {ClientLimit::kConnections, "connections"},
}};

struct ClientBudgetOptions {
  std::size_t max_bytes = std::size_t{64} * 1024 * 1024;
  /// Part of `max_bytes` that large bodies may not use.
  std::size_t reserved_bytes = std::size_t{16} * 1024 * 1024;
};

/// Bytes that clients have sent and that are not answered yet, and responses
/// that they have not read, of all servers of a process. Not thread-safe: I/O
/// thread only.
class ClientBudget {
 public:
  /// What bytes are held for.
  enum class Use {
    /// Heads, small bodies and small responses: the whole budget, at the
    /// expense of others.
    kSmall,
    /// Bodies that are not small: the budget without its reserved part.
    kBody,
    /// Large responses: the whole budget, at the expense of others, once these
    /// have given theirs back.
    kResponse,
  };

  /// One connection's share of the budget.
  class Holder {
   public:
    Holder() = default;
    virtual ~Holder() = default;
    Holder(const Holder&) = delete;
    Holder& operator=(const Holder&) = delete;

    /// Closes the connection if it waits for its client; false if a handler
    /// works on its request.
    virtual bool CloseForBudget() = 0;

    std::size_t HeldBytes() const { return held_bytes_; }

   private:
    friend class ClientBudget;
    std::size_t held_bytes_ = 0;
    /// Closed for others; its bytes are held until it ends.
    bool closing_ = false;
    TimePoint held_since_{};
  };

  /// `clock` and `counters` (may be null) must outlive every call.
  ClientBudget(ClientBudgetOptions options, const Clock* clock,
               Counters* counters);

  /// Sets what `holder` holds to `bytes`. Returns false, and changes nothing,
  /// if that is beyond the budget and closing others' connections does not
  /// help.
  bool Hold(Holder* holder, std::size_t bytes, Use use);
  /// Ends what `holder` holds.
  void Release(Holder* holder);
  /// Counts and logs one rejection, at most one line a second.
  void NoteLimit(ClientLimit reason);

  std::size_t HeldBytes() const { return held_bytes_; }
  std::size_t MaxBytes() const { return options_.max_bytes; }

 private:
  bool MakeRoom(const Holder* holder, std::size_t bytes, Use use);
  /// Closes the connection, other than `spared`, whose bytes times their age
  /// are the largest. False if there is none.
  bool CloseHeaviest(const Holder* spared);

  ClientBudgetOptions options_;
  const Clock* clock_;
  Counters* counters_;
  std::set<Holder*> holders_;
  std::size_t held_bytes_ = 0;
  /// Part of them that connections hold that were closed for others.
  std::size_t closing_bytes_ = 0;
  std::array<std::int64_t, kClientLimitNames.size()> unlogged_{};
  TimePoint next_log_at_{};
};

}  // namespace basilusher

#endif  // BASILUSHER_NET_CLIENTBUDGET_H_
