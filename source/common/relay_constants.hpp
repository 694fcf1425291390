#pragma once

#include "common/constants.hpp"

/// The constants of the relay and of scheduling, each with its unit and reason; in a header of their own, so that a
/// change of one doesn't rebuild everything.
namespace finchlink::common::constants {

// --- relay (section 13) ---
/// Fractions of the bounds shared by all proxies that are used: the rest covers proxies that have just started, stopped
/// or restarted, and lists that differ.
inline constexpr double retry_quota_ratio_fraction = 0.75;
inline constexpr double retry_quota_slack_fraction = 0.6;
inline constexpr double cold_start_fraction = 0.6;
inline constexpr double connection_fraction = 0.8;
/// A proxy that is no longer a member still counts among those that share a bound for this long: it may only be cut
/// off, and cuts last up to some ten seconds.
inline constexpr Span proxy_count_retention = seconds(20);
/// Window over which queries to a cold worker are counted, slightly more than the second that the bound refers to,
/// since they arrive later than they are sent.
inline constexpr Span cold_window = milliseconds(1300);
/// The workers of a restored zone count as cold for this long, until the list would report them as cold.
inline constexpr Span restored_zone_cold_span = milliseconds(3000);
/// Fraction of a worker's memory that the prefix record assumes for cached prompts: running queries take the rest.
inline constexpr double cache_memory_fraction = 0.8;
/// Workers in regions that no route names as home own the prefixes that may be served anywhere if they are at least
/// this fraction of a service's workers: fewer would be overloaded.
inline constexpr double min_unclaimed_fraction = 0.3;
/// Only prefixes that cost this many times the transit between regions to read again: transit is paid for every query,
/// reading only once.
inline constexpr double min_reread_to_transit_ratio = 2;
/// Prefixes of at least this many tokens have an owner and are used to estimate the speed.
inline constexpr double min_owned_tokens = 1000;
/// A cached part counts for at least this many tokens, which bounds the number of parts by the worker's memory even if
/// callers name tiny ones.
inline constexpr double min_cached_part_tokens = 16;
/// Whether each proxy separates long prompts by its own estimate: off, since owners that change with the estimate read
/// shared parts again (measured); a written split separates them.
inline constexpr bool keep_long_apart = false;
/// Demand is averaged over about this many seconds; bounds of the fraction of a region's workers that long prompts are
/// sent to while there are others too; worker seconds that a query costs besides its prefill; costs of placing a prompt
/// among workers of the other kind.
inline constexpr double demand_memory_seconds = 10;
inline constexpr double min_long_share = 0.5;
inline constexpr double max_long_share = 0.8;
inline constexpr double short_query_seconds = 0.01;
inline constexpr double long_misplacement_cost = 0.12;
inline constexpr double short_misplacement_cost = 0.06;
/// Load reports to the scaler (section 13.11): their bytes cost money between regions, so they are infrequent; an
/// interval should still hold two reports of each proxy.
inline constexpr Span relay_report_interval = milliseconds(10000);
inline constexpr Span min_relay_report_interval = milliseconds(500);
/// Samples for the fit in one report, and reports that wait for a controller.
inline constexpr std::size_t max_reported_samples = 8;
inline constexpr std::size_t max_pending_reports = 4;
/// Fraction of a set point that is allowed for the first response at the worker: the rest is the network and what the
/// proxy holds back; how much prompt lengths vary, (1 + variation) / 2 for lengths distributed as in sessions; the
/// minimum load that a worker counts for.
inline constexpr double set_point_fraction = 0.6;
inline constexpr double prefill_spread = 1.5;
inline constexpr double min_worker_load = 0.05;
/// A phase with less work than this fraction of one worker's gets no worker of its own.
inline constexpr double min_phase_work = 0.5;
/// Gaps between events that are evaluated: at least, and at most of one stream.
inline constexpr std::size_t min_gaps = 3;
inline constexpr std::size_t max_gaps = 32;
/// A reported load is forgotten over this many seconds.
inline constexpr double reported_load_seconds = 3;
/// Queries on a worker, as a multiple of its capacity, up to which it is sent more.
inline constexpr double queue_factor = 1.25;
/// Costs in seconds that placement adds: another zone (its traffic is paid for), another region, one more running
/// query, a cold worker.
inline constexpr double other_zone_cost = 0.03;
inline constexpr double other_region_cost = 0.25;
inline constexpr double running_cost = 0.002;
inline constexpr double running_cost_long = 0.02;
inline constexpr double cold_cost = 0.5;
/// Costs in seconds of a worker that failed and has not responded since, more for a query that can be sent only once,
/// and of a worker in a zone where others are unreachable; how long that is remembered.
inline constexpr double probation_cost = 0.1;
inline constexpr double probation_once_cost = 0.6;
inline constexpr double unreachable_zone_cost = 4.0;
inline constexpr Span unreachable_zone_memory = seconds(3);
/// The round trip to another region, in seconds, and how much later than predicted a first token may come before its
/// worker counts as overloaded.
inline constexpr double other_region_seconds = 0.12;
inline constexpr Span overdue_slack = milliseconds(100);
/// Cost in seconds of reading one shared token again: far above its time, since it takes memory from what others share
/// and is paid for.
inline constexpr double reread_cost = 0.0001;
/// Service time assumed for a worker that generates no text, in seconds.
inline constexpr double plain_seconds = 0.08;
/// At most this fraction of a region's workers of one service is ejected for failed queries: two of three, so that one
/// always serves; with fewer workers than the minimum none can be an outlier among the others.
inline constexpr double ejection_share = 0.7;
inline constexpr std::size_t min_ejection_pool = 3;
/// Refusals of one request by workers that don't count as attempts of its route: nothing ran there.
inline constexpr int max_refusals = 3;
/// A worker that refused gets no queries for this long.
inline constexpr Span refusal_cooldown = milliseconds(100);
/// Deadline of a connection to a worker: more than two round trips between regions.
inline constexpr Span relay_connect_deadline = milliseconds(350);
/// The same within a region, where a round trip takes a few milliseconds.
inline constexpr Span relay_connect_deadline_in_region = milliseconds(120);
/// Failed connections that one query may make; none of them reached a worker.
inline constexpr int max_connects = 4;
/// Bytes of a caller's next requests that are read while one is served, so that its disconnect behind them is seen;
/// with more than this read ahead it is no longer watched.
inline constexpr std::size_t max_read_ahead_bytes = 64u << 10u;
/// The longest time that a caller can say it waits, in milliseconds: a day.
inline constexpr std::uint64_t max_time_left_ms = 86400000;
/// Heads of interim responses (1xx) that a worker may send before its final one.
inline constexpr int max_interim_responses = 8;
/// An idle connection to a worker is reused within this time.
inline constexpr Span worker_idle_timeout = milliseconds(4000);
/// Idle connections kept per worker.
inline constexpr std::size_t max_idle_per_worker = 8;
/// How long a query waits for the first routing configuration and list of workers of a proxy that has just started: a
/// caller refused meanwhile may have no retry left (its first attempt met the process that ended), and one that waits
/// is served, if late. A controller that starts at the same moment has read from a majority by then.
inline constexpr Span routing_config_wait = milliseconds(1000);
/// Fraction of the caller's remaining time that it waits at most, so that a refused caller can still retry; most
/// proxies have both documents within the minimum.
inline constexpr double routing_config_wait_fraction = 0.2;
inline constexpr Span min_routing_config_wait = milliseconds(250);
/// How long a proxy counts as just started: what has not arrived by then is missing for longer, and queries are refused
/// at once.
inline constexpr Span startup_span = seconds(10);
/// Bytes of a query refused before its body was read that are discarded at most, so that the response arrives: as large
/// a body as routing configurations usually allow.
inline constexpr std::size_t max_discarded_bytes = 4u << 20u;
/// Pause between two attempts to find a place.
inline constexpr Span placement_retry_pause = milliseconds(20);
/// Fraction of a route's set point for which a query waits for a place, and the bound for routes that have no set
/// point.
inline constexpr double placement_wait_fraction = 0.2;
inline constexpr Span default_placement_wait = milliseconds(200);
/// Fraction of a set point after which a stalled worker is given up, if the query may be repeated and another worker
/// has a place.
inline constexpr double stall_fraction = 0.6;
/// A long prompt waits for this many of these bounds for a worker that accepts connections but sends nothing: by then
/// only a request that is stuck there explains it.
inline constexpr int max_stall_bounds = 5;
/// The set point by which a stall is detected for routes that have none.
inline constexpr double default_stall_set_point_ms = 1000;
/// A worker that sent bytes to any query within this time is busy, not unreachable: it is checked again after the step,
/// at most up to twice the allowed stall.
inline constexpr Span worker_alive_span = milliseconds(250);
inline constexpr Span worker_alive_step = milliseconds(100);
/// Stack of a relay's coroutine, in bytes; only pages that are touched take memory.
inline constexpr std::size_t relay_stack_bytes = 96u << 10u;
/// While no controller answers, updates are requested from this many at once, with this deadline each time.
inline constexpr std::size_t max_parallel_update_requests = 3;
inline constexpr Span lost_contact_timeout = milliseconds(900);
/// Minimum interval between two update requests.
inline constexpr Span min_update_request_interval = milliseconds(150);
/// A zone with fewer ready proxies is filled up from its region; and the most addresses in one response.
inline constexpr std::size_t min_directory_entries = 2;
inline constexpr std::size_t max_directory_entries = 64;
/// Largest header of a worker's response, in bytes.
inline constexpr std::uint32_t answer_header_limit = 64u << 10u;
/// Bytes of a worker's response that are buffered at most: a header, or an extension or a trailer as large, and a
/// piece.
inline constexpr std::size_t answer_buffer_bytes = answer_header_limit + (64u << 10u);
/// Bytes of a refusal's body that are read so that its connection can be used again; behind more, it is closed.
inline constexpr std::size_t refusal_limit = 64u << 10u;
/// Size of the chunks in which a worker's response is read.
inline constexpr std::size_t piece_bytes = 8192;
/// When updates are older than this, the proxy reads the platform's list itself.
inline constexpr Span own_list_read_after = milliseconds(4000);
/// After SIGTERM, callers that know this proxy may still come for this long.
inline constexpr Span drain_linger = milliseconds(4500);
/// The end of the grace period that is reserved for closing connections.
inline constexpr Span drain_close_reserve = milliseconds(700);
/// Queries that come later than this after SIGTERM are taken only if they end before connections are closed.
inline constexpr Span drain_full_service = milliseconds(2500);
/// Such a query is answered this long before connections are closed, if its worker has not answered.
inline constexpr Span drain_answer_reserve = milliseconds(200);

}  // namespace finchlink::common::constants
