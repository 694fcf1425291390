#include "common/log/log.hpp"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>

namespace finchlink::common {

namespace trivial = boost::log::trivial;

namespace {
std::string& prefix() {
  static std::string text;
  return text;
}

trivial::severity_level severity(Level level) {
  switch (level) {
    case Level::debug:
      return trivial::debug;
    case Level::info:
      return trivial::info;
    case Level::warning:
      return trivial::warning;
    case Level::error:
      return trivial::error;
  }
  return trivial::info;
}
}  // namespace

std::vector<EventEntry> const& event_catalogue() {
  static std::vector<EventEntry> const entries{
#define FINCHLINK_EVENT(number, name, level, meaning) EventEntry{Event::name, #name, Level::level, meaning},
#include "common/log/events.def"
#undef FINCHLINK_EVENT
  };
  return entries;
}

void start_log(std::string_view program, std::string_view name, std::string_view level) {
  prefix() = std::string(program) + "/" + std::string(name);
  boost::log::add_common_attributes();
  boost::log::add_console_log(std::clog, boost::log::keywords::format = "%TimeStamp% %Message%",
                              boost::log::keywords::auto_flush = true);
  trivial::severity_level const least = level == "debug"     ? trivial::debug
                                        : level == "warning" ? trivial::warning
                                        : level == "error"   ? trivial::error
                                                             : trivial::info;
  boost::log::core::get()->set_filter(trivial::severity >= least);
}

void log_event(Event event, std::string const& details) {
  for (EventEntry const& entry : event_catalogue()) {
    if (entry.event == event) {
      BOOST_LOG_SEV(trivial::logger::get(), severity(entry.level))
          << "E" << static_cast<int>(event) << " " << entry.name << " " << prefix() << " " << details;
      return;
    }
  }
}

}  // namespace finchlink::common
