/// Three acceptors of the register in one program, two of them lost one after the other. The cores
/// have no network, disk or clock: here messages are function calls; a daemon
/// sends them, syncs the records of each outcome, and only then replies.
#include <cstdio>
#include <string>
#include <vector>

#include "consensus/acceptor/acceptor.hpp"
#include "consensus/proposer/proposer.hpp"

namespace {

using namespace finchlink;

struct Group {
  std::vector<consensus::Acceptor> acceptors;
  std::vector<bool> up{true, true, true};

  Group() {
    std::vector<std::string> const bootstrap_members{"a", "b", "c"};
    for (std::size_t index = 0; index < bootstrap_members.size(); ++index) {
      acceptors.emplace_back(100 + index, bootstrap_members[index], bootstrap_members, 0);
    }
  }

  /// Each acceptor asks the two others: first they vote for one set, then they bootstrap it.
  void bootstrap() {
    for (int round = 0; round < 3; ++round) {
      for (std::size_t index = 0; index < acceptors.size(); ++index) {
        std::vector<schema::FoundingAnswer> answers;
        for (std::size_t other = 0; other < acceptors.size(); ++other) {
          if (other != index) {
            answers.push_back(
                std::get<schema::FoundingAnswer>(*acceptors[other].receive(schema::FoundingAsk{}, 0).reply));
          }
        }
        (void)acceptors[index].bootstrap(answers, 0);
      }
    }
  }

  /// Runs one compare-and-set and returns its outcome as text.
  std::string write(std::uint64_t proposer, std::uint64_t expected, std::string const& content) {
    consensus::Proposer change("wishes", proposer, consensus::replace_at(expected, content));
    std::vector<consensus::ProposerAction> actions = change.begin(acceptors.front().set());
    for (std::size_t place = 0; place < actions.size(); ++place) {
      consensus::ProposerAction const action = actions[place];  // a copy: more are added below
      if (consensus::Chosen const* const chosen = std::get_if<consensus::Chosen>(&action)) {
        return "revision " + std::to_string(chosen->value.revision) + ": " + chosen->value.content;
      }
      if (consensus::Rejected const* const rejected = std::get_if<consensus::Rejected>(&action)) {
        return "refused at revision " + std::to_string(rejected->current.revision);
      }
      consensus::Send const* const send = std::get_if<consensus::Send>(&action);
      for (std::size_t index = 0; send != nullptr && index < acceptors.size(); ++index) {
        if (up[index] && acceptors[index].incarnation() == send->to.incarnation) {
          std::vector<consensus::ProposerAction> const more =
              change.receive(send->to.incarnation, *acceptors[index].receive(send->message, 0).reply);
          actions.insert(actions.end(), more.begin(), more.end());
        }
      }
    }
    return "no majority";
  }
};

}  // namespace

int main() {
  Group group;
  group.bootstrap();
  std::printf("%s\n", group.write(1, 0, "pears").c_str());
  group.up[2] = false;
  std::printf("%s\n", group.write(2, 1, "plums").c_str());
  std::printf("%s\n", group.write(3, 1, "quinces").c_str());
  group.up[1] = false;
  std::printf("%s\n", group.write(4, 2, "quinces").c_str());
}
