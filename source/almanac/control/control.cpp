#include "almanac/control/control.hpp"

#include "almanac/history/history.hpp"

#include <algorithm>

#include "config/change/proposal.hpp"
#include "consensus/transfer/value_receiver.hpp"
#include "consensus/transfer/value_sender.hpp"
#include "loam/constants.hpp"
#include "loam/json/tree.hpp"
#include "loam/wire/pack.hpp"
#include "membership/reconfiguration/reconfiguration.hpp"
#include "membership/reconfiguration/voter_looks.hpp"

namespace finchlink::almanac {

namespace constants = loam::constants;
using loam::Moment;
using loam::Span;

namespace {

/// Contents are smaller than values with their marks by about as much.
constexpr std::size_t news_part = 16;
constexpr std::size_t ring_files = 3;
constexpr std::size_t ring_bytes = 1u << 17u;
constexpr Span departure_grace = loam::milliseconds(7700);
constexpr Span hurried_look = loam::milliseconds(150);
char const* const first_setup = R"({"regions":{"r":{"halls":["h"]}},"rules":{}})";

class World {
 public:
  World(ControlOptions const& options, Kernel& kernel) : options_(options), kernel_(kernel) {}
  void begin();
  ControlReport run();
  void end_day(Moment at);
  ControlReport finish();
  void check_leases();
  bool vouched(std::size_t furrow) {
    return furrows_[furrow]->alive && furrows_[furrow]->vouch.vouched(local(*furrows_[furrow]));
  }

 private:
  using Reply = std::function<void(std::optional<schema::Message> const&)>;

  struct Job {
    std::vector<schema::Record> records;
    schema::Message reply;
    Reply send;
  };
  /// One machine: a trellis, with a disk a holder as well.
  struct Machine {
    std::string address;
    bool disk = false;
    bool alive = true;
    bool frozen = false;
    std::uint64_t life = 0;
    Moment offset = 0;
    double rate = 1.0;
    std::vector<std::function<void()>> deferred;
    std::unique_ptr<MemoryDisk> memory;
    std::unique_ptr<consensus::WriteAheadLog> ring;
    std::optional<consensus::Acceptor> holder;
    std::uint64_t last_incarnation = 0;
    schema::VoterSet last_set;
    bool silent = false;
    std::deque<Job> jobs;
    bool working = false;
    Span disk_delay = loam::milliseconds(2);
    bool disk_stalled = false;
    std::uint64_t identity = 0;
    schema::VoterSet set;
    consensus::MajorityReader confirm;
    membership::VoterLooks looks;
    std::unique_ptr<lease::LeaseHolder> tenant;
    std::map<std::string, membership::Peer> peers;  ///< by address, as gossip told of them
    std::optional<membership::Departure> departure;
    Moment departing_from = 0;
    bool for_good = false;  ///< once it goes, it is gone
    bool gone = false;
    std::set<std::string> fetching;      ///< registers whose newest value is on its way
    bool fetching_image = false;         ///< a value that images left out is on its way
    consensus::ValueSender news_sender;  ///< of contents that furrows fetch
  };
  struct Furrow {
    std::string name;
    std::size_t number = 0;
    bool alive = true;
    bool frozen = false;
    std::uint64_t life = 0;
    Moment offset = 0;
    double rate = 1.0;
    std::vector<std::function<void()>> deferred;
    membership::FreshnessLease vouch;
    std::size_t turn = 0;
    std::set<std::string> fetching;
    std::map<std::string, schema::NamedValue> fetched;
    std::uint64_t shown = 0;  ///< newest revision whose effect this node has shown, over all its lives
  };

  // --- time and network ---
  template <class Node>
  Moment local(Node const& node) const {
    return node.offset + static_cast<Moment>(static_cast<double>(kernel_.now()) * node.rate);
  }
  template <class Node>
  void later(Node& node, Span span, std::function<void()> event) {
    std::uint64_t const life = node.life;
    kernel_.after(span, [this, &node, life, event = std::move(event)] { on(node, life, event); });
  }
  template <class Node>
  void on(Node& node, std::uint64_t life, std::function<void()> const& event) {
    if (!node.alive || node.life != life) {
      return;
    }
    if (node.frozen) {
      node.deferred.push_back([this, &node, life, event] { on(node, life, event); });
      return;
    }
    event();
  }
  template <class Node>
  void thaw(Node& node) {
    node.frozen = false;
    std::vector<std::function<void()>> events;
    events.swap(node.deferred);
    for (std::function<void()> const& event : events) {
      event();
    }
  }
  bool cut(std::string const& from, std::string const& to) const {
    return cuts_.count({from, to}) > 0 || (split_.count(from) != split_.count(to));
  }
  Span delay() {
    return kernel_.chance(0.02) ? kernel_.between(0, options_.faults.delay_most * 20)
                                : kernel_.between(200, options_.faults.delay_most);
  }

  template <class Node>
  void call(Node& from, std::string const& from_name, std::string const& to, schema::Message const& message,
            Span deadline, Reply done) {
    std::uint64_t const life = from.life;
    std::shared_ptr<bool> const over = std::make_shared<bool>(false);
    Reply const finish = [this, &from, life, over, done](std::optional<schema::Message> const& answer) {
      on(from, life, [over, done, answer] {
        if (!*over) {
          *over = true;
          done(answer);
        }
      });
    };
    kernel_.after(deadline, [finish] { finish(std::nullopt); });
    int const copies = kernel_.chance(options_.faults.duplicate) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      kernel_.after(delay(), [this, from_name, to, message, finish] {
        Machine* const target = machine_at(to);
        if (target == nullptr || cut(from_name, to)) {
          return;
        }
        on(*target, target->life, [this, target, from_name, to, message, finish] {
          receive(*target, message, [this, from_name, to, finish](std::optional<schema::Message> const& answer) {
            if (answer.has_value()) {
              kernel_.after(delay(), [this, from_name, to, finish, answer] {
                if (!cut(to, from_name)) {
                  finish(answer);
                }
              });
            }
          });
        });
      });
    }
  }
  Machine* machine_at(std::string const& address) {
    for (std::unique_ptr<Machine> const& machine : machines_) {
      if (machine->address == address) {
        return machine.get();
      }
    }
    return nullptr;
  }

  struct ChangeRun;

  // --- transfers in pieces (section 5.8) ---
  using Whole = std::function<void(std::optional<std::string> const&)>;
  /// As consensus::run_transfer does it; gives up when nobody has it any more.
  template <class Node>
  void fetch(Node& node, std::string const& name, std::shared_ptr<consensus::ValueReceiver> const& receiver,
             Whole const& done) {
    if (receiver->source().empty()) {
      done(std::nullopt);
      return;
    }
    std::size_t const before = receiver->received();
    call(node, name, receiver->source(), receiver->request(), constants::piece_deadline,
         [this, &node, name, receiver, done, before](std::optional<schema::Message> const& answer) {
           consensus::TransferState const state =
               answer.has_value() ? receiver->receive(*answer) : receiver->no_answer();
           if (state != consensus::TransferState::under_way) {
             bool const whole = state == consensus::TransferState::whole;
             report_.transfers += whole ? 1 : 0;
             done(whole ? std::optional<std::string>(receiver->take()) : std::nullopt);
             return;
           }
           later(node, receiver->received() > before ? 0 : constants::piece_pause,
                 [this, &node, name, receiver, done] { fetch(node, name, receiver, done); });
         });
  }
  void fetch_chosen(Machine& machine, consensus::MissingChosen const& missing);
  void fetch_needed(std::shared_ptr<ChangeRun> const& run, consensus::NeededValue const& needed);
  void enrol(Machine& machine, std::shared_ptr<std::vector<schema::Image>> const& images);
  void fetch_contents(Furrow& furrow, schema::NewsAnswer const& answer, std::string const& from);
  [[nodiscard]] std::size_t piece_bytes() const {
    return options_.inline_bytes == 0 ? constants::transfer_piece_bytes : 2 * options_.inline_bytes;
  }

  // --- holder on its disk ---
  void receive(Machine& machine, schema::Message const& message, Reply const& reply);
  void submit(Machine& machine, consensus::Outcome outcome, Reply const& reply);
  void work(Machine& machine);
  void boot(Machine& machine);
  void stand_up(Machine& machine);

  // --- trellis ---
  void learn(Machine& machine, schema::VoterSet const& set) {
    if (set.epoch > machine.set.epoch) {
      machine.set = set;
      std::map<std::uint64_t, schema::VoterSet>::const_iterator const known = sets_.try_emplace(set.epoch, set).first;
      if (!(known->second.holders == set.holders)) {
        violate("epoch " + std::to_string(set.epoch) + " has two holder sets, seen at " + machine.address);
      }
    }
  }
  void confirm_loop(Machine& machine);
  void spread(Machine& machine);
  void join(Machine& machine);
  void look_at_voters(Machine& machine, Span look, std::function<void()> const& again);
  void take_place(Machine& machine);
  /// A voter set that this machine proposed was chosen; the history of `holders` is told.
  void note_reconfiguration(consensus::Chosen const& chosen, Moment began);

  // --- gossip and departures ---
  schema::TrellisEntry entry_of(Machine const& machine) const;
  static std::vector<membership::Peer> peers_of(Machine const& machine);
  void note_peer(Machine& machine, schema::TrellisEntry const& entry);
  void gossip(Machine& machine);
  void gossip_loop(Machine& machine);
  void leave(Machine& machine, bool for_good);
  void depart_loop(Machine& machine);
  Machine& add_machine();
  std::vector<Machine*> newest_voters();
  void replace_planned();
  void strike_behind(Machine& leaver, Machine& newcomer, std::vector<Machine*> const& others);
  void lease_loop(Machine& machine);
  void start_change(Machine& machine, std::string const& name, consensus::ProposalFunction propose, Span deadline,
                    std::function<void(std::variant<consensus::Chosen, consensus::Rejected, std::monostate>)> done);
  void try_change(std::shared_ptr<ChangeRun> const& run);
  void begin_ballot(std::shared_ptr<ChangeRun> const& run, bool fetched = false);
  void answer_ask(Machine& machine, schema::NewsAsk const& ask, Moment arrival, Reply const& reply);

  // --- furrow and operators ---
  void begin_furrow(Furrow& furrow);
  void ask_loop(Furrow& furrow);
  void query_loop(Furrow& furrow);
  void operator_loop(std::size_t number);
  void put(std::size_t number, std::optional<std::uint64_t> expected, std::function<void(bool acknowledged)> done);
  void acknowledged(std::string const& id, std::uint64_t revision, std::uint64_t floor, Moment began);
  void outcome_of(std::string const& id);
  void read(std::function<void(std::uint64_t)> done);
  /// Calls back once a majority confirmed all registers after now.
  void when_confirmed(Machine& machine, std::function<void()> done);
  schema::Value known(Machine const& machine, std::string const& name) const;
  void begin_orders();

  // --- faults and checks ---
  void faults();
  void on_change(std::uint64_t revision);
  void bring_back(Machine& machine);
  void watch_catch_up(Machine& machine, std::uint64_t revision, Moment since);
  void repeat(double mean, std::function<void()> fault);
  void kill(Machine& machine);
  void revive(Machine& machine);
  void wipe(Machine& machine);
  void lose_disk(Machine& machine);
  bool may_wipe() const;
  Machine& any_machine();
  void heal();
  void violate(std::string const& text);
  void observe(schema::Value const& value, std::string const& where);
  void check_recovery(Moment since, std::function<void(Span)> done);

  ControlOptions options_;
  Kernel& kernel_;
  std::uint64_t final_revision_ = 0;
  bool final_put_ = false;
  ControlReport report_;
  std::vector<std::unique_ptr<Machine>> machines_;
  std::vector<std::unique_ptr<Furrow>> furrows_;
  std::vector<std::string> founders_;
  std::set<std::pair<std::string, std::string>> cuts_;
  std::set<std::string> split_;
  std::unique_ptr<OperatorModel> orders_;      ///< operators of charters and evacuations
  History history_;                            ///< what operators were told of the setup
  std::map<std::string, HistoryEntry> asked_;  ///< changes by id, told or not
  bool calm_ = false;
  bool has_setup_ = false;
  std::uint64_t next_id_ = 1;
  std::uint64_t next_address_ = 100;
  bool replacing_ = false;                          ///< a planned replacement and what comes behind it are under way
  std::map<std::uint64_t, schema::VoterSet> sets_;  ///< epoch to holder set: only ever one
  std::map<std::uint64_t, std::string> contents_;   ///< revision to content: only ever one
  std::map<std::uint64_t, std::string> owners_;     ///< revision to the change that made it
  std::map<std::string, std::uint64_t> accepted_;   ///< acknowledged ids
  std::set<std::string> rejected_;                  ///< ids told "rejected"
  std::uint64_t floor_ = 0;                         ///< newest revision that a finished ask showed
  std::uint64_t in_force_ = 0;                      ///< newest acknowledged revision
  std::uint64_t lease_owner_ = 0;
};

void World::violate(std::string const& text) {
  kernel_.trace("VIOLATION " + text);
  if (report_.violations.size() < 20) {
    report_.violations.push_back("at " + std::to_string(kernel_.now()) + " us: " + text);
  }
}

void World::observe(schema::Value const& value, std::string const& where) {
  if (value.revision == 0) {
    return;
  }
  std::map<std::uint64_t, std::string>::const_iterator const found = contents_.find(value.revision);
  if (found == contents_.end()) {
    bool const newest = contents_.empty() || value.revision > contents_.rbegin()->first;
    contents_[value.revision] = value.content;
    for (std::uint64_t next = report_.changes + 1; newest && next <= value.revision; ++next) {
      on_change(next);  // each once, also those that nobody was seen to hold
    }
    if (options_.seen) {
      options_.seen(value.revision, value.content);
    }
  } else if (found->second != value.content) {
    violate("revision " + std::to_string(value.revision) + " has two contents, seen at " + where);
  }
  has_setup_ = has_setup_ || !value.content.empty();
  for (schema::ChangeMark const& mark : value.marks) {
    if (mark.revision > 0) {
      std::string& owner = owners_[mark.revision];
      if (!owner.empty() && owner != mark.id) {
        violate("revision " + std::to_string(mark.revision) + " is of two changes, seen at " + where);
      }
      owner = mark.id;
    }
    if (mark.revision > 0 && rejected_.count(mark.id) > 0) {
      violate("rejected change " + mark.id + " took effect, seen at " + where);
    }
  }
}

void World::boot(Machine& machine) {
  ++machine.life;
  machine.alive = true;
  machine.frozen = false;
  machine.deferred.clear();
  machine.jobs.clear();
  machine.working = false;
  machine.silent = false;
  machine.identity = (kernel_.draw() >> 12u) + 1;
  machine.set = schema::VoterSet{};
  machine.confirm = consensus::MajorityReader(options_.guards);
  machine.fetching.clear();
  machine.fetching_image = false;
  machine.news_sender = consensus::ValueSender(options_.inline_bytes == 0 ? constants::transfer_piece_bytes
                                                                          : options_.inline_bytes / news_part);
  machine.looks.clear();
  machine.peers.clear();
  machine.departure.reset();
  machine.tenant = std::make_unique<lease::LeaseHolder>("duty/repair", machine.identity, options_.guards);
  if (machine.disk) {
    machine.ring = std::make_unique<consensus::WriteAheadLog>(machine.memory->device(), ring_files, ring_bytes);
    absl::StatusOr<std::vector<schema::Record>> records = machine.ring->recover();
    if (!records.ok()) {
      violate("a torn disk was taken for a broken one: " + std::string(records.status().message()));
      machine.silent = true;
    } else if (records->empty() && !options_.guards.blank_has_no_vote && machine.last_set.epoch > 0) {
      // The guard off: it takes up its old name and vote with nothing on disk.
      std::vector<schema::Record> const claimed{schema::FoundingRecord{machine.last_incarnation, {}, {}},
                                                schema::SetRecord{machine.last_set, true, true}};
      machine.holder.emplace(claimed, machine.address, founders_, local(machine), options_.guards);
    } else if (records->empty()) {
      machine.holder.emplace((kernel_.draw() >> 12u) + 1, machine.address, founders_, local(machine), options_.guards);
      std::vector<schema::Record> const image = machine.holder->image();
      machine.silent = !machine.ring->append(image, [&image] { return image; }).ok();
    } else {
      machine.holder.emplace(*records, machine.address, founders_, local(machine), options_.guards);
    }
    if (machine.holder.has_value() && options_.inline_bytes > 0) {
      machine.holder->limit_inline(options_.inline_bytes, piece_bytes());
    }
    if (machine.holder.has_value() && options_.learn_beyond_seeds) {
      learn(machine, machine.holder->set());
    }
    stand_up(machine);
  }
  confirm_loop(machine);
  spread(machine);
  lease_loop(machine);
  join(machine);
  if (options_.faults.replace > 0) {
    gossip_loop(machine);
  }
}

void World::submit(Machine& machine, consensus::Outcome outcome, Reply const& reply) {
  if (!outcome.reply.has_value()) {
    outcome.reply = schema::Unknown{};
  }
  if (outcome.records.empty() && machine.jobs.empty()) {
    reply(outcome.reply);
    return;
  }
  if (machine.jobs.size() >= constants::disk_waitlist) {
    return;
  }
  if (!options_.guards.sync_before_reply) {
    reply(outcome.reply);
    machine.jobs.push_back(Job{outcome.records, *outcome.reply, nullptr});
  } else {
    machine.jobs.push_back(Job{outcome.records, *outcome.reply, reply});
  }
  work(machine);
}

void World::work(Machine& machine) {
  if (machine.working || machine.jobs.empty() || machine.silent || machine.disk_stalled) {
    return;
  }
  machine.working = true;
  later(machine, kernel_.between(200, machine.disk_delay * 2), [this, &machine] {
    machine.working = false;
    if (machine.jobs.empty() || machine.disk_stalled) {
      return;
    }
    Job const job = machine.jobs.front();
    machine.jobs.pop_front();
    absl::Status status = absl::OkStatus();
    if (!job.records.empty()) {
      status = machine.ring->append(job.records, [&machine] { return machine.holder->image(); });
    }
    if (!status.ok()) {
      machine.silent = true;
      return;
    }
    if (job.send) {
      job.send(job.reply);
    }
    work(machine);
  });
}

void World::receive(Machine& machine, schema::Message const& message, Reply const& reply) {
  if (schema::NewsAsk const* const ask = std::get_if<schema::NewsAsk>(&message)) {
    answer_ask(machine, *ask, local(machine), reply);
    return;
  }
  if (schema::Tell const* const tell = std::get_if<schema::Tell>(&message)) {
    note_peer(machine, tell->from);
    schema::Told told;
    told.from = entry_of(machine);
    reply(schema::Message(told));
    return;
  }
  schema::PieceRequest const* const piece = std::get_if<schema::PieceRequest>(&message);
  if (piece != nullptr && piece->key.revision != 0) {
    consensus::TransferSource const source = [&machine](schema::TransferKey const& key) -> std::optional<std::string> {
      std::map<std::string, schema::Value>::const_iterator const value = machine.confirm.values().find(key.name);
      return value != machine.confirm.values().end() && value->second.revision == key.revision
                 ? std::optional<std::string>(value->second.content)
                 : std::nullopt;
    };
    reply(schema::Message(machine.news_sender.answer(*piece, source, local(machine))));
    return;
  }
  if (!machine.holder.has_value() || machine.silent) {
    return;
  }
  submit(machine, machine.holder->receive(message, local(machine)), reply);
}

void World::stand_up(Machine& machine) {
  later(machine, constants::founding_pause, [this, &machine] {
    stand_up(machine);
    if (machine.silent || !machine.holder.has_value()) {
      return;
    }
    Reply const ignore = [](std::optional<schema::Message> const&) {};
    if (machine.holder->wants_founding()) {
      std::shared_ptr<std::vector<schema::FoundingAnswer>> const answers =
          std::make_shared<std::vector<schema::FoundingAnswer>>();
      for (std::string const& founder : founders_) {
        if (founder != machine.address) {
          call(machine, machine.address, founder, machine.holder->founding_ask(), constants::holder_deadline,
               [this, &machine, answers, ignore](std::optional<schema::Message> const& answer) {
                 if (answer.has_value() && std::holds_alternative<schema::FoundingAnswer>(*answer)) {
                   answers->push_back(std::get<schema::FoundingAnswer>(*answer));
                   submit(machine, machine.holder->founding(*answers, local(machine)), ignore);
                 }
               });
        }
      }
    } else if (machine.holder->wants_image()) {
      std::shared_ptr<std::vector<schema::Image>> const images = std::make_shared<std::vector<schema::Image>>();
      for (schema::Voter const& source : machine.holder->image_sources()) {
        call(machine, machine.address, source.address, machine.holder->image_ask(), constants::holder_deadline,
             [this, &machine, images](std::optional<schema::Message> const& answer) {
               if (answer.has_value() && std::holds_alternative<schema::Image>(*answer)) {
                 images->push_back(std::get<schema::Image>(*answer));
                 enrol(machine, images);
               }
             });
      }
    }
  });
}

void World::enrol(Machine& machine, std::shared_ptr<std::vector<schema::Image>> const& images) {
  if (machine.silent || !machine.holder.has_value()) {
    return;
  }
  std::vector<consensus::MissingValue> const missing = machine.holder->missing(*images);
  if (missing.empty() || !options_.guards.values_whole) {
    submit(machine, machine.holder->enrol(*images, local(machine)), [](std::optional<schema::Message> const&) {});
    return;
  }
  if (machine.fetching_image || !machine.holder->images_suffice(*images)) {
    return;
  }
  machine.fetching_image = true;
  std::vector<std::string> addresses;
  for (schema::Voter const& source : machine.holder->image_sources()) {
    for (std::uint64_t const incarnation : missing.front().sources) {
      if (source.incarnation == incarnation) {
        addresses.push_back(source.address);
      }
    }
  }
  consensus::MissingValue const value = missing.front();
  std::shared_ptr<consensus::ValueReceiver> const receiver =
      std::make_shared<consensus::ValueReceiver>(schema::TransferKey{value.name, value.digest, 0}, addresses);
  fetch(machine, machine.address, receiver, [this, &machine, images, value](std::optional<std::string> const& bytes) {
    machine.fetching_image = false;
    if (bytes.has_value()) {
      consensus::supply(*images, value.name, value.digest, *loam::unpack<schema::Value>(*bytes));
      enrol(machine, images);
    }
  });
}

void World::fetch_chosen(Machine& machine, consensus::MissingChosen const& missing) {
  if (!machine.fetching.insert(missing.name).second) {
    return;
  }
  std::vector<std::string> addresses;
  for (schema::Voter const& holder : machine.set.holders) {
    if (std::find(missing.sources.begin(), missing.sources.end(), holder.incarnation) != missing.sources.end()) {
      addresses.push_back(holder.address);
    }
  }
  std::shared_ptr<consensus::ValueReceiver> const receiver =
      std::make_shared<consensus::ValueReceiver>(schema::TransferKey{missing.name, missing.digest, 0}, addresses);
  fetch(machine, machine.address, receiver, [this, &machine, missing](std::optional<std::string> const& bytes) {
    machine.fetching.erase(missing.name);
    if (bytes.has_value()) {
      schema::Value const value = *loam::unpack<schema::Value>(*bytes);
      machine.confirm.learn(missing.name, missing.accepted, value);
      if (missing.name == consensus::setup_register) {
        observe(value, machine.address);
      }
    }
  });
}

void World::confirm_loop(Machine& machine) {
  later(machine, constants::confirm_pause, [this, &machine] {
    confirm_loop(machine);
    if (machine.set.epoch == 0) {
      // The seeds, and one that told us of itself since we are up.
      std::vector<std::string> asked = founders_;
      if (options_.learn_beyond_seeds) {
        asked.push_back(machines_[kernel_.below(machines_.size())]->address);
      }
      for (std::string const& founder : asked) {
        call(machine, machine.address, founder, schema::Read{0, {}, 0}, constants::holder_deadline,
             [this, &machine](std::optional<schema::Message> const& answer) {
               if (answer.has_value() && std::holds_alternative<schema::Refused>(*answer)) {
                 learn(machine, std::get<schema::Refused>(*answer).set);
               }
             });
      }
      return;
    }
    for (consensus::MajorityReaderAction const& action : machine.confirm.begin(machine.set, local(machine))) {
      consensus::SendRead const& send = std::get<consensus::SendRead>(action);
      call(machine, machine.address, send.to.address, send.read, constants::holder_deadline,
           [this, &machine](std::optional<schema::Message> const& answer) {
             if (!answer.has_value()) {
               return;
             }
             for (consensus::MajorityReaderAction const& result : machine.confirm.receive(*answer)) {
               if (consensus::NewerVoters const* const newer = std::get_if<consensus::NewerVoters>(&result)) {
                 learn(machine, newer->set);
               } else if (consensus::MissingChosen const* const left = std::get_if<consensus::MissingChosen>(&result)) {
                 fetch_chosen(machine, *left);
               } else if (consensus::Unsettled const* const open = std::get_if<consensus::Unsettled>(&result)) {
                 bool const own_lot = options_.inline_bytes == 0 || kernel_.below(constants::settle_lots) == 0;
                 for (std::string const& name : own_lot ? open->names : std::vector<std::string>()) {
                   start_change(
                       machine, name, [](schema::Value const&) -> consensus::Proposal { return consensus::Keep{}; },
                       constants::holder_deadline, nullptr);
                 }
               } else if (std::holds_alternative<consensus::Confirmed>(result)) {
                 observe(known(machine, consensus::setup_register), machine.address);
                 if (orders_ != nullptr) {
                   for (std::pair<std::string const, schema::Value> const& value : machine.confirm.values()) {
                     orders_->observe(value.first, value.second);
                   }
                 }
               }
             }
           });
    }
  });
}

struct World::ChangeRun {
  Machine* machine = nullptr;
  std::unique_ptr<consensus::Proposer> core;
  Moment until = 0;
  bool over = false;
  std::uint64_t tries = 0;
  Span pause_most = constants::ballot_pause_most;
  std::function<void(std::variant<consensus::Chosen, consensus::Rejected, std::monostate>)> done;
};

void World::start_change(
    Machine& machine, std::string const& name, consensus::ProposalFunction propose, Span deadline,
    std::function<void(std::variant<consensus::Chosen, consensus::Rejected, std::monostate>)> done) {
  std::shared_ptr<ChangeRun> const run = std::make_shared<ChangeRun>();
  run->machine = &machine;
  run->core =
      std::make_unique<consensus::Proposer>(name, (kernel_.draw() >> 12u) + 1, std::move(propose), options_.guards);
  run->until = local(machine) + deadline;
  run->done = std::move(done);
  later(machine, deadline, [run] {
    if (!run->over) {
      run->over = true;
      if (run->done) {
        run->done(std::monostate{});
      }
    }
  });
  try_change(run);
}

void World::try_change(std::shared_ptr<ChangeRun> const& run) {
  Machine& machine = *run->machine;
  if (run->over || local(machine) >= run->until) {
    return;
  }
  std::optional<consensus::NeededValue> const needed = run->core->needed();
  if (needed.has_value()) {
    fetch_needed(run, *needed);
  } else {
    begin_ballot(run);
  }
}

void World::fetch_needed(std::shared_ptr<ChangeRun> const& run, consensus::NeededValue const& needed) {
  Machine& machine = *run->machine;
  std::uint64_t const number = ++run->tries;
  std::vector<std::string> addresses;
  for (schema::Voter const& holder : machine.set.holders) {
    if (std::find(needed.sources.begin(), needed.sources.end(), holder.incarnation) != needed.sources.end()) {
      addresses.push_back(holder.address);
    }
  }
  std::shared_ptr<consensus::ValueReceiver> const receiver =
      std::make_shared<consensus::ValueReceiver>(schema::TransferKey{run->core->name(), needed.digest, 0}, addresses);
  fetch(machine, machine.address, receiver, [this, run, number, needed](std::optional<std::string> const& bytes) {
    if (run->over || run->tries != number) {
      return;
    }
    if (bytes.has_value()) {
      run->core->know(needed.accepted, *loam::unpack<schema::Value>(*bytes));
    }
    begin_ballot(run, bytes.has_value());
  });
}

void World::begin_ballot(std::shared_ptr<ChangeRun> const& run, bool fetched) {
  Machine& machine = *run->machine;
  std::uint64_t const number = ++run->tries;
  std::string const& name = run->core->name();
  run->core->start_above(machine.confirm.known(name));
  std::map<std::string, schema::Value>::const_iterator const value = machine.confirm.values().find(name);
  if (value != machine.confirm.values().end() && !fetched) {
    run->core->know(machine.confirm.known(name), value->second);
  }
  std::function<void()> const again = [this, run, number] {
    if (!run->over && run->tries == number) {
      Span const most = run->pause_most;
      if (options_.inline_bytes > 0) {  // rounds that fetch are long: pauses grow, as RegisterClient's do
        run->pause_most = std::min(most * 2, constants::ballot_pause_longest);
      }
      later(*run->machine, kernel_.between(constants::ballot_pause_least, most), [this, run, number] {
        if (run->tries == number) {
          try_change(run);
        }
      });
    }
  };
  if (machine.set.epoch == 0) {
    again();
    return;
  }
  later(machine, constants::holder_deadline, again);
  std::shared_ptr<std::function<void(std::vector<consensus::ProposerAction> const&)>> const perform =
      std::make_shared<std::function<void(std::vector<consensus::ProposerAction> const&)>>();
  std::weak_ptr<std::function<void(std::vector<consensus::ProposerAction> const&)>> const weak = perform;
  *perform = [this, run, number, again, weak](std::vector<consensus::ProposerAction> const& actions) {
    Machine& own = *run->machine;
    std::shared_ptr<std::function<void(std::vector<consensus::ProposerAction> const&)>> const self = weak.lock();
    for (consensus::ProposerAction const& action : actions) {
      if (run->over || run->tries != number) {
        return;
      }
      if (consensus::Send const* const send = std::get_if<consensus::Send>(&action)) {
        std::uint64_t const incarnation = send->to.incarnation;
        call(own, own.address, send->to.address, send->message, constants::holder_deadline,
             [this, run, number, incarnation, self](std::optional<schema::Message> const& answer) {
               if (answer.has_value() && !run->over && run->tries == number) {
                 (*self)(run->core->receive(incarnation, *answer));
                 if (!run->over && run->tries == number && run->core->blocked()) {
                   try_change(run);
                 }
               }
             });
      } else if (consensus::Chosen const* const chosen = std::get_if<consensus::Chosen>(&action)) {
        run->over = true;
        own.confirm.learn(run->core->name(), chosen->ballot, chosen->value);
        if (run->core->name() == consensus::setup_register) {
          observe(chosen->value, own.address);
        }
        if (run->done) {
          run->done(*chosen);
        }
      } else if (consensus::Rejected const* const rejected = std::get_if<consensus::Rejected>(&action)) {
        run->over = true;
        if (run->done) {
          run->done(*rejected);
        }
      } else {
        if (consensus::NewerVoterSet const* const newer = std::get_if<consensus::NewerVoterSet>(&action)) {
          learn(own, newer->set);
        }
        again();
      }
    }
  };
  (*perform)(run->core->begin(machine.set));
}

void World::spread(Machine& machine) {
  later(machine, constants::founding_pause, [this, &machine] {
    spread(machine);
    if (machine.holder.has_value() && !machine.silent && machine.set.epoch > machine.holder->set().epoch &&
        (machine.holder->set().epoch > 0 || machine.set.epoch > 1)) {
      submit(machine, machine.holder->receive(schema::Adopt{machine.set}, local(machine)),
             [](std::optional<schema::Message> const&) {});
    }
    // A refused repair settles what it found, and that is nothing before the first one.
    schema::Value const value = known(machine, consensus::holders_register);
    if (value.revision == 0) {
      return;
    }
    schema::VoterSet next;
    std::vector<loam::Fault> faults;
    schema::read(loam::read_tree(value.content)->get(), "", next, faults);
    if (next.epoch <= machine.set.epoch) {
      return;
    }
    std::vector<schema::Voter> all = next.previous;
    all.insert(all.end(), next.holders.begin(), next.holders.end());
    for (schema::Voter const& entry : all) {
      call(machine, machine.address, entry.address, schema::Adopt{next}, constants::holder_deadline,
           [this, &machine, next](std::optional<schema::Message> const& answer) {
             if (answer.has_value() && std::holds_alternative<schema::Adopted>(*answer) &&
                 std::get<schema::Adopted>(*answer).epoch >= next.epoch) {
               learn(machine, next);
             }
           });
    }
  });
}

void World::lease_loop(Machine& machine) {
  later(machine, constants::tell_pause, [this, &machine] {
    lease_loop(machine);
    for (lease::LeaseHolderAction const& action : machine.tenant->tick(machine.set, local(machine))) {
      if (lease::SendAsk const* const send = std::get_if<lease::SendAsk>(&action)) {
        call(machine, machine.address, send->to.address, send->ask, constants::holder_deadline,
             [this, &machine](std::optional<schema::Message> const& answer) {
               if (answer.has_value() && std::holds_alternative<schema::LeaseAnswer>(*answer)) {
                 (void)machine.tenant->receive(std::get<schema::LeaseAnswer>(*answer), local(machine));
               }
             });
      }
    }
  });
}

void World::join(Machine& machine) {
  later(machine, constants::join_pause,
        [this, &machine] { look_at_voters(machine, constants::join_look, [this, &machine] { join(machine); }); });
}

void World::look_at_voters(Machine& machine, Span look, std::function<void()> const& again) {
  if (machine.set.epoch == 0 || machine.silent || !machine.holder.has_value() || machine.departure.has_value() ||
      consensus::names(machine.set.holders, machine.holder->incarnation())) {
    machine.looks.clear();
    again();
    return;
  }
  // One that was left out knows it before it asks for a place again.
  call(machine, machine.address, machine.address, schema::Adopt{machine.set}, look,
       [](std::optional<schema::Message> const&) {});
  machine.looks.begin(machine.set);
  for (schema::Voter const& entry : machine.set.holders) {
    call(machine, machine.address, entry.address, schema::Adopt{machine.set}, look,
         [&machine, asked = entry.incarnation](std::optional<schema::Message> const& answer) {
           schema::Adopted const* const given = answer.has_value() ? std::get_if<schema::Adopted>(&*answer) : nullptr;
           if (given != nullptr) {
             machine.looks.answered(asked, *given);
           }
         });
  }
  later(machine, look, [this, &machine, again] {
    again();
    take_place(machine);
  });
}

void World::take_place(Machine& machine) {
  if (machine.silent || !machine.holder.has_value() || machine.holder->wants_image() ||
      (machine.set.epoch > 1 && machine.holder->set().epoch < machine.set.epoch)) {
    return;
  }
  membership::JoiningView view{machine.looks.misses(), membership::leaving_voters(peers_of(machine))};
  if (machine.departure.has_value()) {
    view.leaving.insert(machine.holder->incarnation());
  }
  std::optional<schema::VoterSet> const plan =
      membership::plan_joining(machine.set, view, schema::Voter{machine.holder->incarnation(), machine.address},
                               options_.wanted_holders, options_.joining_guards);
  if (!plan.has_value()) {
    return;
  }
  std::map<std::string, schema::Value>::const_iterator const known =
      machine.confirm.values().find(consensus::holders_register);
  std::uint64_t const newest = known == machine.confirm.values().end() ? 0 : known->second.revision;
  // The guard off: it expects what the register holds, not what it replaces.
  consensus::ProposalFunction const propose =
      options_.repair_fenced ? membership::reconfiguration_proposal(machine.set, *plan)
                             : consensus::replace_at(newest, loam::print_tree(loam::Tree(schema::write(*plan)).get()));
  Moment const began = kernel_.now();
  start_change(machine, consensus::holders_register, propose, constants::change_deadline,
               [this, began](ChangeEnd const& result) {
                 if (consensus::Chosen const* const chosen = std::get_if<consensus::Chosen>(&result)) {
                   note_reconfiguration(*chosen, began);
                 }
               });
}

void World::note_reconfiguration(consensus::Chosen const& chosen, Moment began) {
  ++report_.repairs;
  kernel_.trace("repair chosen");
  if (orders_ != nullptr) {
    orders_->record(consensus::holders_register,
                    HistoryEntry{HistoryEntry::Kind::write, chosen.value.revision, began, kernel_.now()});
  }
}

schema::TrellisEntry World::entry_of(Machine const& machine) const {
  schema::TrellisEntry entry;
  entry.name = machine.address;
  entry.address = machine.address;
  entry.incarnation = machine.identity;
  entry.disk = machine.disk;
  entry.leaving = machine.departure.has_value();
  if (machine.holder.has_value() && !machine.silent) {
    entry.holder = machine.holder->incarnation();
    entry.voting = machine.holder->voting();
    entry.epoch = machine.holder->set().epoch;
  }
  return entry;
}

std::vector<membership::Peer> World::peers_of(Machine const& machine) {
  std::vector<membership::Peer> peers;
  for (std::pair<std::string const, membership::Peer> const& peer : machine.peers) {
    peers.push_back(peer.second);
  }
  return peers;
}

void World::note_peer(Machine& machine, schema::TrellisEntry const& entry) {
  membership::Peer& peer = machine.peers[entry.address];
  bool const news = entry.leaving && !peer.entry.leaving;
  peer = membership::Peer{entry, local(machine)};
  if (news) {
    look_at_voters(machine, hurried_look, [] {});
  }
}

void World::gossip(Machine& machine) {
  schema::Tell tell;
  tell.from = entry_of(machine);
  for (std::unique_ptr<Machine> const& other : machines_) {
    if (other->address != machine.address && !other->gone) {
      call(machine, machine.address, other->address, tell, constants::tell_pause * 2,
           [this, &machine](std::optional<schema::Message> const& answer) {
             if (answer.has_value() && std::holds_alternative<schema::Told>(*answer)) {
               note_peer(machine, std::get<schema::Told>(*answer).from);
             }
           });
    }
  }
}

void World::gossip_loop(Machine& machine) {
  later(machine, constants::tell_pause, [this, &machine] {
    gossip_loop(machine);
    gossip(machine);
  });
}

/// SIGTERM: the machine leaves by agreement, and is killed when the grace ends.
void World::leave(Machine& machine, bool for_good) {
  if (!machine.alive || machine.departure.has_value()) {
    return;
  }
  kernel_.trace("leave " + machine.address);
  machine.for_good = for_good;
  machine.departing_from = kernel_.now();
  bool const voting_disk = machine.holder.has_value() && !machine.silent;
  machine.departure.emplace(voting_disk ? machine.holder->incarnation() : 0, local(machine) + departure_grace,
                            options_.departure_guards);
  for (lease::LeaseHolderAction const& action : machine.tenant->release()) {
    if (lease::SendAsk const* const send = std::get_if<lease::SendAsk>(&action)) {
      call(machine, machine.address, send->to.address, send->ask, constants::holder_deadline,
           [](std::optional<schema::Message> const&) {});
    }
  }
  std::uint64_t const life = machine.life;
  kernel_.after(departure_grace + constants::drain_reserve, [this, &machine, life] {
    if (machine.alive && machine.life == life) {
      ++report_.grace_ends;
      kill(machine);
      machine.gone = machine.for_good;
    }
  });
  depart_loop(machine);
}

void World::depart_loop(Machine& machine) {
  gossip(machine);
  schema::VoterSet const own = machine.holder.has_value() ? machine.holder->set() : schema::VoterSet{};
  membership::DepartureStep const step =
      machine.departure->decide(own.epoch > machine.set.epoch ? own : machine.set, peers_of(machine), local(machine));
  if (membership::stays(step)) {
    later(machine, constants::departure_pause, [this, &machine] { depart_loop(machine); });
    return;
  }
  kernel_.trace(machine.address + " goes: " + membership::name_of(step));
  report_.worst_departure = std::max(report_.worst_departure, kernel_.now() - machine.departing_from);
  kill(machine);
  machine.gone = machine.for_good;
}

void World::answer_ask(Machine& machine, schema::NewsAsk const& ask, Moment arrival, Reply const& reply) {
  membership::NewsBounds bounds;
  if (options_.inline_bytes > 0) {
    bounds.inline_bytes = options_.inline_bytes / news_part;
  }
  membership::NewsDecision const verdict =
      membership::decide_answer(ask, arrival, machine.confirm.confirmed_from(), machine.confirm.values(), false,
                                local(machine), options_.desk_guards, bounds);
  if (verdict.answer.has_value()) {
    reply(schema::Message(*verdict.answer));
    return;
  }
  later(machine, std::min<Span>(verdict.wait + 1, loam::milliseconds(20)),
        [this, &machine, ask, arrival, reply] { answer_ask(machine, ask, arrival, reply); });
}

void World::begin_furrow(Furrow& furrow) {
  ++furrow.life;
  furrow.alive = true;
  furrow.frozen = false;
  furrow.deferred.clear();
  furrow.vouch = membership::FreshnessLease(options_.vouch_guards);
  furrow.fetching.clear();
  furrow.fetched.clear();
  if (options_.lives) {
    options_.lives(furrow.number, true);
  }
  ask_loop(furrow);
  query_loop(furrow);
}

void World::ask_loop(Furrow& furrow) {
  schema::NewsAsk ask;
  ask.member.name = furrow.name;
  ask.member.held = furrow.vouch.held();
  Moment const asked = local(furrow);
  std::string const from = machines_[furrow.turn % machines_.size()]->address;
  call(furrow, furrow.name, from, ask, constants::ask_deadline,
       [this, &furrow, asked, from](std::optional<schema::Message> const& answer) {
         schema::NewsAnswer const* const news =
             answer.has_value() ? std::get_if<schema::NewsAnswer>(&*answer) : nullptr;
         if (news != nullptr) {
           schema::NewsAnswer completed = *news;
           for (std::pair<std::string const, schema::NamedValue> const& entry : furrow.fetched) {
             std::erase_if(completed.news, [&entry](schema::NamedValue const& value) {
               return value.name == entry.first && value.revision == entry.second.revision;
             });
             completed.news.insert(completed.news.begin(), entry.second);
           }
           furrow.fetched.clear();
           fetch_contents(furrow, completed, from);
           for (schema::NamedValue const& value : furrow.vouch.take(completed, asked, local(furrow))) {
             report_.empty_adopted += value.content.empty() && value.withheld > 0 ? 1 : 0;
             kernel_.trace(furrow.name + " adopts " + value.name + " " + std::to_string(value.revision));
             if (options_.adopted && value.name == consensus::setup_register) {
               options_.adopted(furrow.number, value.revision);
             }
           }
         }
         if (news == nullptr || !news->vouched) {
           furrow.turn = kernel_.below(machines_.size());
           later(furrow, constants::ask_retry, [this, &furrow] { ask_loop(furrow); });
         } else if (!furrow.fetching.empty()) {  // what is withheld is answered at once, as news
           later(furrow, constants::ask_retry, [this, &furrow] { ask_loop(furrow); });
         } else {
           ask_loop(furrow);
         }
       });
}

void World::fetch_contents(Furrow& furrow, schema::NewsAnswer const& answer, std::string const& from) {
  for (schema::NamedValue const& news : answer.news) {
    if (news.withheld == 0 || !options_.vouch_guards.contents_whole || !furrow.fetching.insert(news.name).second) {
      continue;
    }
    std::shared_ptr<consensus::ValueReceiver> const receiver = std::make_shared<consensus::ValueReceiver>(
        schema::TransferKey{news.name, {}, news.revision}, std::vector<std::string>{from});
    fetch(furrow, furrow.name, receiver,
          [&furrow, name = news.name, revision = news.revision](std::optional<std::string> const& bytes) {
            furrow.fetching.erase(name);
            if (bytes.has_value()) {
              furrow.fetched[name] = schema::NamedValue{name, revision, *bytes, 0};
            }
          });
  }
}

void World::query_loop(Furrow& furrow) {
  later(furrow, kernel_.between(5000, 40000), [this, &furrow] {
    query_loop(furrow);
    if (!furrow.vouch.vouched(local(furrow))) {
      ++report_.unvouched;
      return;
    }
    std::map<std::string, std::uint64_t>::const_iterator const held =
        furrow.vouch.held().find(consensus::setup_register);
    std::uint64_t const revision = held == furrow.vouch.held().end() ? 0 : held->second;
    if (revision == 0) {
      return;
    }
    ++report_.queries;
    if (revision < in_force_) {
      violate(furrow.name + " serves by revision " + std::to_string(revision) + " though " + std::to_string(in_force_) +
              " was acknowledged");
    }
    if (revision < furrow.shown) {
      violate(furrow.name + " slipped back from revision " + std::to_string(furrow.shown) + " to " +
              std::to_string(revision));
    }
    furrow.shown = std::max(furrow.shown, revision);
  });
}

void World::acknowledged(std::string const& id, std::uint64_t revision, std::uint64_t floor, Moment began) {
  if (revision <= floor && accepted_.count(id) == 0) {
    violate("change " + id + " was taken at revision " + std::to_string(revision) + " though " + std::to_string(floor) +
            " was known before it began");
  }
  ++report_.acknowledged;
  asked_[id].revision = revision;
  asked_[id].ended = kernel_.now();
  accepted_[id] = revision;
  floor_ = std::max(floor_, revision);
  in_force_ = std::max(in_force_, revision);
  if (options_.acknowledged) {
    options_.acknowledged(revision);
  }
  report_.worst_acknowledge = std::max(report_.worst_acknowledge, kernel_.now() - began);
  kernel_.trace("acknowledged " + id + " revision " + std::to_string(revision));
}

void World::put(std::size_t number, std::optional<std::uint64_t> expected, std::function<void(bool)> done) {
  Machine* const machine = &any_machine();
  if (!machine->alive || machine->frozen) {
    done(false);
    return;
  }
  config::WantedChange wanted;
  std::map<std::string, schema::Value>::const_iterator const seen =
      machine->confirm.values().find(consensus::setup_register);
  wanted.id = "c" + std::to_string(next_id_++) + "." +
              std::to_string(seen == machine->confirm.values().end() ? 0 : seen->second.revision);
  wanted.expected = expected;
  wanted.patch = has_setup_;
  wanted.content = !has_setup_ ? (options_.first_setup.empty() ? first_setup : options_.first_setup)
                               : (options_.patch ? options_.patch(wanted.id)
                                                 : R"({"halls":{"h":{"labels":{"mark":")" + wanted.id + "\"}}}}");
  std::uint64_t const floor = floor_;
  Moment const began = kernel_.now();
  std::shared_ptr<bool> const told = std::make_shared<bool>(false);
  std::shared_ptr<config::SetupProposalReport> const note = std::make_shared<config::SetupProposalReport>();
  kernel_.after(constants::change_deadline + constants::acknowledge_wait + loam::seconds(2),
                [this, told, id = wanted.id, done] {
                  if (!*told) {  // the trellis died with it; what became of it is asked for
                    *told = true;
                    ++report_.unknown;
                    outcome_of(id);
                    done(false);
                  }
                });
  asked_[wanted.id] = HistoryEntry{HistoryEntry::Kind::write, 0, began, std::nullopt, expected};
  kernel_.trace("operator " + std::to_string(number) + " puts " + wanted.id);
  start_change(*machine, consensus::setup_register, config::setup_proposal(wanted, note), constants::change_deadline,
               [this, machine, told, wanted, floor, began, note,
                done](std::variant<consensus::Chosen, consensus::Rejected, std::monostate> const& result) {
                 if (*told) {
                   return;
                 }
                 std::uint64_t revision = 0;
                 kernel_.trace("result of " + wanted.id + " is " + std::to_string(result.index()));
                 if (consensus::Chosen const* const chosen = std::get_if<consensus::Chosen>(&result)) {
                   revision = chosen->value.revision;
                 } else if (consensus::Rejected const* const rejected = std::get_if<consensus::Rejected>(&result)) {
                   config::IdStanding const known = config::standing_of(rejected->current, wanted.id);
                   if (known.standing == config::Standing::accepted) {
                     revision = known.revision;
                   } else if (note->end == config::SetupProposalOutcome::forgotten) {
                     ++report_.forgotten;
                   } else {
                     *told = true;
                     ++report_.rejected;
                     if (note->end == config::SetupProposalOutcome::expectation) {
                       history_.push_back(HistoryEntry{HistoryEntry::Kind::refused, *wanted.expected, began,
                                                       kernel_.now(), std::nullopt});
                     }
                     rejected_.insert(wanted.id);
                     kernel_.trace("rejected " + wanted.id);
                     for (std::pair<std::uint64_t const, std::string> const& content : contents_) {
                       if (content.second.find("\"" + wanted.id + "\"") != std::string::npos) {
                         violate("rejected change " + wanted.id + " had taken effect");
                       }
                     }
                     done(false);
                     return;
                   }
                 }
                 if (revision == 0) {
                   *told = true;
                   ++report_.unknown;
                   outcome_of(wanted.id);
                   done(false);
                   return;
                 }
                 later(*machine, options_.acknowledge_waits ? constants::acknowledge_wait : 0,
                       [this, told, wanted, revision, floor, began, done] {
                         if (!*told) {
                           *told = true;
                           acknowledged(wanted.id, revision, floor, began);
                           done(true);
                         }
                       });
               });
}

void World::outcome_of(std::string const& id) {
  Machine* const machine = &any_machine();
  if (!machine->alive || machine->frozen) {
    return;
  }
  later(*machine, constants::change_deadline, [this, machine, id] {
    start_change(*machine, consensus::setup_register, config::veto_of(id), constants::change_deadline,
                 [this, id](std::variant<consensus::Chosen, consensus::Rejected, std::monostate> const& result) {
                   if (consensus::Chosen const* const chosen = std::get_if<consensus::Chosen>(&result)) {
                     config::IdStanding const known = config::standing_of(chosen->value, id);
                     if (known.standing == config::Standing::rejected) {
                       rejected_.insert(id);
                       kernel_.trace("vetoed " + id);
                     } else if (known.standing == config::Standing::accepted) {
                       accepted_[id] = known.revision;
                       floor_ = std::max(floor_, known.revision);
                     } else if (known.standing != config::Standing::forgotten) {
                       violate("the outcome of " + id + " was settled without a mark");
                     }
                   }
                 });
  });
}

void World::read(std::function<void(std::uint64_t)> done) {
  // GET /setup: waits until a majority confirmed after the ask came.
  Machine* const machine = &any_machine();
  if (!machine->alive || machine->frozen) {
    return;
  }
  std::uint64_t const floor = floor_;
  Moment const began = kernel_.now();
  when_confirmed(*machine, [this, machine, floor, began, done] {
    std::uint64_t const revision = known(*machine, consensus::setup_register).revision;
    ++report_.reads;
    history_.push_back(HistoryEntry{HistoryEntry::Kind::read, revision, began, kernel_.now()});
    if (revision < floor) {
      violate("a read gave revision " + std::to_string(revision) + " though " + std::to_string(floor) +
              " was known before");
    }
    floor_ = std::max(floor_, revision);
    done(revision);
  });
}

void World::when_confirmed(Machine& machine, std::function<void()> done) {
  Moment const arrival = local(machine);
  std::shared_ptr<std::function<void(int)>> const look = std::make_shared<std::function<void(int)>>();
  std::weak_ptr<std::function<void(int)>> const weak = look;
  *look = [this, &machine, arrival, weak, done](int left) {
    if (machine.confirm.confirmed_from() >= arrival) {
      done();
    } else if (left > 0) {
      std::shared_ptr<std::function<void(int)>> const self = weak.lock();
      later(machine, loam::milliseconds(20), [self, left] { (*self)(left - 1); });
    }
  };
  (*look)(200);
}

schema::Value World::known(Machine const& machine, std::string const& name) const {
  std::map<std::string, schema::Value>::const_iterator const found = machine.confirm.values().find(name);
  return found == machine.confirm.values().end() ? schema::Value{} : found->second;
}

void World::begin_orders() {
  ClusterAccess access;
  access.nodes = [this] { return machines_.size(); };
  access.alive = [this](std::size_t node) { return machines_[node]->alive; };
  access.deliver = [this](std::size_t node, std::function<void()> const& event) {
    on(*machines_[node], machines_[node]->life, event);
  };
  access.change = [this](std::size_t node, std::string const& name, consensus::ProposalFunction propose,
                         std::function<void(ChangeEnd const&)> const& done) {
    start_change(*machines_[node], name, std::move(propose), constants::change_deadline, done);
  };
  access.value = [this](std::size_t node, std::string const& name) { return known(*machines_[node], name); };
  access.confirmed = [this](std::size_t node, std::function<void()> const& done) {
    when_confirmed(*machines_[node], done);
  };
  access.violate = [this](std::string const& text) { violate(text); };
  orders_ = std::make_unique<OperatorModel>(options_.orders, kernel_, std::move(access));
  orders_->begin();
}

void World::operator_loop(std::size_t number) {
  kernel_.after(static_cast<Span>(kernel_.exponential(options_.operators_pause) * 1e6), [this, number] {
    operator_loop(number);
    double const kind = kernel_.uniform();
    if (kind < 0.4) {
      read([this, number](std::uint64_t revision) {
        if (revision > 0) {  // a race: others may do the same from the same revision
          put(number, revision, [](bool) {});
        }
      });
    } else if (kind < 0.8) {
      put(number, std::nullopt, [](bool) {});
    } else {
      read([](std::uint64_t) {});
    }
  });
}

void World::kill(Machine& machine) {
  if (!machine.alive) {
    return;
  }
  kernel_.trace("kill " + machine.address);
  if (machine.disk && !machine.silent) {
    // What was on its way to the disk is torn anywhere.
    if (!machine.jobs.empty() && kernel_.chance(0.7)) {
      consensus::Device torn = machine.memory->device();
      torn.sync = [](std::size_t) { return absl::OkStatus(); };
      consensus::WriteAheadLog ring(torn, ring_files, ring_bytes);
      if (ring.recover().ok()) {
        (void)ring.append(machine.jobs.front().records, [&machine] { return machine.holder->image(); });
      }
    }
    machine.memory->lose_power(kernel_.below(400));
  }
  machine.alive = false;
  ++machine.life;
  machine.deferred.clear();
  machine.jobs.clear();
  machine.holder.reset();
}

void World::revive(Machine& machine) {
  if (!machine.alive && !machine.gone) {
    kernel_.trace("start " + machine.address);
    boot(machine);
  }
}

bool World::may_wipe() const {
  // One lost disk is to be borne, not two at once: all of the newest set must
  // be up and voting.
  schema::VoterSet newest;
  for (std::unique_ptr<Machine> const& machine : machines_) {
    if (machine->alive && machine->holder.has_value() && machine->holder->set().epoch > newest.epoch) {
      newest = machine->holder->set();
    }
    for (std::pair<std::string const, schema::Value> const& value : machine->confirm.values()) {
      if (value.first == consensus::holders_register && value.second.revision + 1 > newest.epoch) {
        newest.epoch = value.second.revision + 1;
        newest.holders.clear();
      }
    }
  }
  std::size_t voting = 0;
  for (std::unique_ptr<Machine> const& machine : machines_) {
    voting += machine->alive && !machine->silent && machine->holder.has_value() && machine->holder->voting() &&
                      machine->holder->set().epoch == newest.epoch &&
                      consensus::names(newest.holders, machine->holder->incarnation())
                  ? 1
                  : 0;
  }
  return !newest.holders.empty() && voting == newest.holders.size();
}

void World::wipe(Machine& machine) {
  if (machine.disk && machine.holder.has_value() && may_wipe()) {
    lose_disk(machine);
  }
}

void World::lose_disk(Machine& machine) {
  if (!machine.disk || !machine.holder.has_value()) {
    return;
  }
  kernel_.trace("wipe " + machine.address);
  machine.last_incarnation = machine.holder->incarnation();
  machine.last_set = machine.holder->set();
  machine.alive = false;
  ++machine.life;
  machine.jobs.clear();
  machine.holder.reset();
  machine.memory = std::make_unique<MemoryDisk>(ring_files, ring_bytes);
  machine.disk_stalled = false;
  Machine* const one = &machine;
  kernel_.after(kernel_.between(loam::milliseconds(100), loam::seconds(8)), [this, one] {
    if (!one->alive) {
      if (options_.guards.blank_has_no_vote && kernel_.chance(0.4)) {
        one->address = "core-" + std::to_string(next_address_++);
      }
      revive(*one);
    }
  });
}

World::Machine& World::any_machine() {
  std::vector<Machine*> there;
  for (std::unique_ptr<Machine> const& machine : machines_) {
    if (!machine->gone) {
      there.push_back(machine.get());
    }
  }
  return *there[kernel_.below(there.size())];
}

World::Machine& World::add_machine() {
  std::unique_ptr<Machine> machine = std::make_unique<Machine>();
  machine->address = "core-" + std::to_string(next_address_++);
  machine->disk = true;
  machine->offset = kernel_.between(loam::seconds(10), loam::seconds(100000));
  machine->rate = 1.0 + options_.faults.clock_rate * (2 * kernel_.uniform() - 1);
  machine->memory = std::make_unique<MemoryDisk>(ring_files, ring_bytes);
  machines_.push_back(std::move(machine));
  kernel_.trace("new " + machines_.back()->address);
  boot(*machines_.back());
  return *machines_.back();
}

std::vector<World::Machine*> World::newest_voters() {
  std::uint64_t newest = 0;
  std::vector<Machine*> voters;
  for (std::unique_ptr<Machine> const& machine : machines_) {
    if (machine->alive && machine->holder.has_value() && machine->holder->voting()) {
      newest = std::max(newest, machine->holder->set().epoch);
      voters.push_back(machine.get());
    }
  }
  std::erase_if(voters, [newest](Machine* const voter) { return voter->holder->set().epoch != newest; });
  return voters;
}

/// A new machine first, then SIGTERM to a voter, then what strikes behind it.
void World::replace_planned() {
  std::vector<Machine*> voters = newest_voters();
  if (replacing_ || !may_wipe() || voters.size() < 3) {
    return;
  }
  replacing_ = true;
  ++report_.replacements;
  Machine* const leaver = voters[kernel_.below(voters.size())];
  std::erase(voters, leaver);
  if (kernel_.chance(0.5)) {
    std::swap(voters.front(), voters.back());
  }
  Machine* const newcomer = &add_machine();
  kernel_.after(loam::seconds(1), [this, leaver, newcomer, voters] { strike_behind(*leaver, *newcomer, voters); });
  kernel_.after(loam::seconds(22), [this] { replacing_ = false; });
}

void World::strike_behind(Machine& leaver, Machine& newcomer, std::vector<Machine*> const& others) {
  enum class Strike { second_loss, newcomer_fails, leaver_freezes, leaver_killed, two_leave, cancelled, count };
  Strike const strike = static_cast<Strike>(kernel_.below(static_cast<std::uint64_t>(Strike::count)));
  Span const behind = kernel_.between(loam::milliseconds(200), loam::seconds(3));
  Machine* const first = others.front();
  Machine* const second = others.back();
  if (strike == Strike::second_loss) {
    kernel_.after(behind, [this, first] { lose_disk(*first); });
  } else if (strike == Strike::newcomer_fails) {
    kernel_.after(kernel_.between(0, loam::milliseconds(1500)), [this, &newcomer] { kill(newcomer); });
    kernel_.after(kernel_.between(loam::seconds(2), loam::seconds(12)), [this, &newcomer] { revive(newcomer); });
  } else if (strike == Strike::leaver_freezes) {
    Span const from = kernel_.between(1, loam::seconds(1));
    kernel_.after(from, [&leaver] { leaver.frozen = true; });
    kernel_.after(from + kernel_.between(loam::seconds(1), loam::seconds(9)), [this, &leaver] { thaw(leaver); });
  } else if (strike == Strike::leaver_killed) {
    kernel_.after(kernel_.between(1, loam::milliseconds(800)), [this, &leaver] {
      kill(leaver);
      leaver.gone = true;
    });
  } else if (strike == Strike::two_leave) {
    (void)add_machine();
    kernel_.after(kernel_.between(1, loam::milliseconds(300)), [this, first] { leave(*first, true); });
    kernel_.after(behind, [this, second] { lose_disk(*second); });
  } else {
    kernel_.after(kernel_.between(1, loam::milliseconds(500)), [this, &leaver] { kill(leaver); });
    kernel_.after(loam::milliseconds(800), [this, &leaver] { revive(leaver); });
    kernel_.after(behind, [this, first] { kill(*first); });
    kernel_.after(behind + kernel_.between(loam::seconds(1), loam::seconds(3)), [this, first] { revive(*first); });
  }
  leave(leaver, strike != Strike::cancelled);
}

void World::heal() {
  cuts_.clear();
  split_.clear();
  for (std::unique_ptr<Machine> const& machine : machines_) {
    machine->disk_delay = loam::milliseconds(2);
    machine->disk_stalled = false;
    if (machine->frozen) {
      thaw(*machine);
    }
    if (machine->silent) {
      kill(*machine);
    }
    revive(*machine);
    work(*machine);
  }
  for (std::unique_ptr<Furrow> const& furrow : furrows_) {
    if (furrow->frozen) {
      thaw(*furrow);
    }
    if (!furrow->alive) {
      begin_furrow(*furrow);
    }
  }
}

void World::repeat(double mean, std::function<void()> fault) {
  if (mean <= 0) {
    return;
  }
  kernel_.after(static_cast<Span>(kernel_.exponential(mean) * 1e6), [this, mean, fault] {
    if (!calm_) {
      fault();
    }
    repeat(mean, fault);
  });
}

void World::faults() {
  ControlFaults const& mix = options_.faults;
  std::function<Machine&()> const any = [this]() -> Machine& { return *machines_[kernel_.below(machines_.size())]; };
  repeat(mix.kill, [this, any] {
    if (kernel_.chance(0.4)) {
      Furrow& furrow = *furrows_[kernel_.below(furrows_.size())];
      furrow.alive = false;
      ++furrow.life;
      if (options_.lives) {
        options_.lives(furrow.number, false);
      }
      kernel_.after(kernel_.between(loam::milliseconds(10), loam::seconds(3)), [this, &furrow] {
        if (!furrow.alive) {
          begin_furrow(furrow);
        }
      });
      return;
    }
    Machine& machine = any();
    kill(machine);
    kernel_.after(kernel_.between(loam::milliseconds(50), loam::seconds(6)), [this, &machine] { revive(machine); });
  });
  repeat(mix.herd, [this] {
    double const part = kernel_.chance(0.3) ? 1.0 : kernel_.uniform();
    for (std::unique_ptr<Machine> const& machine : machines_) {
      if (kernel_.chance(part)) {
        kill(*machine);
        Machine* const one = machine.get();
        kernel_.after(kernel_.between(loam::milliseconds(200), loam::seconds(4)), [this, one] { revive(*one); });
      }
    }
  });
  repeat(mix.freeze, [this, any] {
    Span const span = kernel_.between(loam::milliseconds(100), loam::seconds(9));
    if (kernel_.chance(0.5)) {
      Furrow& furrow = *furrows_[kernel_.below(furrows_.size())];
      furrow.frozen = true;
      kernel_.after(span, [this, &furrow] { thaw(furrow); });
    } else {
      Machine& machine = any();
      machine.frozen = true;
      kernel_.after(span, [this, &machine] { thaw(machine); });
    }
  });
  repeat(mix.cut, [this, any] {
    std::string const from = kernel_.chance(0.3) ? furrows_[kernel_.below(furrows_.size())]->name : any().address;
    std::string const to = any().address;
    std::pair<std::string, std::string> const one =
        kernel_.chance(0.5) ? std::make_pair(from, to) : std::make_pair(to, from);
    cuts_.insert(one);
    kernel_.after(kernel_.between(loam::milliseconds(200), loam::seconds(6)), [this, one] { cuts_.erase(one); });
  });
  repeat(mix.split, [this] {
    split_.clear();
    for (std::unique_ptr<Machine> const& machine : machines_) {
      if (kernel_.chance(0.5)) {
        split_.insert(machine->address);
      }
    }
    for (std::unique_ptr<Furrow> const& furrow : furrows_) {
      if (kernel_.chance(0.5)) {
        split_.insert(furrow->name);
      }
    }
    kernel_.after(kernel_.between(loam::milliseconds(500), loam::seconds(6)), [this] { split_.clear(); });
  });
  repeat(mix.replace, [this] { replace_planned(); });
  repeat(mix.wipe, [this] { wipe(*machines_[kernel_.below(options_.disk_machines)]); });
  repeat(mix.slow_disk, [this] {
    Machine& machine = *machines_[kernel_.below(options_.disk_machines)];
    machine.disk_delay = kernel_.between(loam::milliseconds(50), loam::milliseconds(900));
    kernel_.after(kernel_.between(loam::seconds(1), loam::seconds(6)),
                  [&machine] { machine.disk_delay = loam::milliseconds(2); });
  });
  repeat(mix.stall_disk, [this] {
    Machine& machine = *machines_[kernel_.below(options_.disk_machines)];
    machine.disk_stalled = true;
    kernel_.after(kernel_.between(loam::seconds(1), loam::seconds(8)), [this, &machine] {
      machine.disk_stalled = false;
      work(machine);
    });
  });
  repeat(mix.full_disk, [this] {
    Machine& machine = *machines_[kernel_.below(options_.disk_machines)];
    if (machine.memory == nullptr) {
      return;
    }
    MemoryDisk* const memory = machine.memory.get();
    memory->full = true;
    kernel_.after(kernel_.between(loam::seconds(1), loam::seconds(4)), [this, &machine, memory] {
      if (machine.memory.get() == memory) {
        memory->full = false;
        kill(machine);  // an operator makes room and starts it anew
        revive(machine);
      }
    });
  });
}

void World::on_change(std::uint64_t revision) {
  report_.changes = revision;
  ControlFaults const& mix = options_.faults;
  if (calm_) {
    return;
  }
  if (mix.restart_each > 0 && revision % mix.restart_each == 0) {
    Machine& machine = *machines_[(revision / mix.restart_each) % options_.disk_machines];
    kernel_.after(0, [this, &machine] { kill(machine); });
    kernel_.after(loam::milliseconds(300), [this, &machine] { bring_back(machine); });
  }
  if (mix.away_from > 0 && (revision == mix.away_from || revision == mix.away_to)) {
    Machine& machine = *machines_[founders_.size() - 1];
    bool const leaves = revision == mix.away_from;
    kernel_.after(0, [this, &machine, leaves] { leaves ? kill(machine) : bring_back(machine); });
  }
  if (mix.all_lost_at > 0 && revision == mix.all_lost_at) {
    kernel_.after(0, [this] {
      for (std::unique_ptr<Machine> const& machine : machines_) {
        Machine* const one = machine.get();
        kill(*one);
        kernel_.after(loam::milliseconds(500), [this, one] { bring_back(*one); });
      }
    });
  }
}

void World::bring_back(Machine& machine) {
  if (machine.alive) {
    return;
  }
  revive(machine);
  ++report_.returns;
  watch_catch_up(machine, contents_.empty() ? 0 : contents_.rbegin()->first, kernel_.now());
}

/// Until it knows what was the newest when it came back, and votes if the set
/// that it knows names it.
void World::watch_catch_up(Machine& machine, std::uint64_t revision, Moment since) {
  later(machine, loam::milliseconds(10), [this, &machine, revision, since] {
    std::map<std::string, schema::Value>::const_iterator const setup =
        machine.confirm.values().find(consensus::setup_register);
    bool const named =
        machine.holder.has_value() && consensus::names(machine.set.holders, machine.holder->incarnation());
    Span const took = kernel_.now() - since;
    if (setup != machine.confirm.values().end() && setup->second.revision >= revision &&
        (!named || machine.holder->voting() || machine.silent)) {
      report_.worst_catch_up = std::max(report_.worst_catch_up, took);
      kernel_.trace(machine.address + " has caught up");
    } else if (took > options_.catch_up_bound) {
      violate(machine.address + " has not caught up with revision " + std::to_string(revision) + " after " +
              std::to_string(took / 1000) + " ms");
    } else {
      watch_catch_up(machine, revision, since);
    }
  });
}

void World::check_leases() {
  std::uint64_t owner = 0;
  for (std::unique_ptr<Machine> const& machine : machines_) {
    if (machine->alive && !machine->frozen && machine->tenant->holds(local(*machine))) {
      if (owner != 0) {
        violate("two tenants hold one lease at one instant");
      }
      owner = machine->identity;
    }
  }
  if (owner != 0 && owner != lease_owner_) {
    lease_owner_ = owner;
    ++report_.lease_changes;
  }
}

void World::check_recovery(Moment since, std::function<void(Span)> done) {
  kernel_.after(loam::milliseconds(50), [this, since, done] {
    bool all = true;
    for (std::unique_ptr<Furrow> const& furrow : furrows_) {
      all = all && furrow->alive && furrow->vouch.vouched(local(*furrow)) &&
            furrow->vouch.held().count(consensus::setup_register) > 0;
    }
    if (all) {
      done(kernel_.now() - since);
    } else if (kernel_.now() - since < loam::seconds(30)) {
      check_recovery(since, done);
    } else {
      violate("not all furrows serve 30 s after the machines came back");
    }
  });
}

void World::begin() {
  if (options_.faults.replace > 0 && kernel_.chance(0.5)) {
    options_.disk_machines = std::min<std::size_t>(options_.disk_machines, 3);  // nobody stands by
  }
  std::size_t const count = options_.disk_machines + options_.plain_machines;
  for (std::size_t number = 0; number < std::min<std::size_t>(3, options_.disk_machines); ++number) {
    founders_.push_back("core-" + std::to_string(number));
  }
  for (std::size_t number = 0; number < count; ++number) {
    std::unique_ptr<Machine> machine = std::make_unique<Machine>();
    machine->address = "core-" + std::to_string(number);
    machine->disk = number < options_.disk_machines;
    machine->offset = kernel_.between(loam::seconds(10), loam::seconds(100000));
    machine->rate = 1.0 + options_.faults.clock_rate * (2 * kernel_.uniform() - 1);
    if (machine->disk) {
      machine->memory = std::make_unique<MemoryDisk>(ring_files, ring_bytes);
    }
    machines_.push_back(std::move(machine));
  }
  for (std::unique_ptr<Machine> const& machine : machines_) {
    boot(*machine);
  }
  for (std::size_t number = 0; number < options_.furrows; ++number) {
    std::unique_ptr<Furrow> furrow = std::make_unique<Furrow>();
    furrow->name =
        number < options_.furrow_names.size() ? options_.furrow_names[number] : "furrow-" + std::to_string(number);
    furrow->number = number;
    furrow->offset = kernel_.between(loam::seconds(10), loam::seconds(100000));
    furrow->rate = 1.0 + options_.faults.clock_rate * (2 * kernel_.uniform() - 1);
    furrow->turn = number;
    furrows_.push_back(std::move(furrow));
    begin_furrow(*furrows_.back());
  }
  for (std::size_t number = 0; number < options_.operators; ++number) {
    operator_loop(number);
  }
  if (options_.orders.operators > 0) {
    begin_orders();
  }
  kernel_.after(loam::seconds(3), [this] { faults(); });
}

/// The last fault, and everything back; then a last change, read back.
void World::end_day(Moment at) {
  kernel_.at(at, [this] {
    calm_ = true;
    if (orders_ != nullptr) {
      orders_->stop();
    }
    for (std::unique_ptr<Machine> const& machine : machines_) {
      if (options_.faults.last_fault && kernel_.chance(0.6)) {
        kill(*machine);
      }
    }
  });
  kernel_.at(at + loam::milliseconds(700), [this] {
    heal();
    check_recovery(kernel_.now(), [this](Span took) {
      report_.worst_recovery = took;
      if (took > loam::seconds(12)) {
        violate("service was down " + std::to_string(took / 1000) + " ms after the machines came back");
      }
    });
  });
  kernel_.at(at + loam::seconds(13), [this] { put(99, std::nullopt, [this](bool good) { final_put_ = good; }); });
  kernel_.at(at + loam::seconds(23), [this] { read([this](std::uint64_t revision) { final_revision_ = revision; }); });
}

ControlReport World::run() {
  begin();
  std::function<void()> const each = [this] { check_leases(); };
  kernel_.run(options_.length, each);
  // The day ends: faults stop, after one last; what was lost returns.
  calm_ = true;
  if (orders_ != nullptr) {
    orders_->stop();
  }
  if (options_.faults.last_fault) {
    for (std::unique_ptr<Machine> const& machine : machines_) {
      if (kernel_.chance(0.6)) {
        kill(*machine);
      }
    }
    kernel_.run(kernel_.now() + loam::milliseconds(700), each);
  }
  kernel_.trace("heal");
  heal();
  Moment const healed = kernel_.now();
  bool recovered = false;
  check_recovery(healed, [this, &recovered](Span took) {
    recovered = true;
    report_.worst_recovery = took;
    kernel_.trace("recovered");
    if (took > loam::seconds(12)) {
      violate("service was down " + std::to_string(took / 1000) + " ms after the machines came back");
    }
  });
  kernel_.run(healed + loam::seconds(32), each);
  put(99, std::nullopt, [this](bool good) { final_put_ = good; });
  kernel_.run(kernel_.now() + loam::seconds(9), each);
  read([this](std::uint64_t revision) { final_revision_ = revision; });
  kernel_.run(kernel_.now() + loam::seconds(6), each);
  return finish();
}

ControlReport World::finish() {
  if (!final_put_ || final_revision_ == 0) {
    violate("the register does not take a change after all machines came back");
  }
  // No acknowledged change is lost: each is in the content of its revision.
  for (std::pair<std::string const, std::uint64_t> const& change : accepted_) {
    if (owners_[change.second] != change.first) {
      violate("acknowledged change " + change.first + " is not what revision " + std::to_string(change.second) +
              " holds");
    }
  }
  for (std::pair<std::uint64_t const, std::string> const& owner :
       owners_) {  // what was told, and what was found to have happened
    HistoryEntry write = asked_[owner.second];
    write.revision = owner.first;
    history_.push_back(write);
  }
  std::string const wrong = explain_history(history_);
  if (!wrong.empty()) {
    violate("no order explains what was told: " + wrong);
  }
  report_.explained = history_.size();
  if (orders_ != nullptr) {
    report_.orders = orders_->finish();
  }
  report_.trace_hash = kernel_.trace_hash();
  report_.events = kernel_.events();
  return report_;
}

}  // namespace

ControlReport run_control(ControlOptions const& options) {
  Kernel kernel(options.seed);
  kernel.print_trace(options.print);
  World world(options, kernel);
  return world.run();
}

ControlPart control_part(ControlOptions const& options, Kernel& kernel) {
  std::shared_ptr<World> const world = std::make_shared<World>(options, kernel);
  ControlPart part;
  part.begin = [world] { world->begin(); };
  part.each = [world] { world->check_leases(); };
  part.end_day = [world](Moment at) { world->end_day(at); };
  part.finish = [world] { return world->finish(); };
  part.vouched = [world](std::size_t furrow) { return world->vouched(furrow); };
  return part;
}

std::vector<std::string> control_scenarios() {
  return {"calm", "kills", "herds", "freezes", "cuts", "splits", "disks", "wipes", "replacements", "storm"};
}

std::optional<ControlFaults> control_scenario(std::string const& name) {
  ControlFaults faults;
  if (name == "calm") {
    faults.last_fault = false;
    return faults;
  }
  bool const all = name == "storm";
  if (name == "kills" || all) {
    faults.kill = all ? 5 : 2;
  }
  if (name == "herds" || all) {
    faults.herd = all ? 18 : 7;
  }
  if (name == "freezes" || all) {
    faults.freeze = all ? 6 : 2;
  }
  if (name == "cuts" || all) {
    faults.cut = all ? 3 : 1;
  }
  if (name == "splits" || all) {
    faults.split = all ? 15 : 6;
  }
  if (name == "disks" || all) {
    faults.slow_disk = all ? 12 : 4;
    faults.stall_disk = all ? 15 : 5;
    faults.full_disk = all ? 25 : 9;
  }
  if (name == "replacements") {
    faults.replace = 3;
    faults.last_fault = false;
  }
  if (name == "wipes" || all) {
    faults.wipe = all ? 14 : 5;
    faults.kill = all ? 5 : 9;
  }
  std::vector<std::string> const names = control_scenarios();
  if (std::find(names.begin(), names.end(), name) == names.end()) {
    return std::nullopt;
  }
  return faults;
}

}  // namespace finchlink::almanac
