#pragma once

#include <cstddef>
#include <cstdint>

#include "common/time/moment.hpp"

/// Constants that several components share, each with its unit and reason
/// (docs/design.md section 4 derives the time bounds).
namespace finchlink::common::constants {

// --- updates and freshness (section 6) ---
/// Long-poll wait: how long a controller holds a proxy's request while there
/// are no updates. Short, so that several requests fit into one confirmation bound.
inline constexpr Span ask_hold = milliseconds(250);
/// A request that no majority confirmed is answered "not vouched" after this,
/// so that the proxy tries another controller in time.
inline constexpr Span ask_patience = milliseconds(500);
/// How long a proxy waits for a response before it gives a request up.
inline constexpr Span ask_deadline = milliseconds(700);
/// A proxy takes new queries for this long after it *sent* the last request
/// that was confirmed. Two failed requests fit in.
inline constexpr Span confirmation_bound = milliseconds(1500);
/// Wait between a setup being chosen and its acknowledgement: the confirmation
/// bound, a tenth for clock drift, and one step of the proxy's check.
inline constexpr Span acknowledge_wait = milliseconds(1750);
/// Pause between two majority reads of a controller.
inline constexpr Span confirm_pause = milliseconds(60);
/// Pause before a proxy retries a failed request for updates.
inline constexpr Span ask_retry = milliseconds(50);

// --- platform list (section 6) ---
/// Pause between reads of the platform list.
inline constexpr Span list_pause = milliseconds(300);
/// Time limit of one read of the list.
inline constexpr Span list_deadline = milliseconds(1000);
/// With a list older than this a proxy sends nothing to workers (4-5 s allowed).
inline constexpr Span list_bound = milliseconds(3500);
/// A list whose revision is lower than the last one's is attributed to a lagging
/// replica for this long, then to a platform that restarted its numbering. Less
/// than `list_bound` minus a read and a peer's message, so that service goes on.
inline constexpr Span list_rollback_grace = milliseconds(1500);
/// Largest list of the platform that is read: bytes of all its pages together, and workers in it.
inline constexpr std::size_t list_limit = 2u << 20u;
inline constexpr std::size_t max_listed_workers = 8192;

// --- wide-area bounds: proxies go on serving without confirmation (section 13.2) ---
/// Proxies receive changes as updates and do not wait for a confirmation to
/// expire, so requests are held long: fewer of them, with the same delay of updates.
inline constexpr Span wide_ask_hold = milliseconds(1000);
/// Unconfirmed requests are answered sooner than held ones: the proxy then finds
/// a controller that reaches a majority within the bound of a change.
inline constexpr Span wide_ask_patience = milliseconds(700);
/// The long-poll wait, the longest round trip between two regions, and half a
/// second for a slow machine.
inline constexpr Span wide_ask_deadline = milliseconds(1700);
/// A change triggers reads at once (section 13.3); this covers missed triggers.
inline constexpr Span wide_confirm_pause = milliseconds(400);
inline constexpr Span wide_tell_pause = milliseconds(600);
/// Two requests and one that failed.
inline constexpr Span wide_session_bound = milliseconds(2500);
/// Calls to the platform are charged for; a worker's termination notice is several seconds.
inline constexpr Span wide_list_pause = milliseconds(700);
/// One round trip to acceptors in another region, with a slow disk.
inline constexpr Span wide_round = milliseconds(400);

// --- members (section 7) ---
/// A session ends this long after its last request; longer than the confirmation
/// bound, so that a proxy whose session ended has stopped by itself.
inline constexpr Span session_bound = milliseconds(2000);
/// Pause between two gossip messages about sessions to a peer.
inline constexpr Span tell_pause = milliseconds(250);
/// A peer that was silent for this long is no longer listed.
inline constexpr Span peer_timeout = seconds(10);

/// Requests are answered with updates of members or of the list no sooner than
/// this after they arrived, which batches many small changes into few responses.
inline constexpr Span update_batch_delay = milliseconds(100);
/// Controllers that stand in for each other in reading the platform list wait
/// this much longer per rank, so that only one of them reads.
inline constexpr Span list_stagger = milliseconds(150);
/// After the platform rejected a read of the list, the pause doubles up to this.
inline constexpr Span max_list_pause = milliseconds(2000);

// --- invariants (section 3.5) ---
/// Interval at which violations are logged: with `violations_kept` a few lines a second.
inline constexpr Span invariant_log_pause = milliseconds(1000);

// --- register (section 5) ---
/// Time limit of one exchange with one acceptor; a slower disk counts as no response.
inline constexpr Span acceptor_deadline = milliseconds(800);
/// A change is tried for this long; then its outcome is "not known".
inline constexpr Span change_deadline = milliseconds(4000);
/// A reader completes a half-done change after this: several rounds of a change
/// that is merely in progress, and well within the confirmation bound.
inline constexpr Span settle_after = milliseconds(200);
/// A reader that sees a half-done change completes it with a chance of one in
/// this number: of six controllers two try at once, and a single one does so
/// after about half a second.
inline constexpr std::uint64_t settle_odds = 3;
/// Range of the random pause after a lost ballot.
inline constexpr Span min_ballot_pause = milliseconds(5);
inline constexpr Span max_ballot_pause = milliseconds(60);
/// The range doubles with each lost ballot up to this: two rounds between
/// regions of 55 ms one way, with slow disks.
inline constexpr Span max_ballot_backoff = milliseconds(600);
/// Time added to the deadline per byte of a large value, in microseconds: links
/// of 5 Mbit/s transfer a byte in 1.6.
inline constexpr Span acceptor_byte_time = 2;
/// Idempotency marks kept inside a register, one per revision; the outcome of an
/// older change may no longer be known (section 5.7). A command is retried for
/// at most about 18 s (the longest bound of an acknowledgement with all its
/// extensions) and fault bursts bring ten changes a second: 180, plus a half. A
/// mark of the routing configuration takes 48 bytes: 12 KB of each value sent.
inline constexpr std::size_t marks_kept = 256;
/// Concurrent outcome lookups of one controller: each may write a mark. Six
/// controllers then displace 256 marks in no less than ten seconds, more than
/// twice the time of a change that is in progress.
inline constexpr int max_outcome_lookups = 16;
/// If no majority confirmed a read for longer than this, it is logged: a dozen
/// reads, below the confirmation bound and a quarter of an operator's read timeout.
inline constexpr Span reads_lost_after = milliseconds(1000);
/// While reads stay unconfirmed, the newest one is logged at this interval.
inline constexpr Span reads_lost_log_interval = milliseconds(3000);
/// Largest setup document in bytes; three copies and the log files stay small.
inline constexpr std::size_t setup_limit = 256u << 10u;
/// Largest routing configuration in bytes: some five thousand routes of 350 bytes.
inline constexpr std::size_t routing_config_limit = 2u << 20u;
/// Pause between attempts to bootstrap the register.
inline constexpr Span founding_pause = milliseconds(200);
/// A voter that misses this many probes in a row (two to three seconds) is
/// replaced by a controller that has a disk and is not a voter.
inline constexpr int max_missed_voter_probes = 3;
/// A voter that responds and has not caught up yet may take this many probes
/// (half a minute to a minute) before it counts as lost: 2 MB take 4 s at 5 Mbit/s.
inline constexpr int max_catching_up_probes = 60;
/// Time limit of a probe of the voters, and the pause between two: a round
/// between regions with a slow disk takes a third of it.
inline constexpr Span probe_deadline = milliseconds(500);
inline constexpr Span probe_pause = milliseconds(500);
/// Interval at which a departing voter notifies its peers that it leaves, and
/// learns whether they vote: a few round trips between regions.
inline constexpr Span departure_pause = milliseconds(150);
/// A departing voter does not wait for a spare that it has not heard from for
/// this long: two gossip messages at the wide-area interval, and a round.
inline constexpr Span departure_contact = milliseconds(1600);
/// A departing voter whose loop did not run for this long was stalled itself.
inline constexpr Span departure_gap = milliseconds(500);
/// Interval at which a leased task checks whether its lease is held.
inline constexpr Span lease_check_pause = milliseconds(500);

// --- leases (section 7) ---
/// Duration of a lease as the acceptors count it.
inline constexpr Span lease_span = milliseconds(3000);
/// The lease owner stops this much before the lease ends, and renews this early.
inline constexpr Span lease_safety_margin = milliseconds(600);
inline constexpr Span lease_renew = milliseconds(1000);
/// How long an ending process waits until acceptors know that it released its
/// leases: a round between regions.
inline constexpr Span lease_release_timeout = milliseconds(200);
/// An acceptor that does not remember its grants (restart, new vote) grants
/// nothing for one lease duration and a tenth.
inline constexpr Span lease_silence = milliseconds(3300);

// --- transfers in pieces (section 5.9) ---
/// Bytes of values in one response of an acceptor; the rest is fetched in
/// pieces. Responses of five acceptors at once over a link of 5 Mbit/s and a
/// round trip of 110 ms take 0.64 s of `acceptor_deadline`.
inline constexpr std::size_t inline_register_bytes = 64u << 10u;
/// Bytes of contents in one response to a proxy. A proxy that lost its controller
/// asks three at once: over such a link that is 0.74 s of its 0.9 s.
inline constexpr std::size_t inline_update_bytes = 128u << 10u;
/// Bytes of one piece: 0.2 s at 5 Mbit/s, so that a lost one costs little, and
/// round trips are a third of the whole time.
inline constexpr std::size_t transfer_piece_bytes = 128u << 10u;
/// Time limit of one piece, before the next source is tried: 0.6 Mbit/s suffice.
inline constexpr Span piece_deadline = milliseconds(2000);
/// Consecutive unanswered requests before a transfer is aborted: its sources are
/// lost, and the current version is requested anew. Ten seconds, longer than the
/// network partitions that a transfer should outlast.
inline constexpr std::size_t max_unanswered_piece_requests = 5;
/// Pause after a piece that did not arrive.
inline constexpr Span piece_pause = milliseconds(50);
/// A transfer that received no piece for this long is aborted and requested
/// anew; the pieces that arrived are kept if the new request names the same content.
inline constexpr Span transfer_stall_timeout = seconds(10);
/// Content that is sent in pieces is kept this long after the last request for
/// one, since a change may have replaced it; longer than `transfer_stall_timeout`.
inline constexpr Span transfer_kept_span = seconds(12);
/// Number of such contents kept at most: 8 MB at the largest routing configuration.
inline constexpr std::size_t transfers_kept = 4;

// --- disk (section 5) ---
/// Files of the write-ahead log, used in turn: one in use, the next one, one spare.
inline constexpr std::size_t ring_files = 3;
/// Bytes of one file: a snapshot of all registers with the largest routing
/// configuration, one more of the latter, and a few hundred small changes.
inline constexpr std::size_t ring_file_bytes = 5u << 20u;
/// Files are read in pieces of this many bytes; empty pieces are not kept.
inline constexpr std::size_t ring_piece_bytes = 64u << 10u;
/// Pause before a disk that failed is reopened.
inline constexpr Span disk_reopen_pause = seconds(1);
/// Records waiting for the disk; beyond it the acceptor does not respond.
inline constexpr std::size_t disk_waitlist = 256;
/// Bytes of values waiting for the disk: while it is stalled, the attempted
/// changes must not take memory for one value each.
inline constexpr std::size_t disk_waitlist_bytes = 16u << 20u;

// --- deltas (section 6.4) ---
/// Past states from which a sender can send a delta: several seconds of changes
/// from all sides, at 16 bytes each and a name per removed entry.
inline constexpr std::size_t delta_states = 1024;

// --- frames (section 3) ---
inline constexpr std::size_t frame_limit = 8u << 20u;
inline constexpr std::uint32_t frame_magic = 0x46434c31;             // "FCL1"
inline constexpr std::uint32_t frame_magic_compressed = 0x46434c32;  // "FCL2"
/// Payloads of at least this many bytes are compressed: routing configurations
/// and lists go to every proxy, over links of 10 Mbit/s, and shrink to a fifth or less.
inline constexpr std::size_t min_compressed_frame = 1024;
/// Calls to one peer that may wait for its answer at a time.
inline constexpr std::size_t max_unanswered_calls = 32;
/// Idle frame connections kept per peer.
inline constexpr std::size_t idle_connections = 8;
/// An idle frame connection is closed after this.
inline constexpr Span frame_idle = seconds(30);

// --- HTTP (section 9) ---
inline constexpr std::uint32_t header_limit = 16u << 10u;
/// Bytes of a response to this process that its parser buffers at most: a header, or an extension or a trailer as
/// large, and a piece of the body.
inline constexpr std::size_t response_buffer_bytes = header_limit + (64u << 10u);
/// A caller gets this long to send its header and this long per body chunk.
inline constexpr Span header_deadline = seconds(10);
inline constexpr Span body_deadline = seconds(10);
/// An idle keep-alive connection of a caller is closed after this.
inline constexpr Span caller_idle = seconds(30);
/// A caller that reads nothing of its response for this long is disconnected.
inline constexpr Span write_deadline = seconds(10);
/// Time limit for connecting to a worker.
inline constexpr Span connect_deadline = milliseconds(800);
/// A stream on which the worker sends nothing for this long counts as failed.
inline constexpr Span stream_stall_timeout = seconds(5);
/// Largest event of a worker's stream, in bytes.
inline constexpr std::size_t event_limit = 1u << 20u;
/// Largest complete response of a worker, in bytes.
inline constexpr std::size_t answer_limit = 16u << 20u;
/// Bounds of the Retry-After that a rejected caller gets, in seconds.
inline constexpr int retry_after_seconds = 1;
inline constexpr int max_retry_after_seconds = 30;
/// A connection whose request body was not read stays open this long, so that
/// the response is not lost to a reset.
inline constexpr Span lingering_close_timeout = milliseconds(300);
/// Bytes discarded at most in that time: the largest request accepted anywhere.
inline constexpr std::size_t lingering_close_bytes = 16u << 20u;
/// After SIGTERM, running requests may finish within this.
inline constexpr Span drain_span = seconds(8);
/// Where the platform announces its grace period, the process ends this much earlier.
inline constexpr Span drain_reserve = milliseconds(300);
/// Interval at which the settings file is checked for changes.
inline constexpr Span settings_pause = seconds(2);

// --- placement and budget (sections 8 and 9) ---
/// Retry tokens that one arrival earns. With the lifetime below, ten seconds
/// after the traffic fell to a tenth retries are at most 0.1 * (1 + 1 s * 10 / 10 s)
/// = 0.2 of it, and three more where tokens are reserved.
inline constexpr double retry_share = 0.1;
/// How long a retry token lasts.
inline constexpr Span retry_token_lifetime = seconds(1);
/// Number of proxies that may reserve a token of one service: a service with
/// twenty queries in ten seconds bears no more.
inline constexpr std::size_t max_reserve_token_holders = 3;
/// One token that outlived this may be spent while this many arrivals lie
/// within this span: a service that fell to a tenth rarely has two.
inline constexpr Span reserve_token_window = seconds(2);
inline constexpr std::uint64_t reserve_token_arrivals = 2;
/// Without any arrival for this long the reserved token is lost.
inline constexpr Span reserve_token_lifetime = seconds(10);
/// Dispatches of one query at most, including the first.
inline constexpr int max_dispatches = 4;
/// Ejection time of a worker after a failure; doubles up to the maximum.
inline constexpr Span min_ejection_time = milliseconds(500);
inline constexpr Span max_ejection_time = seconds(8);
/// Interval at which a worker's load is read.
inline constexpr Span load_pause = milliseconds(250);
/// A worker that does not report its load for this long is not used.
inline constexpr Span load_bound = milliseconds(1500);
/// Proxies divide a worker's concurrency limit: each may use this many times its
/// equal share, since callers are spread unevenly.
inline constexpr double share_excess = 2.0;
/// Interval of the measurements that proxies report to the scaler.
inline constexpr Span report_interval = milliseconds(500);
/// Samples that a proxy keeps for one report.
inline constexpr std::size_t max_report_samples = 128;
/// Initial coefficients, in seconds, until a worker's are fitted: they only need
/// the right order of magnitude, since all workers share them.
inline constexpr double initial_prefill[4] = {0.004, 0.00002, 0.0, 0.0};
inline constexpr double initial_decode[3] = {0.004, 0.002, 0.0003};

}  // namespace finchlink::common::constants
