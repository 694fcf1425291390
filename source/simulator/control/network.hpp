#pragma once

/// The simulated network and clocks of the control plane.

#include <cstddef>
#include <functional>
#include <set>
#include <string>
#include <utility>

#include "simulator/control/control.hpp"
#include "simulator/control/nodes.hpp"
#include "simulator/kernel/kernel.hpp"

namespace finchlink::simulator::control {

/// Local clocks of processes, events at processes, and calls between them: messages
/// are delayed, delivered twice, or lost where a link is cut (section 10).
class Network {
 public:
  /// Finds the machine that listens at an address; null if there is none.
  using FindMachine = std::function<Machine*(std::string const& address)>;
  /// Handles a message that reached a machine.
  using Serve = std::function<void(Machine& machine, schema::Message const& message, Reply const& reply)>;

  Network(Kernel& kernel, ControlFaults const& faults, FindMachine find_machine, Serve serve);

  /// The time by the process's own clock.
  [[nodiscard]] common::Moment local_time(Process const& process) const;
  /// Runs an event of the process after a span of true time, if it is still in the same life then.
  void later(Process& process, common::Span span, std::function<void()> event);
  /// Runs an event now if the process is still in that life; deferred while the process is frozen.
  void deliver(Process& process, std::uint64_t life, std::function<void()> const& event);
  /// Ends a freeze and runs the deferred events.
  void thaw(Process& process);

  /// Sends a message and calls back once: with the answer, or with nullopt at the deadline.
  void call(Process& from, std::string const& from_name, std::string const& to, schema::Message const& message,
            common::Span deadline, Reply const& done);

  /// Cuts one direction of a link.
  void cut(std::pair<std::string, std::string> const& link);
  /// Ends the cut of one direction of a link.
  void mend(std::pair<std::string, std::string> const& link);
  /// Partitions the processes into these and the others; an empty set ends the partition.
  void split(std::set<std::string> group);
  /// Ends all cuts and the partition.
  void heal();

 private:
  [[nodiscard]] bool blocked(std::string const& from, std::string const& to) const;
  /// Draws the delay of a message.
  [[nodiscard]] common::Span delay();
  void send(std::string const& from, std::string const& to, schema::Message const& message, Reply const& finish);
  void arrive(std::string const& from, std::string const& to, schema::Message const& message, Reply const& finish);
  void send_back(std::string const& from, std::string const& to, schema::Message const& answer, Reply const& finish);

  Kernel& kernel_;
  ControlFaults const faults_;
  FindMachine find_machine_;
  Serve serve_;
  std::set<std::pair<std::string, std::string>> cuts_;
  std::set<std::string> split_;
};

}  // namespace finchlink::simulator::control
