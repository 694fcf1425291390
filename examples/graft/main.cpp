/// Three holders of the register inside one program, one of them lost. The cores
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
  std::vector<consensus::Acceptor> holders;
  std::vector<bool> up{true, true, true};

  Group() {
    std::vector<std::string> const founders{"a", "b", "c"};
    for (std::size_t index = 0; index < founders.size(); ++index) {
      holders.emplace_back(100 + index, founders[index], founders, 0);
    }
  }

  /// Each looks at the two others: first they pledge one set, then they found.
  void found() {
    for (int look = 0; look < 3; ++look) {
      for (std::size_t index = 0; index < holders.size(); ++index) {
        std::vector<schema::FoundingAnswer> answers;
        for (std::size_t other = 0; other < holders.size(); ++other) {
          if (other != index) {
            answers.push_back(
                std::get<schema::FoundingAnswer>(*holders[other].receive(schema::FoundingAsk{}, 0).reply));
          }
        }
        (void)holders[index].bootstrap(answers, 0);
      }
    }
  }

  /// One compare-and-set; what became of it in words.
  std::string write(std::uint64_t proposer, std::uint64_t expected, std::string const& content) {
    consensus::Proposer change("wishes", proposer, consensus::replace_at(expected, content));
    std::vector<consensus::ProposerAction> actions = change.begin(holders.front().set());
    for (std::size_t place = 0; place < actions.size(); ++place) {
      consensus::ProposerAction const action = actions[place];  // a copy: more are added below
      if (consensus::Chosen const* const chosen = std::get_if<consensus::Chosen>(&action)) {
        return "revision " + std::to_string(chosen->value.revision) + ": " + chosen->value.content;
      }
      if (consensus::Rejected const* const rejected = std::get_if<consensus::Rejected>(&action)) {
        return "refused at revision " + std::to_string(rejected->current.revision);
      }
      consensus::Send const* const send = std::get_if<consensus::Send>(&action);
      for (std::size_t index = 0; send != nullptr && index < holders.size(); ++index) {
        if (up[index] && holders[index].incarnation() == send->to.incarnation) {
          std::vector<consensus::ProposerAction> const more =
              change.receive(send->to.incarnation, *holders[index].receive(send->message, 0).reply);
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
  group.found();
  std::printf("%s\n", group.write(1, 0, "pears").c_str());
  group.up[2] = false;
  std::printf("%s\n", group.write(2, 1, "plums").c_str());
  std::printf("%s\n", group.write(3, 1, "quinces").c_str());
  group.up[1] = false;
  std::printf("%s\n", group.write(4, 2, "quinces").c_str());
}
