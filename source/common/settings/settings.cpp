#include "common/settings/settings.hpp"

#include <boost/program_options.hpp>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "common/error/error.hpp"
#include "common/json/tree.hpp"
#include "common/net/net.hpp"

namespace finchlink::common {

namespace options = boost::program_options;

namespace {
std::string upper(std::string text) {
  for (char& letter : text) {
    letter = static_cast<char>(letter >= 'a' && letter <= 'z' ? letter - 'a' + 'A' : letter);
  }
  return text;
}

std::string hyphenated(std::string text) {
  for (char& letter : text) {
    letter = letter == '_' ? '-' : letter;
  }
  return text;
}

/// Sets a field from the text of a flag or variable, with the field's JSON type.
void overlay(cJSON* object, schema::Flag const& flag, std::vector<std::string> const& texts) {
  cJSON_DeleteItemFromObjectCaseSensitive(object, flag.name);
  if (flag.many) {
    cJSON* list = cJSON_AddArrayToObject(object, flag.name);
    for (std::string const& text : texts) {
      cJSON_AddItemToArray(list, cJSON_CreateString(text.c_str()));
    }
    return;
  }
  std::string const& text = texts.back();
  char* end = nullptr;
  double const value = std::strtod(text.c_str(), &end);
  if (flag.number && end != text.c_str() && *end == '\0') {
    cJSON_AddNumberToObject(object, flag.name, value);
  } else {
    cJSON_AddStringToObject(object, flag.name, text.c_str());
  }
}

std::vector<std::string> split_commas(std::string const& text) {
  std::vector<std::string> result;
  std::stringstream stream(text);
  std::string part;
  while (std::getline(stream, part, ',')) {
    result.push_back(part);
  }
  return result;
}

void check_address(std::string const& field, std::string const& value, std::vector<Fault>& faults) {
  if (!value.empty() && !read_endpoint(value).ok()) {
    faults.push_back(Fault{"/" + field, "must be IP:PORT"});
  }
}
}  // namespace

void keep_command_line_options(schema::Settings const& given, schema::Settings& read) {
  read.scaler = given.scaler;
  read.scaler_window_ms = given.scaler_window_ms;
  read.scaler_slices = given.scaler_slices;
  read.scaler_hold_ms = given.scaler_hold_ms;
  read.scaler_warm_up_ms = given.scaler_warm_up_ms;
  read.scaler_refit_ms = given.scaler_refit_ms;
  read.scaler_step = given.scaler_step;
  read.without = given.without;
}

absl::StatusOr<Invocation> read_invocation(int count, char const* const* values, std::string const& program,
                                           std::vector<std::string> const& needed) {
  Invocation invocation;
  options::options_description visible(program + " [flags]");
  visible.add_options()("help", "this text")("version", "the version")("check", "check the settings, then stop")(
      "events", "print the catalogue of log events")("settings", options::value<std::string>(), "settings file (JSON)");
  for (schema::Flag const& flag : schema::flags) {
    visible.add_options()(hyphenated(flag.name).c_str(), options::value<std::vector<std::string>>()->composing(),
                          flag.about);
  }
  options::options_description hidden;
  hidden.add_options()("words", options::value<std::vector<std::string>>());
  options::options_description all;
  all.add(visible).add(hidden);
  options::positional_options_description positional;
  positional.add("words", -1);
  options::variables_map found;
  try {
    options::store(options::command_line_parser(count, values).options(all).positional(positional).run(), found);
    options::notify(found);
  } catch (options::error const& error) {
    return make_error(absl::StatusCode::kInvalidArgument, "flags", error.what());
  }
  std::stringstream text;
  text << visible;
  invocation.help_text = text.str();
  invocation.help = found.count("help") > 0;
  invocation.version = found.count("version") > 0;
  invocation.check = found.count("check") > 0;
  invocation.events = found.count("events") > 0;
  if (found.count("words") > 0) {
    invocation.words = found["words"].as<std::vector<std::string>>();
  }
  if (invocation.help || invocation.version || invocation.events) {
    return invocation;
  }
  Tree object(cJSON_CreateObject());
  if (found.count("settings") > 0) {
    std::string const path = found["settings"].as<std::string>();
    std::ifstream file(path);
    std::stringstream content;
    content << file.rdbuf();
    if (!file) {
      return make_error(absl::StatusCode::kInvalidArgument, "settings", path + " can't be read");
    }
    absl::StatusOr<Tree> tree = read_tree(content.str());
    if (!tree.ok() || cJSON_IsObject(tree->get()) == 0) {
      return make_error(absl::StatusCode::kInvalidArgument, "settings", path + " is not a JSON object");
    }
    object = std::move(*tree);
  }
  for (schema::Flag const& flag : schema::flags) {
    char const* const variable = std::getenv(("FINCHLINK_" + upper(flag.name)).c_str());
    if (variable != nullptr) {
      std::vector<std::string> const texts = flag.many ? split_commas(variable) : std::vector<std::string>{variable};
      if (!texts.empty()) {
        overlay(object.get(), flag, texts);
      }
    }
    std::string const name = hyphenated(flag.name);
    if (found.count(name) > 0) {
      std::vector<std::string> texts;
      for (std::string const& given : found[name].as<std::vector<std::string>>()) {
        std::vector<std::string> const more = flag.many ? split_commas(given) : std::vector<std::string>{given};
        texts.insert(texts.end(), more.begin(), more.end());
      }
      overlay(object.get(), flag, texts);
    }
  }
  std::vector<Fault> faults;
  schema::read(object.get(), "", invocation.settings, faults);
  schema::Settings const& settings = invocation.settings;
  check_address("http_address", settings.http_address, faults);
  check_address("colleague_address", settings.colleague_address, faults);
  check_address("platform_address", settings.platform_address, faults);
  for (std::size_t index = 0; index < settings.seeds.size(); ++index) {
    check_address("seeds/" + std::to_string(index), settings.seeds[index], faults);
  }
  if (invocation.words.empty()) {
    for (std::string const& field : needed) {
      bool const missing = (field == "name" && settings.name.empty()) || (field == "hall" && settings.hall.empty()) ||
                           (field == "http_address" && settings.http_address.empty()) ||
                           (field == "colleague_address" && settings.colleague_address.empty()) ||
                           (field == "platform_address" && settings.platform_address.empty()) ||
                           (field == "seeds" && settings.seeds.empty());
      if (missing) {
        faults.push_back(Fault{"/" + field, "is missing"});
      }
    }
  }
  if (!faults.empty()) {
    return make_error(absl::StatusCode::kInvalidArgument, "settings", describe(faults));
  }
  return invocation;
}

}  // namespace finchlink::common
