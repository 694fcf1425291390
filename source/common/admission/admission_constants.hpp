#pragma once

#include <cstddef>

#include "common/time/moment.hpp"

/// Constants of the admission of connections, each with its unit (section 9.9).
namespace finchlink::common::constants {

/// Descriptors of a process that are kept for files outside its data folder.
inline constexpr std::size_t file_descriptors = 200;
/// Descriptors for the process itself: listeners, timers, data files, calls to other nodes and to the platform.
inline constexpr std::size_t own_descriptors = 64;
/// Descriptors that sockets may use however few there are.
inline constexpr std::size_t min_socket_descriptors = 32;
/// Shares of the socket descriptors. Each caller may need one more for a worker; what is left is for those.
inline constexpr double caller_descriptor_share = 3.0 / 8;
inline constexpr double status_descriptor_share = 1.0 / 16;
inline constexpr double operator_descriptor_share = 1.0 / 8;
inline constexpr double node_descriptor_share = 1.0 / 2;
inline constexpr double idle_worker_descriptor_share = 1.0 / 8;

/// Memory of the process itself, in bytes: programs, configuration, lists. Of a small machine it is at most half.
inline constexpr std::size_t own_memory_bytes = 64u << 20u;
/// Share of the rest that connections may use: allocations take more than their size.
inline constexpr double connection_memory_share = 0.85;
/// Share of that which connections may use by being open; the rest is shared by what they hold beyond it.
inline constexpr double open_connection_share = 0.65;
/// Bytes that an open connection takes anyway: its stack, its parser, a header, and the buffers of its sockets.
inline constexpr std::size_t caller_connection_bytes = 80u << 10u;
inline constexpr std::size_t status_connection_bytes = 64u << 10u;
inline constexpr std::size_t operator_connection_bytes = 160u << 10u;
inline constexpr std::size_t node_connection_bytes = 128u << 10u;

/// Receive buffers of accepted connections, in bytes. Nodes and operators send megabytes between regions.
inline constexpr std::size_t caller_receive_buffer_bytes = 16u << 10u;
inline constexpr std::size_t operator_receive_buffer_bytes = 64u << 10u;
inline constexpr std::size_t node_receive_buffer_bytes = 64u << 10u;
/// Send buffer of connections to callers, and receive buffer of connections to workers, in bytes.
inline constexpr std::size_t caller_send_buffer_bytes = 32u << 10u;
inline constexpr std::size_t worker_receive_buffer_bytes = 32u << 10u;
/// A body of at least this many bytes is received through a larger buffer, so that it arrives in time from another
/// region.
inline constexpr std::size_t large_body_bytes = 64u << 10u;
inline constexpr std::size_t large_receive_buffer_bytes = 192u << 10u;

/// A connection that holds no more than this, in bytes, may use all of the shared memory; others only this share of it.
inline constexpr std::size_t small_holding_bytes = 32u << 10u;
inline constexpr double large_holding_share = 0.75;
/// Share of the shared memory up to which requests that were sent ahead are read.
inline constexpr double read_ahead_share = 0.5;
/// For this long after a new connection was refused, others are closed once they have been served.
inline constexpr Span crowded_span = milliseconds(1000);
/// A connection whose caller has not taken an answer for this long may be closed to make room.
inline constexpr Span unread_answer_grace = milliseconds(1000);
/// Pause before memory is asked for again that connections being closed are about to free.
inline constexpr Span memory_retry_pause = milliseconds(2);

/// Bytes that a parsed header field takes beside its text, and the fields that are part of an open connection's bytes.
inline constexpr std::size_t header_field_bytes = 160;
inline constexpr std::size_t free_header_fields = 48;
/// Connections that may wait to be accepted at one listener.
inline constexpr int accept_backlog = 1024;
/// Pause after a connection could not be accepted.
inline constexpr Span accept_retry_pause = milliseconds(20);
/// Bytes that are read at first of an idle connection; its buffer is no larger meanwhile.
inline constexpr std::size_t first_read_bytes = 4u << 10u;
/// Bytes sent ahead that are part of what an open connection takes anyway.
inline constexpr std::size_t free_read_ahead_bytes = 16u << 10u;
/// Bytes of a worker's whole answer that are part of it, too.
inline constexpr std::size_t free_answer_bytes = 8u << 10u;
/// Bytes in which a request is read at most at a time.
inline constexpr std::size_t request_piece_bytes = 8u << 10u;
/// First allocation for a text that grows while it is received, in bytes.
inline constexpr std::size_t first_text_bytes = 4u << 10u;
/// Bytes in which a frame between nodes is read, and of a reply that are part of what an open connection takes anyway.
inline constexpr std::size_t frame_piece_bytes = 16u << 10u;
inline constexpr std::size_t free_frame_bytes = 16u << 10u;
/// An operator's document is held this many times while it is checked and proposed.
inline constexpr std::size_t operator_document_copies = 4;

}  // namespace finchlink::common::constants
