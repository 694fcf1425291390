#include "control_plane/operator/health.hpp"

#include "common/json/tree.hpp"

namespace finchlink::control_plane {

namespace http = common::http;

namespace {

/// Whole milliseconds of a span, as a JSON number.
double whole_milliseconds(common::Span span) {
  common::Span const count = span / common::milliseconds(1);
  return static_cast<double>(count);
}

void add_status(cJSON* entry, membership::VoterStatus const& status) {
  cJSON_AddStringToObject(entry, "name", status.name.c_str());
  cJSON_AddBoolToObject(entry, "voting", status.voting ? 1 : 0);
  cJSON_AddNumberToObject(entry, "in_force", static_cast<double>(status.epoch));
  cJSON_AddBoolToObject(entry, "catching_up", status.catching_up ? 1 : 0);
  cJSON_AddBoolToObject(entry, "leaving", status.leaving ? 1 : 0);
  if (status.contact.has_value()) {
    cJSON_AddNumberToObject(entry, "contact_age_ms", whole_milliseconds(*status.contact));
  } else {
    cJSON_AddNullToObject(entry, "contact_age_ms");
  }
}

common::Tree voters_tree(membership::HealthView const& view) {
  common::Tree tree(schema::write(view.set));
  cJSON* const list = cJSON_GetObjectItemCaseSensitive(tree.get(), "holders");
  int index = 0;
  for (membership::VoterStatus const& status : view.voters) {
    add_status(cJSON_GetArrayItem(list, index++), status);
  }
  return tree;
}

std::string gauge(std::string const& name, std::string const& labels, double value) {
  return name + labels + " " + std::to_string(value) + "\n";
}
}  // namespace

membership::HealthView HealthPages::view() {
  common::Moment const now = common::boot_now();
  std::vector<membership::Peer> peers = updates_.peers();
  peers.push_back(membership::Peer{updates_.controllers().front(), now});
  membership::HealthView view;
  view.set = register_.set();
  view.voters = membership::voter_statuses(view.set, peers, now);
  view.majority_age = now - register_.confirmed_from();
  common::Span const list_age = updates_.list_age();
  if (list_age >= 0) {
    view.list_age = list_age;
  }
  if (acceptor_ != nullptr) {
    view.own_disk_answers = !acceptor_->silent();
  }
  return view;
}

common::Response HealthPages::voters() {
  return common::text_response(http::status::ok, common::print_tree(voters_tree(view()).get(), true));
}

common::Response HealthPages::check() {
  membership::HealthView const seen = view();
  std::vector<membership::HealthProblem> const problems = membership::find_problems(seen);
  common::Tree object(cJSON_CreateObject());
  cJSON_AddBoolToObject(object.get(), "healthy", problems.empty() ? 1 : 0);
  cJSON* const list = cJSON_AddArrayToObject(object.get(), "problems");
  for (membership::HealthProblem const& problem : problems) {
    cJSON* const entry = cJSON_CreateObject();
    cJSON_AddStringToObject(entry, "part", problem.part.c_str());
    cJSON_AddStringToObject(entry, "text", problem.text.c_str());
    cJSON_AddItemToArray(list, entry);
  }
  cJSON_AddNumberToObject(object.get(), "losses_to_spare",
                          static_cast<double>(membership::losses_to_spare(seen.set, seen.voters)));
  cJSON_AddNumberToObject(object.get(), "majority_age_ms", whole_milliseconds(seen.majority_age));
  cJSON_AddItemToObject(object.get(), "voters", voters_tree(seen).release());
  return common::text_response(problems.empty() ? http::status::ok : http::status::service_unavailable,
                               common::print_tree(object.get(), true));
}

std::string HealthPages::metrics() {
  membership::HealthView const seen = view();
  std::string text = "# TYPE trellis_healthy gauge\n";
  text += gauge("trellis_healthy", "", membership::find_problems(seen).empty() ? 1 : 0);
  text += "# TYPE trellis_voter_epoch gauge\n";
  text += gauge("trellis_voter_epoch", "", static_cast<double>(seen.set.epoch));
  text += "# TYPE trellis_losses_to_spare gauge\n";
  text += gauge("trellis_losses_to_spare", "", static_cast<double>(membership::losses_to_spare(seen.set, seen.voters)));
  text +=
      "# TYPE trellis_voter_voting gauge\n# TYPE trellis_voter_catching_up gauge\n"
      "# TYPE trellis_voter_leaving gauge\n# TYPE trellis_voter_contact_age_seconds gauge\n";
  for (membership::VoterStatus const& status : seen.voters) {
    std::string const labels = "{voter=\"" + status.voter.address + "\"}";
    text += gauge("trellis_voter_voting", labels, status.voting ? 1 : 0);
    text += gauge("trellis_voter_catching_up", labels, status.catching_up ? 1 : 0);
    text += gauge("trellis_voter_leaving", labels, status.leaving ? 1 : 0);
    if (status.contact.has_value()) {
      text += gauge("trellis_voter_contact_age_seconds", labels, static_cast<double>(*status.contact) / 1e6);
    }
  }
  return text;
}

}  // namespace finchlink::control_plane
