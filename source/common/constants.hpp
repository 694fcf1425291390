#pragma once

#include <cstddef>
#include <cstdint>

#include "common/time/moment.hpp"

/// All constants, each with its unit and reason (docs/design.md section 4 has
/// the sums of the time bounds).
namespace finchlink::common::constants {

// --- news and vouching (section 6) ---
/// A trellis holds a furrow's ask this long when there is no news. Short, so
/// that several asks fit into one vouch bound.
inline constexpr Span ask_hold = milliseconds(250);
/// An ask that no majority confirmed is answered "not vouched" after this, so
/// that the furrow turns to another trellis in time.
inline constexpr Span ask_patience = milliseconds(500);
/// How long the other side may take over an ask before the furrow gives up on it.
inline constexpr Span ask_deadline = milliseconds(700);
/// A furrow takes new queries for this long after it *sent* the last ask that
/// was vouched for. Two failed asks fit in.
inline constexpr Span confirmation_bound = milliseconds(1500);
/// Wait after a setup is chosen before yes is said: the vouch bound, a tenth
/// for clocks that run apart, and one step of the furrow's check.
inline constexpr Span acknowledge_wait = milliseconds(1750);
/// Pause between two majority reads of a trellis.
inline constexpr Span confirm_pause = milliseconds(60);
/// Pause before a furrow asks again after an ask failed.
inline constexpr Span ask_retry = milliseconds(50);

// --- platform list (section 6) ---
/// Pause between reads of the platform list.
inline constexpr Span list_pause = milliseconds(300);
/// A read of the list that takes longer is given up.
inline constexpr Span list_deadline = milliseconds(1000);
/// With a list older than this a furrow sends nothing to workers (4-5 s allowed).
inline constexpr Span list_bound = milliseconds(3500);
/// A list that counts lower than the last one is taken for a lagging replica's
/// this long, then for a platform that counts anew. Below the bound above less
/// a read and a word of a colleague, so that service goes on meanwhile.
inline constexpr Span list_back_span = milliseconds(1500);
/// Largest answer of the platform that is read, in bytes.
inline constexpr std::size_t list_limit = 4u << 20u;

// --- bounds where callers serve on without a vouch (section 13.2) ---
/// A furrow hears of a change by news, not by the end of a vouch, so asks are
/// held long: fewer of them, at the same delay of what is new.
inline constexpr Span wide_ask_hold = milliseconds(1000);
/// Unconfirmed asks are answered sooner than held ones end: the furrow turns
/// to a trellis that reaches a majority within the bound of a change.
inline constexpr Span wide_ask_patience = milliseconds(700);
/// The hold, the longest way between two regions and back, and half a second
/// for a slowed machine.
inline constexpr Span wide_ask_deadline = milliseconds(1700);
/// A change hurries its readers (section 13.3); this is for what was missed.
inline constexpr Span wide_confirm_pause = milliseconds(400);
inline constexpr Span wide_tell_pause = milliseconds(600);
/// Two asks and one that failed.
inline constexpr Span wide_session_bound = milliseconds(2500);
/// Calls to the platform are priced; a worker's notice is several seconds.
inline constexpr Span wide_list_pause = milliseconds(700);
/// What a round to holders in another region takes, with a slow disk.
inline constexpr Span wide_round = milliseconds(400);

// --- members (section 7) ---
/// A session ends this long after its last ask; longer than the vouch bound,
/// so that a furrow whose session ended has stopped by itself.
inline constexpr Span session_bound = milliseconds(2000);
/// Pause between two tellings of sessions to a colleague.
inline constexpr Span tell_pause = milliseconds(250);
/// A colleague silent this long is no longer listed.
inline constexpr Span peer_bound = seconds(10);

/// Asks are answered for news of members or of the list no sooner than this
/// after they came, so that many small changes don't become many answers.
inline constexpr Span bell_pause = milliseconds(100);
/// Trellises that read the platform list in one another's place wait this much
/// longer by rank, so that one of them does.
inline constexpr Span list_stagger = milliseconds(150);
/// After the platform turned a read of the list away, the pause doubles to this.
inline constexpr Span list_rest_most = milliseconds(2000);

// --- invariants (section 3.5) ---
/// Pause between two looks for violations to log: with `violations_kept` a few lines a second.
inline constexpr Span invariant_log_pause = milliseconds(1000);

// --- register (section 5) ---
/// One exchange with one holder; a slow disk counts as silence after this.
inline constexpr Span acceptor_deadline = milliseconds(800);
/// A change is tried for this long; then its outcome is "not known".
inline constexpr Span change_deadline = milliseconds(4000);
/// A half-done change is settled by a reader after this: several rounds of a
/// change that is merely under way, and well within the vouch bound.
inline constexpr Span settle_after = milliseconds(200);
/// One look in so many at a half-done change settles it: of six trellises two
/// try at once, and one alone does after some half a second.
inline constexpr std::uint64_t settle_lots = 3;
/// Range of the pause after a lost ballot.
inline constexpr Span ballot_pause_least = milliseconds(5);
inline constexpr Span ballot_pause_most = milliseconds(60);
/// The range doubles with each lost ballot up to this: two rounds between
/// regions of 55 ms one way, with slow disks.
inline constexpr Span ballot_pause_longest = milliseconds(600);
/// A large value takes this much longer a byte, in microseconds: links of
/// 5 Mbit/s let through a byte in 1.6.
inline constexpr Span holder_byte_span = 2;
/// Marks of changes kept inside a register, one a revision; what became of an
/// older change may no longer be known (section 5.7). An order is repeated for
/// at most some 18 s (the longest bound of an acknowledgement with all its
/// extensions) and storms bring ten changes a second: 180, and a half more. A
/// mark of the charter takes 48 bytes: 12 KB of each value that is sent.
inline constexpr std::size_t marks_kept = 256;
/// Outcomes looked up at once in one trellis: each may write a mark. Six
/// trellises then push out 256 marks in no less than ten seconds, more than
/// twice the time of a change that is under way.
inline constexpr int outcomes_most = 16;
/// Reads that no majority confirmed for longer than this are told in the log:
/// a dozen reads, below the vouch bound and a quarter of what an operator's read waits.
inline constexpr Span reads_lost_after = milliseconds(1000);
/// While reads stay lost, the newest one is told again after this.
inline constexpr Span reads_lost_log_interval = milliseconds(3000);
/// Largest setup document in bytes; three copies and the ring stay small.
inline constexpr std::size_t setup_limit = 256u << 10u;
/// Largest charter in bytes: some five thousand lanes of 350 bytes.
inline constexpr std::size_t routing_config_limit = 2u << 20u;
/// Pause between tries to found the register.
inline constexpr Span founding_pause = milliseconds(200);
/// A holder that misses this many looks in a row (two to three seconds) is
/// replaced by one that has a disk and no place.
inline constexpr int join_misses = 3;
/// A voter that answers and has not caught up yet is waited for so many looks
/// (half a minute to a minute) before it counts as lost: 2 MB take 4 s at 5 Mbit/s.
inline constexpr int catching_up_looks = 60;
/// How long a look at the holders may take, and the pause between two: a round
/// between regions with a slow disk takes a third of it.
inline constexpr Span join_look = milliseconds(500);
inline constexpr Span join_pause = milliseconds(500);
/// A departing voter tells its peers this often that it leaves, and hears from
/// them whether they vote: a few round trips between regions.
inline constexpr Span departure_pause = milliseconds(150);
/// A spare that a departing voter hasn't heard for this long is not waited for:
/// two tellings of the platform's pace, and a round.
inline constexpr Span departure_contact = milliseconds(1600);
/// A departing voter that decided nothing for this long stood still itself.
inline constexpr Span departure_gap = milliseconds(500);
/// Pause between two looks of a duty at whether its lease is held.
inline constexpr Span duty_pause = milliseconds(500);

// --- leases (section 7) ---
/// Span of a lease as the holders count it.
inline constexpr Span lease_span = milliseconds(3000);
/// The tenant stops this much earlier, and renews this early.
inline constexpr Span lease_reserve = milliseconds(600);
inline constexpr Span lease_renew = milliseconds(1000);
/// A process that ends waits this long until acceptors know that it gave its
/// leases back: a round between regions.
inline constexpr Span lease_release_patience = milliseconds(200);
/// A holder without memory of its grants (restart, new vote) grants nothing
/// for one span and a tenth.
inline constexpr Span lease_silence = milliseconds(3300);

// --- transfers in pieces (section 5.9) ---
/// Bytes of values in one answer of a holder; what is beyond is fetched in
/// pieces. Answers of five holders at once over a link of 5 Mbit/s and 110 ms
/// there and back take 0.64 s of acceptor_deadline.
inline constexpr std::size_t inline_register_bytes = 64u << 10u;
/// Bytes of contents in one answer to a furrow. A furrow that is lost asks three
/// at once: over such a link that is 0.74 s of its 0.9 s.
inline constexpr std::size_t inline_update_bytes = 128u << 10u;
/// Bytes of one piece: 0.2 s at 5 Mbit/s, so that a lost one costs little, and
/// the ways there and back are a third of the whole time.
inline constexpr std::size_t transfer_piece_bytes = 128u << 10u;
/// One piece, before the next source is asked: 0.6 Mbit/s are enough.
inline constexpr Span piece_deadline = milliseconds(2000);
/// Requests in a row that nobody answered before a transfer is given up: its
/// sources are lost, and what is current is asked for anew. Ten seconds, longer
/// than the cuts that a transfer should outlast.
inline constexpr std::size_t transfer_silences_most = 5;
/// Pause after a piece that did not come.
inline constexpr Span piece_pause = milliseconds(50);
/// A transfer that got no piece for this long is given up; what names it is
/// asked for anew, and what has arrived is kept where that names it again.
inline constexpr Span transfer_stall_timeout = seconds(10);
/// What is sent in pieces is kept this long after the last one asked for, since
/// a change may have replaced it meanwhile; longer than an asker's patience.
inline constexpr Span transfer_kept_span = seconds(12);
/// Values kept for that at most: 8 MB at the largest charter.
inline constexpr std::size_t transfers_kept = 4;

// --- disk (section 5) ---
/// Files of the ring: one in use, one being filled next, one spare.
inline constexpr std::size_t ring_files = 3;
/// Bytes of one file: an image of all registers with the largest charter, one
/// more of it, and a few hundred small changes.
inline constexpr std::size_t ring_file_bytes = 5u << 20u;
/// Files are read in pieces of this many bytes; what is empty is not kept.
inline constexpr std::size_t ring_piece_bytes = 64u << 10u;
/// Pause before a disk that failed is opened anew.
inline constexpr Span disk_reopen_pause = seconds(1);
/// Records waiting for the disk; beyond it the holder stays silent.
inline constexpr std::size_t disk_waitlist = 256;
/// Bytes of values waiting for the disk: a stalled one must not cost memory of
/// one value for every change that is tried meanwhile.
inline constexpr std::size_t disk_waitlist_bytes = 16u << 20u;

// --- deltas (section 6.4) ---
/// States that a teller can lead on from: several seconds of changes on all
/// sides, at 16 bytes each and a name where one went.
inline constexpr std::size_t delta_states = 1024;

// --- frames (section 3) ---
inline constexpr std::size_t frame_limit = 8u << 20u;
inline constexpr std::uint32_t frame_mark = 0x46434c31;             // "FCL1"
inline constexpr std::uint32_t frame_mark_compressed = 0x46434c32;  // "FCL2"
/// Frames of at least this many bytes are compressed: charters and lists travel
/// to every furrow, over links of 10 Mbit/s, and shrink to a fifth and less.
inline constexpr std::size_t frame_compress_least = 1024;
/// Idle frames connections kept per colleague.
inline constexpr std::size_t idle_connections = 8;
/// A silent frame connection is closed after this.
inline constexpr Span frame_idle = seconds(30);

// --- HTTP (section 9) ---
inline constexpr std::uint32_t header_limit = 16u << 10u;
/// A caller gets this long to send its header and this long per body chunk.
inline constexpr Span header_deadline = seconds(10);
inline constexpr Span body_deadline = seconds(10);
/// An idle kept-alive connection of a caller is closed after this.
inline constexpr Span caller_idle = seconds(30);
/// A caller that takes none of its answer for this long is cut.
inline constexpr Span write_deadline = seconds(10);
/// Establishing a connection to a worker.
inline constexpr Span connect_deadline = milliseconds(800);
/// Silence of a worker inside a stream that counts as a defect.
inline constexpr Span stream_silence = seconds(5);
/// Largest piece of a worker's answer, in bytes.
inline constexpr std::size_t event_limit = 1u << 20u;
/// Largest whole answer of a worker, in bytes.
inline constexpr std::size_t answer_limit = 16u << 20u;
/// What a refused caller is told to wait, in seconds: at least, and at most.
inline constexpr int retry_after_seconds = 1;
inline constexpr int retry_after_most = 30;
/// A connection whose body is left unread stays open this long, so that the
/// answer is not lost to a reset.
inline constexpr Span parting_span = milliseconds(300);
/// Bytes thrown away at most in that time: as large an ask as is taken anywhere.
inline constexpr std::size_t parting_bytes = 16u << 20u;
/// SIGTERM: what is running may finish within this.
inline constexpr Span drain_span = seconds(8);
/// Where the platform tells after what time it kills, we end earlier by this.
inline constexpr Span drain_reserve = milliseconds(300);
/// Pause between two looks at the settings file, which may change unannounced.
inline constexpr Span settings_pause = seconds(2);

// --- placement and budget (sections 8 and 9) ---
/// Retries that one arrival pays for. With the life below ten seconds after a
/// fall to a tenth hold at most 0.1 * (1 + 1 s * 10 / 10 s) = 0.2 of the
/// traffic, and three retries more where rights are kept.
inline constexpr double retry_share = 0.1;
/// How long the right to retry that an arrival earned lasts.
inline constexpr Span retry_life = seconds(1);
/// Furrows in all that may keep a right of one service: twenty queries in ten
/// seconds bear no more.
inline constexpr std::size_t retry_keepers = 3;
/// One right that outlived this may be spent while this many arrivals lie
/// within this span: a service that fell to a tenth seldom shows two.
inline constexpr Span retry_kept_span = seconds(2);
inline constexpr std::uint64_t retry_kept_arrivals = 2;
/// After this long without any arrival it is lost.
inline constexpr Span retry_kept_life = seconds(10);
/// Dispatches of one query at most, the first included.
inline constexpr int dispatches_most = 4;
/// After a defect a worker is left alone this long, doubling up to the most.
inline constexpr Span worker_rest_least = milliseconds(500);
inline constexpr Span worker_rest_most = seconds(8);
/// Pause between two looks at a worker's load.
inline constexpr Span load_pause = milliseconds(250);
/// A worker that does not tell its load for this long is not used.
inline constexpr Span load_bound = milliseconds(1500);
/// Furrows hold waitlists in common: each takes this many times its even part
/// of a worker's limit, since callers spread unevenly.
inline constexpr double share_excess = 2.0;
/// A slice of the scaler's figures as furrows report them.
inline constexpr Span report_span = milliseconds(500);
/// Rows a furrow keeps for one report.
inline constexpr std::size_t samples_most = 128;
/// Start values before a worker's coefficients are fitted, in seconds: they
/// only need to be of the right order, since all workers share them.
inline constexpr double prefill_start[4] = {0.004, 0.00002, 0.0, 0.0};
inline constexpr double decode_start[3] = {0.004, 0.002, 0.0003};

}  // namespace finchlink::common::constants
