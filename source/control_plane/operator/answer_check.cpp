#include "control_plane/operator/answer_check.hpp"

#include "common/constants.hpp"
#include "common/digest/digest.hpp"
#include "common/invariant/invariant.hpp"
#include "config/routing/proposal.hpp"

namespace finchlink::control_plane {

using common::Invariant;

RevisionFloor AnswerCheck::begin(std::string const& name, common::Moment arrival) {
  std::lock_guard<std::mutex> const guard(lock_);
  return RevisionFloor{arrival, last_answers_[name].revision};
}

void AnswerCheck::answered(std::string const& name, RevisionFloor const& floor, schema::Value const& value,
                           common::Moment confirmed_from) {
  common::check(Invariant::read_after_request, confirmed_from >= floor.arrival, [&] {
    return name + " is answered by a read that began " + std::to_string(floor.arrival - confirmed_from) +
           " us before the request";
  });
  common::check(Invariant::answer_not_older, value.revision >= floor.revision, [&] {
    return name + " revision " + std::to_string(value.revision) + " is answered after revision " +
           std::to_string(floor.revision);
  });
  std::lock_guard<std::mutex> const guard(lock_);
  record_answer(name, value);
}

void AnswerCheck::record_answer(std::string const& name, schema::Value const& value) {
  LastAnswer& last = last_answers_[name];
  bool const routing_config = name == config::routing_config_register;
  std::uint64_t const number = routing_config ? config::number_of(value) : value.revision;
  bool const rises = value.revision == last.revision || (value.revision > last.revision) == (number > last.number);
  bool const same = value.revision != last.revision || number == last.number;
  common::check(Invariant::charter_number_rises, !routing_config || (rises && same), [&] {
    return "revision " + std::to_string(value.revision) + " has number " + std::to_string(number) + ", revision " +
           std::to_string(last.revision) + " had " + std::to_string(last.number);
  });
  if (value.revision > last.revision) {
    last.revision = value.revision;
    last.number = number;
  }
}

void AnswerCheck::acknowledged(std::string const& name, schema::Value const& chosen, std::string const& valid_digest) {
  common::check(Invariant::acknowledged_as_validated, common::Digest().add(chosen.content).text() == valid_digest, [&] {
    return name + " revision " + std::to_string(chosen.revision) + " is not the content that was found valid";
  });
  acknowledged(name, chosen);
}

void AnswerCheck::acknowledged(std::string const& name, schema::Value const& chosen) {
  std::lock_guard<std::mutex> const guard(lock_);
  record_answer(name, chosen);
}

void AnswerCheck::acknowledged_on(std::string const& name, std::uint64_t base, std::string const& change) {
  std::lock_guard<std::mutex> const guard(lock_);
  std::map<std::uint64_t, std::string>& change_by_base = last_answers_[name].change_by_base;
  std::string const& first = change_by_base.emplace(base, change).first->second;
  common::check(Invariant::base_taken_once, first == change, [&] {
    return name + ": changes " + first + " and " + change + " of version " + std::to_string(base) +
           " were both acknowledged";
  });
  if (change_by_base.size() > common::constants::marks_kept) {
    change_by_base.erase(change_by_base.begin());
  }
}

}  // namespace finchlink::control_plane
