#pragma once

#include "common/constants.hpp"

/// The constants of the relay, each with its unit and reason; kept beside the
/// others so that a change of one doesn't build everything anew.
namespace finchlink::common::constants {

// --- relay (section 13) ---
/// Parts of the bounds shared by all furrows that are used: the rest covers
/// furrows that have just come, gone or restarted, and lists that differ.
inline constexpr double retry_quota_ratio_fraction = 0.75;
inline constexpr double retry_quota_slack_fraction = 0.6;
inline constexpr double cold_part = 0.6;
inline constexpr double connection_part = 0.8;
/// A furrow that is no member any more counts among those that share a bound
/// this long: it may be cut off only, and cuts last up to some ten seconds.
inline constexpr Span proxy_count_retention = seconds(20);
/// Window over which queries to a cold worker are counted, a little over the
/// second that the bound names, since they arrive later than they are sent.
inline constexpr Span cold_window = milliseconds(1300);
/// A hall taken back counts as cold until the list would have told.
inline constexpr Span restored_zone_cold_span = milliseconds(3000);
/// Part of a worker's memory that the record counts on: running queries take the rest.
inline constexpr double reuse_part = 0.8;
/// Part of a service's workers that stand in regions which no lane calls home,
/// from which on they own what may be served anywhere: fewer would be crowded.
inline constexpr double free_least = 0.3;
/// Only beginnings whose second reading costs this many times the way there: the
/// way is paid each time, the reading once.
inline constexpr double min_reread_to_transit_ratio = 2;
/// Beginnings of at least this many tokens have an owner and teach the pace.
inline constexpr double owned_tokens = 1000;
/// Kept apart by each furrow's own estimate: off, since owners that change with
/// it read shared parts anew (measured); a written split keeps them apart.
inline constexpr bool keep_long_apart = false;
/// Demand is remembered for about this many seconds; bounds of the share of a
/// region's workers that long prompts are fed to while there are others too;
/// worker seconds that a query costs beside its prefill; costs of going astray.
inline constexpr double demand_memory = 10;
inline constexpr double min_long_share = 0.5;
inline constexpr double max_long_share = 0.8;
inline constexpr double short_work = 0.01;
inline constexpr double long_misplacement_cost = 0.12;
inline constexpr double short_misplacement_cost = 0.06;
/// Reports of work to the scaler (section 13.11): their bytes are priced between
/// regions, so they are seldom; a slice should still hold two of each furrow.
inline constexpr Span relay_report_interval = milliseconds(10000);
inline constexpr Span min_relay_report_interval = milliseconds(500);
/// Rows for the fit in one report, and reports that wait for a trellis.
inline constexpr std::size_t max_reported_samples = 8;
inline constexpr std::size_t reports_most = 4;
/// Part of a set point that first answers are rated by: the rest is the way and
/// what the furrow holds; how unevenly prompts are long, (1 + variation) / 2 for
/// sizes spread as sessions' are; the least load that a worker counts for.
inline constexpr double set_point_part = 0.6;
inline constexpr double reading_spread = 1.5;
inline constexpr double load_least = 0.05;
/// A phase with less work than this part of one worker's gets none of its own.
inline constexpr double apart_least = 0.5;
/// Gaps between events that are looked at: at least, and at most of one stream.
inline constexpr std::size_t min_gaps = 3;
inline constexpr std::size_t max_gaps = 32;
/// A told load is forgotten over this many seconds.
inline constexpr double load_memory = 3;
/// Queries on a worker, as a multiple of its places, up to which it is sent more.
inline constexpr double queue_factor = 1.25;
/// Costs in seconds that placement adds: the way to another hall (its bytes are
/// paid for), to another region, one more running query, a cold worker.
inline constexpr double other_zone_cost = 0.03;
inline constexpr double other_region_cost = 0.25;
inline constexpr double running_cost = 0.002;
inline constexpr double running_cost_long = 0.02;
inline constexpr double cold_cost = 0.5;
/// Costs in seconds of a worker that failed and was not heard since, the more
/// for a query that has one chance only, and of one in a hall where others are
/// out of reach; how long that is remembered.
inline constexpr double trial_cost = 0.1;
inline constexpr double probation_once_cost = 0.6;
inline constexpr double dark_cost = 4.0;
inline constexpr Span unreachable_zone_memory = seconds(3);
/// The way to another region and back, in seconds, and what a first token may
/// be later than predicted before its worker counts as held up.
inline constexpr double other_region_seconds = 0.12;
inline constexpr Span overdue_slack = milliseconds(100);
/// Cost in seconds of reading one shared token anew: far above its time, since
/// it takes memory from what others share and is paid for.
inline constexpr double reread_cost = 0.0001;
/// Service time taken for a worker that generates no text, in seconds.
inline constexpr double plain_seconds = 0.08;
/// Of a region's workers of one service at most this part rests for what they did
/// to queries: two of three, so that one always serves; with fewer than the least
/// nobody is an outlier among others.
inline constexpr double ejection_share = 0.7;
inline constexpr std::size_t min_ejection_pool = 3;
/// Refusals by workers, of one request, that are no tries of its route: nothing ran there.
inline constexpr int max_refusals = 3;
/// A worker that refused is left alone this long.
inline constexpr Span refusal_cooldown = milliseconds(100);
/// Establishing a connection to a worker; the way between regions twice, and more.
inline constexpr Span relay_connect_deadline = milliseconds(350);
/// The same within a region, where the way takes a few milliseconds.
inline constexpr Span relay_connect_deadline_in_region = milliseconds(120);
/// Tries to connect that one query may make; none of them reached a worker.
inline constexpr int max_connects = 4;
/// Bytes of a caller's next requests that are read while one is served, so that its
/// end behind them is seen; with more than this ahead it isn't watched any longer.
inline constexpr std::size_t max_read_ahead_bytes = 64u << 10u;
/// Heads of interim answers (1xx) that a worker may send before its final one.
inline constexpr int max_interim_responses = 8;
/// An idle connection to a worker is used again within this.
inline constexpr Span worker_idle = milliseconds(4000);
/// Idle connections kept per worker.
inline constexpr std::size_t worker_idle_most = 8;
/// How long a query waits for the first charter and list of workers of a furrow that has just
/// started: a caller refused meanwhile may have no try left (its first met the
/// process that ended), and one that waits is served, if late. A trellis that
/// starts at the same moment has read a majority by then.
inline constexpr Span routing_config_wait = milliseconds(1000);
/// Part of the time its caller has left that it waits at most, so that one refused
/// can still come back; most furrows have both within the least.
inline constexpr double routing_config_wait_fraction = 0.2;
inline constexpr Span min_routing_config_wait = milliseconds(250);
/// Up to when a furrow counts as just started: what has not come by then is lost
/// for longer, and queries are refused at once.
inline constexpr Span first_span = seconds(10);
/// Bytes of a query refused unread that are thrown away at most, so that the
/// answer arrives: as large a body as charters usually allow.
inline constexpr std::size_t max_discarded_bytes = 4u << 20u;
/// Pause between two looks for a place.
inline constexpr Span placement_retry_pause = milliseconds(20);
/// Part of a lane's set point up to which a query is held without a place, and
/// the bound where a lane tells none.
inline constexpr double hold_part = 0.2;
inline constexpr Span hold_plain = milliseconds(200);
/// Part of a set point after which a silent worker is given up, if the query
/// may be repeated and another worker has a place.
inline constexpr double silence_part = 0.6;
/// As many of these bounds a long prompt waits for a worker that takes connections and says nothing: by then only a
/// request that is stuck there explains it.
inline constexpr int max_stall_bounds = 5;
/// The set point that silence is measured by where a lane tells none.
inline constexpr double default_stall_set_point_ms = 1000;
/// A worker that gave bytes to any query within this is busy, not dark: it is
/// asked again after the step, at most up to twice the silence allowed.
inline constexpr Span alive_span = milliseconds(250);
inline constexpr Span alive_step = milliseconds(100);
/// Stack of a relay's coroutine, in bytes; only what is touched counts.
inline constexpr std::size_t relay_stack = 96u << 10u;
/// While no trellis answers this many are asked at once, this long each time.
inline constexpr std::size_t max_parallel_update_requests = 3;
inline constexpr Span lost_contact_timeout = milliseconds(900);
/// Two asks for news are at least this far apart.
inline constexpr Span ask_least = milliseconds(150);
/// A hall with fewer ready furrows is helped out by its region; most told.
inline constexpr std::size_t directory_least = 2;
inline constexpr std::size_t directory_most = 64;
/// Largest header of a worker's answer, in bytes.
inline constexpr std::uint32_t answer_header_limit = 64u << 10u;
/// Size of the pieces in which a worker's answer is read.
inline constexpr std::size_t piece_bytes = 8192;
/// News older than this: the furrow reads the platform list itself.
inline constexpr Span own_list_after = milliseconds(4000);
/// SIGTERM: callers who know this furrow may still come for this long.
inline constexpr Span leave_linger = milliseconds(4500);
/// The end of the grace that is kept free for closing.
inline constexpr Span leave_reserve = milliseconds(700);

}  // namespace finchlink::common::constants
