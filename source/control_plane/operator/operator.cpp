#include "control_plane/operator/operator.hpp"

#include <charconv>

#include "common/constants.hpp"
#include "common/invariant/invariant.hpp"
#include "common/json/tree.hpp"
#include "common/log/log.hpp"
#include "common/random/random.hpp"
#include "config/label/selector.hpp"
#include "config/setup/setup.hpp"
#include "control_plane/operator/late_answer.hpp"

namespace finchlink::control_plane {

namespace constants = common::constants;
namespace http = common::http;

namespace {
common::Answer faults_answer(std::vector<common::Fault> const& faults) {
  common::Tree object(cJSON_CreateObject());
  cJSON_AddStringToObject(object.get(), "error", "invalid");
  cJSON_AddStringToObject(object.get(), "outcome", "rejected");
  cJSON* list = cJSON_AddArrayToObject(object.get(), "faults");
  for (common::Fault const& fault : faults) {
    cJSON* entry = cJSON_CreateObject();
    cJSON_AddStringToObject(entry, "path", fault.path.c_str());
    cJSON_AddStringToObject(entry, "reason", fault.reason.c_str());
    cJSON_AddItemToArray(list, entry);
  }
  return common::answer_text(http::status::unprocessable_entity, common::print_tree(object.get()));
}

common::Answer outcome_answer(http::status status, std::string const& outcome, std::string const& id,
                              std::uint64_t revision, std::string const& message = "") {
  common::Tree object(cJSON_CreateObject());
  cJSON_AddStringToObject(object.get(), "outcome", outcome.c_str());
  cJSON_AddStringToObject(object.get(), "id", id.c_str());
  if (revision > 0 || outcome == "rejected") {
    cJSON_AddNumberToObject(object.get(), "revision", static_cast<double>(revision));
  }
  if (!message.empty()) {
    cJSON_AddStringToObject(object.get(), "message", message.c_str());
  }
  common::Answer answer = common::answer_text(status, common::print_tree(object.get()));
  answer.set("Change-Id", id);
  if (revision > 0) {
    answer.set(http::field::etag, "\"" + std::to_string(revision) + "\"");
  }
  if (outcome == "unknown") {
    answer.set(http::field::location, "/changes/" + id);
    answer.set(http::field::retry_after, std::to_string(constants::retry_after_seconds));
  }
  return answer;
}

bool good_id(std::string const& id) {
  if (id.empty() || id.size() > 64) {
    return false;
  }
  for (char const letter : id) {
    bool const good = (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') ||
                      (letter >= '0' && letter <= '9') || letter == '-' || letter == '_' || letter == '.';
    if (!good) {
      return false;
    }
  }
  return true;
}

/// If-Match: "7", 7 or *; nothing when it can't be read.
std::optional<std::uint64_t> tag_revision(std::string text) {
  if (text.size() >= 2 && text.front() == '"' && text.back() == '"') {
    text = text.substr(1, text.size() - 2);
  }
  std::uint64_t revision = 0;
  std::from_chars_result const parsed = std::from_chars(text.data(), text.data() + text.size(), revision);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return revision;
}

template <class Entry>
std::string print_list(std::vector<Entry> const& entries) {
  common::Tree list(cJSON_CreateArray());
  for (Entry const& entry : entries) {
    cJSON_AddItemToArray(list.get(), schema::write(entry));
  }
  return common::print_tree(list.get(), true);
}
}  // namespace

namespace {
/// The hall that a path of evacuations names.
std::optional<std::string> hall_in(OperatorPaths const& paths, std::string const& target) {
  if (target.rfind(paths.hall, 0) != 0 || !target.ends_with(paths.evacuation) ||
      target.size() <= paths.hall.size() + paths.evacuation.size()) {
    return std::nullopt;
  }
  std::string const hall =
      target.substr(paths.hall.size(), target.size() - paths.hall.size() - paths.evacuation.size());
  return hall.find('/') == std::string::npos ? std::optional<std::string>(hall) : std::nullopt;
}
}  // namespace

common::Answer Operator::answer(common::Ask const& ask, common::CallerConnection const& caller, common::Yield yield) {
  ++open_;
  common::Moment const arrival = common::boot_now();
  std::string const target(ask.target().substr(0, ask.target().find('?')));
  common::Answer answer = common::answer_error(http::status::not_found, "unknown_path", "see docs/operating/setup.md");
  http::verb const verb = ask.method();
  // Where the platform has paths of its own, ours work as well: the commands use them.
  static OperatorPaths const own;
  std::optional<std::string> named;
  for (OperatorPaths const* const paths : {static_cast<OperatorPaths const*>(&paths_), &own}) {
    named = named.has_value() ? named : hall_in(*paths, target);
  }
  if (target == paths_.routing_config || target == own.routing_config) {
    answer = answer_routing_config(ask, yield);
  } else if (named.has_value() && (verb == http::verb::post || verb == http::verb::delete_)) {
    answer = evacuate(*named, verb == http::verb::post, caller, yield);
  } else if (target == "/evacuated" && verb == http::verb::get) {
    answer = get_evacuated(yield);
  } else if (target == "/setup") {
    if (verb == http::verb::get) {
      answer = get_setup(yield);
    } else if (verb == http::verb::put || verb == http::verb::patch) {
      answer = change_setup(ask, verb == http::verb::patch, yield);
    } else {
      answer = common::answer_error(http::status::method_not_allowed, "method", "GET, PUT or PATCH");
    }
  } else if (target.rfind("/changes/", 0) == 0 && verb == http::verb::get) {
    answer = outcome(target.substr(9), yield);
  } else if (target.rfind("/halls/", 0) == 0 && verb == http::verb::post) {
    answer = hall(target.substr(7), yield);
  } else if (target == "/members" && verb == http::verb::get) {
    answer = common::answer_text(http::status::ok, print_list(updates_.members()));
  } else if (target == "/trellises" && verb == http::verb::get) {
    answer = common::answer_text(http::status::ok, print_list(updates_.controllers()));
  } else if (target == "/workers" && verb == http::verb::get) {
    common::Tree list(schema::write(updates_.list()));
    cJSON_AddNumberToObject(list.get(), "age_ms", static_cast<double>(updates_.list_age()) / 1000);
    answer = common::answer_text(http::status::ok, common::print_tree(list.get(), true));
  } else if (target == "/holders" && verb == http::verb::get) {
    answer = health_.holders();
  } else if (target == "/check" && verb == http::verb::get) {
    answer = health_.check();
  } else if (target == "/split" && verb == http::verb::get) {
    common::Tree object(cJSON_CreateObject());
    for (std::pair<std::string const, schema::Value> const& value : register_.values()) {
      if (value.first.rfind("split/", 0) == 0) {
        absl::StatusOr<common::Tree> content = common::read_tree(value.second.content);
        if (content.ok()) {
          cJSON_AddNumberToObject(content->get(), "revision", static_cast<double>(value.second.revision));
          cJSON_AddItemToObject(object.get(), value.first.substr(6).c_str(), content->release());
        }
      }
    }
    answer = common::answer_text(http::status::ok, common::print_tree(object.get(), true));
  } else if (target == "/duties" && verb == http::verb::get) {
    answer = common::answer_text(http::status::ok, duties_());
  } else if (target == "/alive") {
    answer = common::answer_text(http::status::ok, "{\"alive\":true}");
  } else if (target == "/ready") {
    bool const ready = common::boot_now() - register_.confirmed_from() < constants::confirmation_bound;
    answer = ready ? common::answer_text(http::status::ok, "{\"ready\":true}")
                   : common::answer_error(http::status::service_unavailable, "no_majority",
                                          "no majority of holders answered of late");
  } else if (target == "/metrics") {
    answer = metrics();
  }
  --open_;
  return unless_late(std::move(answer), verb, common::boot_now() - arrival, acknowledge_wait_);
}

std::optional<schema::Value> Operator::confirmed(std::string const& path, std::string const& name,
                                                 common::Yield yield) {
  common::Moment const arrival = common::boot_now();
  ToldFloor const floor = answer_check_.begin(name, arrival);
  bool const sure = await_confirmation(arrival, yield);
  common::Moment const now = common::boot_now();
  common::Moment const last = register_.confirmed_from();
  read_latency_.record(now - arrival);
  if (!sure) {
    common::note(common::Event::ReadRefused,
                 path + " waited " + std::to_string((now - arrival) / common::milliseconds(1)) +
                     " ms, last confirmation " +
                     (last == 0 ? "never" : std::to_string((now - last) / common::milliseconds(1)) + " ms old"));
    return std::nullopt;
  }
  schema::Value const value = register_.value(name);
  answer_check_.answered(name, floor, value, last);
  return value;
}

bool Operator::await_confirmation(common::Moment arrival, common::Yield yield) {
  // A read that is sure: a majority confirms it after the ask came.
  register_.hurry();
  while (register_.confirmed_from() < arrival) {
    if (common::boot_now() - arrival > constants::change_deadline) {
      return false;
    }
    std::uint64_t const seen = register_.bell().count();
    if (register_.confirmed_from() < arrival) {
      register_.bell().wait(seen, constants::confirm_pause * 2, yield);
    }
  }
  return true;
}

void Operator::spread(common::Yield yield) {
  register_.hurry();
  updates_.announce(true);
  // From here every vouch brings this revision; when the bound is over, whoever
  // lacks it has stopped by itself (section 4.1).
  common::pause(context_, acknowledge_wait_, yield);
}

common::Answer Operator::answer_routing_config(common::Ask const& ask, common::Yield yield) {
  http::verb const verb = ask.method();
  if (verb == http::verb::get) {
    return get_routing_config(yield);
  }
  if (verb == http::verb::put || verb == http::verb::patch) {
    return change_routing_config(ask, verb == http::verb::patch, yield);
  }
  return common::answer_error(http::status::method_not_allowed, "method", "GET, PUT or PATCH");
}

common::Answer Operator::get_routing_config(common::Yield yield) {
  std::optional<schema::Value> const value = confirmed(paths_.routing_config, config::routing_config_register, yield);
  if (!value.has_value()) {
    return common::answer_error(http::status::service_unavailable, "no_majority", "no majority of holders answered");
  }
  if (value->revision == 0) {
    return common::answer_error(http::status::not_found, "no_charter", "no charter was put yet");
  }
  common::Answer answer = common::answer_text(http::status::ok, value->content);
  answer.set(http::field::etag, "\"" + std::to_string(config::number_of(*value)) + "\"");
  return answer;
}

common::Answer Operator::change_routing_config(common::Ask const& ask, bool patch, common::Yield yield) {
  config::RoutingChangeRequest wanted{ask.body(), patch, std::nullopt};
  std::string const match(ask[http::field::if_match]);
  if (!match.empty() && match != "*") {
    wanted.expected = tag_revision(match);
    if (!wanted.expected.has_value()) {
      return common::answer_error(http::status::bad_request, "if_match", "If-Match takes one number, or *");
    }
  }
  std::shared_ptr<config::RoutingProposalReport> const note = std::make_shared<config::RoutingProposalReport>();
  RegisterClient::Result const result =
      register_.change(config::routing_config_register, config::routing_proposal(wanted, notation_, note),
                       constants::change_deadline, yield);
  std::uint64_t number = note->number;
  if (consensus::Chosen const* const done = std::get_if<consensus::Chosen>(&result)) {
    number = config::number_of(done->value);
    note->end = config::RoutingProposalOutcome::done;
    answer_check_.acknowledged(config::routing_config_register, done->value, note->valid_digest);
    ++accepted_;
    common::note(common::Event::CharterChosen, std::to_string(number));
  } else if (std::holds_alternative<RegisterClient::Unknown>(result)) {
    common::note(common::Event::CharterUnknown, config::change_id_of(wanted));
    return unknown("no majority of holders answered in time; send the same again");
  }
  if (note->end == config::RoutingProposalOutcome::forgotten) {
    common::note(common::Event::CharterUnknown, config::change_id_of(wanted) + " is too old");
    return unknown("too old to tell whether it was taken before; nothing was done now");
  }
  std::string const tag = "\"" + std::to_string(number) + "\"";
  if (note->end == config::RoutingProposalOutcome::done) {
    if (wanted.expected.has_value()) {
      answer_check_.acknowledged_on(config::routing_config_register, *wanted.expected, config::change_id_of(wanted));
    }
    spread(yield);
    common::Answer answer = common::answer_text(http::status::ok, "{\"number\":" + std::to_string(number) + "}");
    answer.set(http::field::etag, tag);
    return answer;
  }
  ++rejected_;
  common::note(common::Event::CharterRejected, common::describe(note->faults));
  if (note->end == config::RoutingProposalOutcome::invalid) {
    common::Answer answer = faults_answer(note->faults);
    answer.result(http::status::bad_request);
    return answer;
  }
  if (note->end == config::RoutingProposalOutcome::stale_number) {
    return common::answer_error(http::status::bad_request, "number",
                                "the number must be above the one in place, " + std::to_string(number));
  }
  if (note->end == config::RoutingProposalOutcome::too_large) {
    return common::answer_error(http::status::payload_too_large, "too_large", "the charter is larger than allowed");
  }
  common::Answer answer = common::answer_error(http::status::precondition_failed, "another",
                                               "charter " + std::to_string(number) + " is in place");
  answer.set(http::field::etag, tag);
  return answer;
}

common::Answer Operator::unknown(std::string const& message) {
  ++unknown_;
  return common::answer_error(http::status::gateway_timeout, "unknown", message);
}

common::Answer Operator::evacuate(std::string const& zone, bool evacuated, common::CallerConnection const& caller,
                                  common::Yield yield) {
  // Known before anything else happens: what comes later may be newer than this order (section 13.3).
  config::ZoneDrainCommand const order{zone, evacuated,
                                       config::newest_command(register_.value(config::drained_zones_register), zone)};
  std::shared_ptr<config::ZoneDrainReport> const report = std::make_shared<config::ZoneDrainReport>();
  RegisterClient::Result const result = register_.change(config::drained_zones_register,
                                                         config::zone_drain_proposal(
                                                             order, [caller] { return caller.gone(); }, report),
                                                         constants::change_deadline, yield);
  if (std::holds_alternative<RegisterClient::Unknown>(result)) {
    return unknown("no majority of holders answered in time; send the same again");
  }
  if (std::holds_alternative<consensus::Rejected>(result)) {
    // Whoever sends it again must find this trellis up to date.
    register_.hurry();
    return unknown("another order about this zone came meanwhile; send the same again");
  }
  if (consensus::Chosen const* const done = std::get_if<consensus::Chosen>(&result)) {
    answer_check_.acknowledged(config::drained_zones_register, done->value);
  }
  ++accepted_;
  common::note(common::Event::EvacuationChosen, zone + (evacuated ? " is emptied" : " is taken back"));
  spread(yield);
  return common::answer_text(http::status::ok, "{}");
}

common::Answer Operator::get_evacuated(common::Yield yield) {
  std::optional<schema::Value> const value = confirmed("/evacuated", config::drained_zones_register, yield);
  if (!value.has_value()) {
    return common::answer_error(http::status::service_unavailable, "no_majority", "no majority of holders answered");
  }
  std::string const& content = value->content;
  return common::answer_text(http::status::ok, content.empty() ? "[]" : content);
}

common::Answer Operator::get_setup(common::Yield yield) {
  std::optional<schema::Value> const value = confirmed("/setup", consensus::setup_register, yield);
  if (!value.has_value()) {
    return common::answer_error(http::status::service_unavailable, "no_majority", "no majority of holders answered");
  }
  if (value->content.empty()) {
    return common::answer_error(http::status::not_found, "no_setup", "no setup was put yet");
  }
  common::Answer answer = common::answer_text(http::status::ok, value->content);
  answer.set(http::field::etag, "\"" + std::to_string(value->revision) + "\"");
  return answer;
}

std::string Operator::fresh_id(std::string const& name, common::Yield yield) {
  // Right after its start a trellis knows no revision yet; an id born at none
  // would count as forgotten.
  common::Moment const until = common::boot_now() + constants::change_deadline;
  while (register_.confirmed_from() == 0 && common::boot_now() < until) {
    common::pause(context_, constants::confirm_pause, yield);
  }
  return name + "-" + std::to_string(common::random_identity()) + "." +
         std::to_string(register_.value(consensus::setup_register).revision);
}

common::Answer Operator::change_setup(common::Ask const& ask, bool patch, common::Yield yield) {
  config::SetupChangeRequest wanted;
  wanted.patch = patch;
  wanted.id = std::string(ask["Change-Id"]);
  if (wanted.id.empty()) {
    wanted.id = fresh_id("change", yield);
  } else if (!good_id(wanted.id)) {
    return common::answer_error(http::status::bad_request, "change_id",
                                "Change-Id takes up to 64 letters, digits, '-', '_' and '.'");
  }
  std::string const match(ask[http::field::if_match]);
  if (!match.empty() && match != "*") {
    wanted.expected = tag_revision(match);
    if (!wanted.expected.has_value()) {
      return common::answer_error(http::status::bad_request, "if_match", "If-Match takes one revision in quotes, or *");
    }
  }
  absl::StatusOr<std::string> const content = config::canonical_json(ask.body());
  if (!content.ok()) {
    return common::answer_error(http::status::bad_request, "malformed", std::string(content.status().message()));
  }
  wanted.content = *content;
  if (!patch) {
    config::ParsedSetup const reading = config::read_setup(wanted.content);
    if (!reading.good()) {
      return faults_answer(reading.faults);
    }
  }
  return apply(wanted, yield);
}

common::Answer Operator::apply(config::SetupChangeRequest const& wanted, common::Yield yield) {
  std::shared_ptr<config::SetupProposalReport> const note = std::make_shared<config::SetupProposalReport>();
  RegisterClient::Result const result = register_.change(
      consensus::setup_register, config::setup_proposal(wanted, note), constants::change_deadline, yield);
  if (consensus::Chosen const* const done = std::get_if<consensus::Chosen>(&result)) {
    answer_check_.acknowledged(consensus::setup_register, done->value);
    if (wanted.expected.has_value()) {
      answer_check_.acknowledged_on(consensus::setup_register, *wanted.expected, wanted.id);
    }
    return chosen(wanted.id, done->value.revision, yield);
  }
  if (consensus::Rejected const* const rejected = std::get_if<consensus::Rejected>(&result)) {
    config::ChangeStatus const known = config::status_of(rejected->current, wanted.id);
    if (known.state == config::ChangeState::accepted) {
      return chosen(wanted.id, known.revision, yield);
    }
    if (note->end == config::SetupProposalOutcome::forgotten) {
      ++unknown_;
      return outcome_answer(http::status::gateway_timeout, "forgotten", wanted.id, 0,
                            "too old to tell whether it was taken before; nothing was done now. End an id in the "
                            "revision that you know: NAME.REVISION");
    }
    ++rejected_;
    common::note(common::Event::SetupRejected, wanted.id + " " + rejected->reason);
    if (known.state == config::ChangeState::rejected) {
      return outcome_answer(http::status::conflict, "rejected", wanted.id, rejected->current.revision,
                            "this id was given up before");
    }
    if (note->end == config::SetupProposalOutcome::future_revision) {
      return outcome_answer(http::status::bad_request, "rejected", wanted.id, rejected->current.revision,
                            rejected->reason);
    }
    if (note->end == config::SetupProposalOutcome::invalid) {
      return faults_answer(note->faults);
    }
    if (note->end == config::SetupProposalOutcome::too_large) {
      return outcome_answer(http::status::payload_too_large, "rejected", wanted.id, rejected->current.revision,
                            rejected->reason);
    }
    common::Answer answer = outcome_answer(http::status::precondition_failed, "rejected", wanted.id,
                                           rejected->current.revision, rejected->reason);
    answer.set(http::field::etag, "\"" + std::to_string(rejected->current.revision) + "\"");
    return answer;
  }
  ++unknown_;
  common::note(common::Event::SetupUnknown, wanted.id);
  return outcome_answer(http::status::gateway_timeout, "unknown", wanted.id, 0, "ask GET /changes/" + wanted.id);
}

common::Answer Operator::chosen(std::string const& id, std::uint64_t revision, common::Yield yield) {
  ++accepted_;
  common::note(common::Event::SetupChosen, "revision " + std::to_string(revision) + " " + id);
  spread(yield);
  return outcome_answer(http::status::ok, "accepted", id, revision);
}

common::Answer Operator::outcome(std::string const& id, common::Yield yield) {
  if (!good_id(id)) {
    return common::answer_error(http::status::bad_request, "change_id", "not an id of a change");
  }
  // A change may still be under way; once its own time is over, a veto under
  // the same id makes "rejected" final (section 5.7).
  common::Moment const until = common::boot_now() + constants::change_deadline;
  while (common::boot_now() < until) {
    config::ChangeStatus const known = config::status_of(register_.value(consensus::setup_register), id);
    if (known.state != config::ChangeState::pending && known.state != config::ChangeState::future) {
      return told(known, id, yield);
    }
    common::pause(context_, constants::confirm_pause, yield);
  }
  if (++outcomes_ > constants::outcomes_most) {
    --outcomes_;
    common::Answer answer =
        common::answer_error(http::status::service_unavailable, "busy", "too many outcomes are looked up at once");
    answer.set(http::field::retry_after, std::to_string(constants::retry_after_seconds));
    return answer;
  }
  RegisterClient::Result const result =
      register_.change(consensus::setup_register, config::cancel_proposal(id), constants::change_deadline, yield);
  --outcomes_;
  if (consensus::Chosen const* const done = std::get_if<consensus::Chosen>(&result)) {
    return told(config::status_of(done->value, id), id, yield);
  }
  return outcome_answer(http::status::gateway_timeout, "unknown", id, 0, "no majority of holders answered");
}

common::Answer Operator::told(config::ChangeStatus const& known, std::string const& id, common::Yield yield) {
  switch (known.state) {
    case config::ChangeState::accepted:
      // "Accepted" promises the same here as after a PUT (section 4.1); when
      // it was chosen is not known, so the whole wait counts from now.
      common::pause(context_, acknowledge_wait_, yield);
      return outcome_answer(http::status::ok, "accepted", id, known.revision);
    case config::ChangeState::rejected:
      return outcome_answer(http::status::ok, "rejected", id, 0);
    case config::ChangeState::future:
      return outcome_answer(http::status::not_found, "unborn", id, 0, "this id names a revision that is still to come");
    default:
      return outcome_answer(http::status::gone, "forgotten", id, 0, "too old: what became of it is no longer known");
  }
}

common::Answer Operator::hall(std::string const& target, common::Yield yield) {
  std::size_t const slash = target.rfind('/');
  std::string const name = target.substr(0, slash);
  std::string const deed = slash == std::string::npos ? "" : target.substr(slash + 1);
  if (name.empty() || (deed != "drain" && deed != "restore")) {
    return common::answer_error(http::status::not_found, "unknown_path",
                                "POST /halls/NAME/drain or /halls/NAME/restore");
  }
  common::Tree patch(cJSON_CreateObject());
  cJSON* const entry = cJSON_AddObjectToObject(cJSON_AddObjectToObject(patch.get(), "halls"), name.c_str());
  cJSON_AddBoolToObject(entry, "evacuated", deed == "drain" ? 1 : 0);
  config::SetupChangeRequest wanted;
  wanted.id = fresh_id("hall", yield);
  wanted.patch = true;
  wanted.content = common::print_tree(patch.get());
  return apply(wanted, yield);
}

common::Answer Operator::metrics() {
  std::string text;
  text += "# TYPE trellis_changes_total counter\n";
  text += "trellis_changes_total{outcome=\"accepted\"} " + std::to_string(accepted_) + "\n";
  text += "trellis_changes_total{outcome=\"rejected\"} " + std::to_string(rejected_) + "\n";
  text += "trellis_changes_total{outcome=\"unknown\"} " + std::to_string(unknown_) + "\n";
  text += "# TYPE trellis_setup_revision gauge\ntrellis_setup_revision " +
          std::to_string(register_.value(consensus::setup_register).revision) + "\n";
  text += "# TYPE trellis_members gauge\ntrellis_members " + std::to_string(updates_.members().size()) + "\n";
  text += "# TYPE trellis_list_age_seconds gauge\ntrellis_list_age_seconds " +
          std::to_string(static_cast<double>(updates_.list_age()) / 1e6) + "\n";
  text += "# TYPE trellis_confirmed_age_seconds gauge\ntrellis_confirmed_age_seconds " +
          std::to_string(static_cast<double>(common::boot_now() - register_.confirmed_from()) / 1e6) + "\n";
  text += common::invariant_metrics();
  text += metrics_of(register_.read_outcomes());
  text += read_latency_.metrics();
  text += "# TYPE trellis_holder_voting gauge\ntrellis_holder_voting " +
          std::to_string(holder_ != nullptr && holder_->voting() ? 1 : 0) + "\n";
  text += health_.metrics();
  return common::answer_text(http::status::ok, text, "text/plain; version=0.0.4");
}

}  // namespace finchlink::control_plane
