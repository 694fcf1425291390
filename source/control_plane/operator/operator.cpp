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
common::Response validation_errors_answer(std::vector<common::Fault> const& faults) {
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
  return common::text_response(http::status::unprocessable_entity, common::print_tree(object.get()));
}

common::Response outcome_answer(http::status status, std::string const& outcome, std::string const& id,
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
  common::Response answer = common::text_response(status, common::print_tree(object.get()));
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

bool is_valid_id(std::string const& id) {
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

/// Parses the revision of an If-Match header, quoted or not ("7" or 7); nothing when it is malformed.
std::optional<std::uint64_t> parse_revision_tag(std::string text) {
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
/// The zone that a zone drain's path names; nothing when the path is another one.
std::optional<std::string> zone_in_path(OperatorPaths const& paths, std::string const& target) {
  if (target.rfind(paths.zone_prefix, 0) != 0 || !target.ends_with(paths.drain_suffix) ||
      target.size() <= paths.zone_prefix.size() + paths.drain_suffix.size()) {
    return std::nullopt;
  }
  std::string const zone =
      target.substr(paths.zone_prefix.size(), target.size() - paths.zone_prefix.size() - paths.drain_suffix.size());
  return zone.find('/') == std::string::npos ? std::optional<std::string>(zone) : std::nullopt;
}
}  // namespace

common::Response OperatorService::answer(common::Request const& request, common::CallerConnection const& caller,
                                         common::Yield yield) {
  ++open_calls_;
  common::Moment const arrival = common::boot_now();
  std::string const target(request.target().substr(0, request.target().find('?')));
  common::Response answer =
      common::error_response(http::status::not_found, "unknown_path", "see docs/operating/setup.md");
  http::verb const verb = request.method();
  // Where the platform has its own paths, the default paths work as well, because the command-line client uses them.
  static OperatorPaths const default_paths;
  std::optional<std::string> zone;
  for (OperatorPaths const* const paths : {static_cast<OperatorPaths const*>(&paths_), &default_paths}) {
    zone = zone.has_value() ? zone : zone_in_path(*paths, target);
  }
  if (target == paths_.routing_config || target == default_paths.routing_config) {
    answer = answer_routing_config(request, yield);
  } else if (zone.has_value() && (verb == http::verb::post || verb == http::verb::delete_)) {
    answer = set_zone_drained(*zone, verb == http::verb::post, caller, yield);
  } else if (target == "/evacuated" && verb == http::verb::get) {
    answer = get_drained_zones(yield);
  } else if (target == "/setup") {
    if (verb == http::verb::get) {
      answer = get_setup(yield);
    } else if (verb == http::verb::put || verb == http::verb::patch) {
      answer = change_setup(request, verb == http::verb::patch, yield);
    } else {
      answer = common::error_response(http::status::method_not_allowed, "method", "GET, PUT or PATCH");
    }
  } else if (target.rfind("/changes/", 0) == 0 && verb == http::verb::get) {
    answer = get_change_outcome(target.substr(9), yield);
  } else if (target.rfind("/halls/", 0) == 0 && verb == http::verb::post) {
    answer = change_zone(target.substr(7), yield);
  } else if (target == "/members" && verb == http::verb::get) {
    answer = common::text_response(http::status::ok, print_list(updates_.members()));
  } else if (target == "/trellises" && verb == http::verb::get) {
    answer = common::text_response(http::status::ok, print_list(updates_.controllers()));
  } else if (target == "/workers" && verb == http::verb::get) {
    common::Tree list(schema::write(updates_.list()));
    cJSON_AddNumberToObject(list.get(), "age_ms", static_cast<double>(updates_.list_age()) / 1000);
    answer = common::text_response(http::status::ok, common::print_tree(list.get(), true));
  } else if (target == "/holders" && verb == http::verb::get) {
    answer = health_.voters();
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
    answer = common::text_response(http::status::ok, common::print_tree(object.get(), true));
  } else if (target == "/duties" && verb == http::verb::get) {
    answer = common::text_response(http::status::ok, describe_tasks_());
  } else if (target == "/alive") {
    answer = common::text_response(http::status::ok, "{\"alive\":true}");
  } else if (target == "/ready") {
    bool const ready = common::boot_now() - register_.confirmed_from() < constants::confirmation_bound;
    answer = ready ? common::text_response(http::status::ok, "{\"ready\":true}")
                   : common::error_response(http::status::service_unavailable, "no_majority",
                                            "no majority of holders answered of late");
  } else if (target == "/metrics") {
    answer = metrics();
  }
  --open_calls_;
  return unless_late(std::move(answer), verb, common::boot_now() - arrival, acknowledge_wait_);
}

std::optional<schema::Value> OperatorService::read_confirmed(std::string const& path, std::string const& name,
                                                             common::Yield yield) {
  common::Moment const arrival = common::boot_now();
  RevisionFloor const floor = answer_check_.begin(name, arrival);
  bool const is_confirmed = await_confirmation(arrival, yield);
  common::Moment const now = common::boot_now();
  common::Moment const last = register_.confirmed_from();
  read_latency_.record(now - arrival);
  if (!is_confirmed) {
    common::log_event(common::Event::ReadRefused,
                      path + " waited " + std::to_string((now - arrival) / common::milliseconds(1)) +
                          " ms, last confirmation " +
                          (last == 0 ? "never" : std::to_string((now - last) / common::milliseconds(1)) + " ms old"));
    return std::nullopt;
  }
  schema::Value const value = register_.value(name);
  answer_check_.answered(name, floor, value, last);
  return value;
}

bool OperatorService::await_confirmation(common::Moment arrival, common::Yield yield) {
  // A linearizable read: a majority must confirm the values after the request arrived.
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

void OperatorService::announce_and_wait(common::Yield yield) {
  register_.hurry();
  updates_.announce(true);
  // From now on each confirmed answer to a proxy carries this revision; after the wait, a proxy without it has stopped
  // serving by itself (section 4.1).
  common::pause(context_, acknowledge_wait_, yield);
}

common::Response OperatorService::answer_routing_config(common::Request const& request, common::Yield yield) {
  http::verb const verb = request.method();
  if (verb == http::verb::get) {
    return get_routing_config(yield);
  }
  if (verb == http::verb::put || verb == http::verb::patch) {
    return change_routing_config(request, verb == http::verb::patch, yield);
  }
  return common::error_response(http::status::method_not_allowed, "method", "GET, PUT or PATCH");
}

common::Response OperatorService::get_routing_config(common::Yield yield) {
  std::optional<schema::Value> const value =
      read_confirmed(paths_.routing_config, config::routing_config_register, yield);
  if (!value.has_value()) {
    return common::error_response(http::status::service_unavailable, "no_majority", "no majority of holders answered");
  }
  if (value->revision == 0) {
    return common::error_response(http::status::not_found, "no_charter", "no charter was put yet");
  }
  common::Response answer = common::text_response(http::status::ok, value->content);
  answer.set(http::field::etag, "\"" + std::to_string(config::number_of(*value)) + "\"");
  return answer;
}

common::Response OperatorService::change_routing_config(common::Request const& request, bool patch,
                                                        common::Yield yield) {
  config::RoutingChangeRequest change{request.body(), patch, std::nullopt};
  std::string const match(request[http::field::if_match]);
  if (!match.empty() && match != "*") {
    change.expected = parse_revision_tag(match);
    if (!change.expected.has_value()) {
      return common::error_response(http::status::bad_request, "if_match", "If-Match takes one number, or *");
    }
  }
  std::shared_ptr<config::RoutingProposalReport> const report = std::make_shared<config::RoutingProposalReport>();
  RegisterClient::Result const result =
      register_.change(config::routing_config_register, config::routing_proposal(change, notation_, report),
                       constants::change_deadline, yield);
  std::uint64_t number = report->number;
  if (consensus::Chosen const* const chosen = std::get_if<consensus::Chosen>(&result)) {
    number = config::number_of(chosen->value);
    report->end = config::RoutingProposalOutcome::done;
    answer_check_.acknowledged(config::routing_config_register, chosen->value, report->valid_digest);
    ++accepted_;
    common::log_event(common::Event::CharterChosen, std::to_string(number));
  } else if (std::holds_alternative<RegisterClient::Unknown>(result)) {
    common::log_event(common::Event::CharterUnknown, config::change_id_of(change));
    return unknown_outcome("no majority of holders answered in time; send the same again");
  }
  if (report->end == config::RoutingProposalOutcome::forgotten) {
    common::log_event(common::Event::CharterUnknown,
                      config::change_id_of(change) + " is too old to be checked for duplicates");
    return unknown_outcome("too old to tell whether it was taken before; nothing was done now");
  }
  std::string const tag = "\"" + std::to_string(number) + "\"";
  if (report->end == config::RoutingProposalOutcome::done) {
    if (change.expected.has_value()) {
      answer_check_.acknowledged_on(config::routing_config_register, *change.expected, config::change_id_of(change));
    }
    announce_and_wait(yield);
    common::Response answer = common::text_response(http::status::ok, "{\"number\":" + std::to_string(number) + "}");
    answer.set(http::field::etag, tag);
    return answer;
  }
  ++rejected_;
  common::log_event(common::Event::CharterRejected, common::describe(report->faults));
  if (report->end == config::RoutingProposalOutcome::invalid) {
    common::Response answer = validation_errors_answer(report->faults);
    answer.result(http::status::bad_request);
    return answer;
  }
  if (report->end == config::RoutingProposalOutcome::stale_number) {
    return common::error_response(http::status::bad_request, "number",
                                  "the number must be above the one in place, " + std::to_string(number));
  }
  if (report->end == config::RoutingProposalOutcome::too_large) {
    return common::error_response(http::status::payload_too_large, "too_large", "the charter is larger than allowed");
  }
  common::Response answer = common::error_response(http::status::precondition_failed, "another",
                                                   "charter " + std::to_string(number) + " is in place");
  answer.set(http::field::etag, tag);
  return answer;
}

common::Response OperatorService::unknown_outcome(std::string const& message) {
  ++unknown_;
  return common::error_response(http::status::gateway_timeout, "unknown", message);
}

common::Response OperatorService::set_zone_drained(std::string const& zone, bool drained,
                                                   common::CallerConnection const& caller, common::Yield yield) {
  // Read before anything else: a command that arrives later may be newer than this one (section 13.3).
  config::ZoneDrainCommand const command{zone, drained,
                                         config::newest_command(register_.value(config::drained_zones_register), zone)};
  std::shared_ptr<config::ZoneDrainReport> const report = std::make_shared<config::ZoneDrainReport>();
  RegisterClient::Result const result = register_.change(config::drained_zones_register,
                                                         config::zone_drain_proposal(
                                                             command, [caller] { return caller.gone(); }, report),
                                                         constants::change_deadline, yield);
  if (std::holds_alternative<RegisterClient::Unknown>(result)) {
    return unknown_outcome("no majority of holders answered in time; send the same again");
  }
  if (std::holds_alternative<consensus::Rejected>(result)) {
    // A client that sends the command again must find this controller up to date.
    register_.hurry();
    return unknown_outcome("another order about this zone came meanwhile; send the same again");
  }
  if (consensus::Chosen const* const chosen = std::get_if<consensus::Chosen>(&result)) {
    answer_check_.acknowledged(config::drained_zones_register, chosen->value);
  }
  ++accepted_;
  common::log_event(common::Event::EvacuationChosen, zone + (drained ? " is drained" : " is restored"));
  announce_and_wait(yield);
  return common::text_response(http::status::ok, "{}");
}

common::Response OperatorService::get_drained_zones(common::Yield yield) {
  std::optional<schema::Value> const value = read_confirmed("/evacuated", config::drained_zones_register, yield);
  if (!value.has_value()) {
    return common::error_response(http::status::service_unavailable, "no_majority", "no majority of holders answered");
  }
  std::string const& content = value->content;
  return common::text_response(http::status::ok, content.empty() ? "[]" : content);
}

common::Response OperatorService::get_setup(common::Yield yield) {
  std::optional<schema::Value> const value = read_confirmed("/setup", consensus::setup_register, yield);
  if (!value.has_value()) {
    return common::error_response(http::status::service_unavailable, "no_majority", "no majority of holders answered");
  }
  if (value->content.empty()) {
    return common::error_response(http::status::not_found, "no_setup", "no setup was put yet");
  }
  common::Response answer = common::text_response(http::status::ok, value->content);
  answer.set(http::field::etag, "\"" + std::to_string(value->revision) + "\"");
  return answer;
}

std::string OperatorService::generate_id(std::string const& name, common::Yield yield) {
  // Right after its start a controller knows no revision yet, and an id that ends in
  // revision 0 would count as forgotten.
  common::Moment const deadline = common::boot_now() + constants::change_deadline;
  while (register_.confirmed_from() == 0 && common::boot_now() < deadline) {
    common::pause(context_, constants::confirm_pause, yield);
  }
  return name + "-" + std::to_string(common::random_identity()) + "." +
         std::to_string(register_.value(consensus::setup_register).revision);
}

common::Response OperatorService::change_setup(common::Request const& request, bool patch, common::Yield yield) {
  config::SetupChangeRequest change;
  change.patch = patch;
  change.id = std::string(request["Change-Id"]);
  if (change.id.empty()) {
    change.id = generate_id("change", yield);
  } else if (!is_valid_id(change.id)) {
    return common::error_response(http::status::bad_request, "change_id",
                                  "Change-Id takes up to 64 letters, digits, '-', '_' and '.'");
  }
  std::string const match(request[http::field::if_match]);
  if (!match.empty() && match != "*") {
    change.expected = parse_revision_tag(match);
    if (!change.expected.has_value()) {
      return common::error_response(http::status::bad_request, "if_match",
                                    "If-Match takes one revision in quotes, or *");
    }
  }
  absl::StatusOr<std::string> const content = config::canonical_json(request.body());
  if (!content.ok()) {
    return common::error_response(http::status::bad_request, "malformed", std::string(content.status().message()));
  }
  change.content = *content;
  if (!patch) {
    config::ParsedSetup const reading = config::read_setup(change.content);
    if (!reading.good()) {
      return validation_errors_answer(reading.faults);
    }
  }
  return apply(change, yield);
}

common::Response OperatorService::apply(config::SetupChangeRequest const& change, common::Yield yield) {
  std::shared_ptr<config::SetupProposalReport> const report = std::make_shared<config::SetupProposalReport>();
  RegisterClient::Result const result = register_.change(
      consensus::setup_register, config::setup_proposal(change, report), constants::change_deadline, yield);
  if (consensus::Chosen const* const chosen = std::get_if<consensus::Chosen>(&result)) {
    answer_check_.acknowledged(consensus::setup_register, chosen->value);
    if (change.expected.has_value()) {
      answer_check_.acknowledged_on(consensus::setup_register, *change.expected, change.id);
    }
    return acknowledge(change.id, chosen->value.revision, yield);
  }
  if (consensus::Rejected const* const rejected = std::get_if<consensus::Rejected>(&result)) {
    config::ChangeStatus const status = config::status_of(rejected->current, change.id);
    if (status.state == config::ChangeState::accepted) {
      return acknowledge(change.id, status.revision, yield);
    }
    if (report->end == config::SetupProposalOutcome::forgotten) {
      ++unknown_;
      return outcome_answer(http::status::gateway_timeout, "forgotten", change.id, 0,
                            "too old to tell whether it was taken before; nothing was done now. End an id in the "
                            "revision that you know: NAME.REVISION");
    }
    ++rejected_;
    common::log_event(common::Event::SetupRejected, change.id + " " + rejected->reason);
    if (status.state == config::ChangeState::rejected) {
      return outcome_answer(http::status::conflict, "rejected", change.id, rejected->current.revision,
                            "this id was given up before");
    }
    if (report->end == config::SetupProposalOutcome::future_revision) {
      return outcome_answer(http::status::bad_request, "rejected", change.id, rejected->current.revision,
                            rejected->reason);
    }
    if (report->end == config::SetupProposalOutcome::invalid) {
      return validation_errors_answer(report->faults);
    }
    if (report->end == config::SetupProposalOutcome::too_large) {
      return outcome_answer(http::status::payload_too_large, "rejected", change.id, rejected->current.revision,
                            rejected->reason);
    }
    common::Response answer = outcome_answer(http::status::precondition_failed, "rejected", change.id,
                                             rejected->current.revision, rejected->reason);
    answer.set(http::field::etag, "\"" + std::to_string(rejected->current.revision) + "\"");
    return answer;
  }
  ++unknown_;
  common::log_event(common::Event::SetupUnknown, change.id);
  return outcome_answer(http::status::gateway_timeout, "unknown", change.id, 0, "ask GET /changes/" + change.id);
}

common::Response OperatorService::acknowledge(std::string const& id, std::uint64_t revision, common::Yield yield) {
  ++accepted_;
  common::log_event(common::Event::SetupChosen, "revision " + std::to_string(revision) + " " + id);
  announce_and_wait(yield);
  return outcome_answer(http::status::ok, "accepted", id, revision);
}

common::Response OperatorService::get_change_outcome(std::string const& id, common::Yield yield) {
  if (!is_valid_id(id)) {
    return common::error_response(http::status::bad_request, "change_id", "not an id of a change");
  }
  // The change may still be in progress. After its deadline, a cancellation under the same id makes "rejected" final
  // (section 5.7).
  common::Moment const deadline = common::boot_now() + constants::change_deadline;
  while (common::boot_now() < deadline) {
    config::ChangeStatus const status = config::status_of(register_.value(consensus::setup_register), id);
    if (status.state != config::ChangeState::pending && status.state != config::ChangeState::future) {
      return answer_status(status, id, yield);
    }
    common::pause(context_, constants::confirm_pause, yield);
  }
  if (++open_outcome_queries_ > constants::max_outcome_lookups) {
    --open_outcome_queries_;
    common::Response answer =
        common::error_response(http::status::service_unavailable, "busy", "too many outcomes are looked up at once");
    answer.set(http::field::retry_after, std::to_string(constants::retry_after_seconds));
    return answer;
  }
  RegisterClient::Result const result =
      register_.change(consensus::setup_register, config::cancel_proposal(id), constants::change_deadline, yield);
  --open_outcome_queries_;
  if (consensus::Chosen const* const chosen = std::get_if<consensus::Chosen>(&result)) {
    return answer_status(config::status_of(chosen->value, id), id, yield);
  }
  return outcome_answer(http::status::gateway_timeout, "unknown", id, 0, "no majority of holders answered");
}

common::Response OperatorService::answer_status(config::ChangeStatus const& status, std::string const& id,
                                                common::Yield yield) {
  switch (status.state) {
    case config::ChangeState::accepted:
      // "Accepted" promises the same here as after a PUT (section 4.1). When the change was chosen is not known, so the
      // whole wait starts now.
      common::pause(context_, acknowledge_wait_, yield);
      return outcome_answer(http::status::ok, "accepted", id, status.revision);
    case config::ChangeState::rejected:
      return outcome_answer(http::status::ok, "rejected", id, 0);
    case config::ChangeState::future:
      return outcome_answer(http::status::not_found, "unborn", id, 0, "this id names a revision that is still to come");
    default:
      return outcome_answer(http::status::gone, "forgotten", id, 0, "too old: what became of it is no longer known");
  }
}

common::Response OperatorService::change_zone(std::string const& target, common::Yield yield) {
  std::size_t const slash = target.rfind('/');
  std::string const name = target.substr(0, slash);
  std::string const command = slash == std::string::npos ? "" : target.substr(slash + 1);
  if (name.empty() || (command != "drain" && command != "restore")) {
    return common::error_response(http::status::not_found, "unknown_path",
                                  "POST /halls/NAME/drain or /halls/NAME/restore");
  }
  common::Tree patch(cJSON_CreateObject());
  cJSON* const entry = cJSON_AddObjectToObject(cJSON_AddObjectToObject(patch.get(), "halls"), name.c_str());
  cJSON_AddBoolToObject(entry, "evacuated", command == "drain" ? 1 : 0);
  config::SetupChangeRequest change;
  change.id = generate_id("hall", yield);
  change.patch = true;
  change.content = common::print_tree(patch.get());
  return apply(change, yield);
}

common::Response OperatorService::metrics() {
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
          std::to_string(acceptor_ != nullptr && acceptor_->voting() ? 1 : 0) + "\n";
  text += health_.metrics();
  return common::text_response(http::status::ok, text, "text/plain; version=0.0.4");
}

}  // namespace finchlink::control_plane
