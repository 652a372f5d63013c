//! Divides the memory that the platform allows among the connections and the buffered bodies.
//!
//! Each process of an upgrade gets half, since the system gets little back of what a process has used. The costs of a
//! connection are those of the HTTP library's buffers and of the tasks that serve it.

/// The least memory that the platform gives, in bytes; connections are planned for at least as much.
const LEAST_MEMORY_BYTES: usize = 32 << 20;
/// Bytes of the program, the runtime, the endpoint list and the control plane's clients.
const BASE_BYTES: usize = 7 << 20;
/// Bytes of an accepted connection whose first request has not arrived.
const WAITING_BYTES: usize = 4 << 10;
/// Most accepted connections that are planned for: those of 1,024 descriptors.
const MAX_WAITING: usize = 1024;
/// Divisor that gives the part of the rest for buffered bodies.
const BODY_DIVISOR: usize = 4;
/// Divisor that gives the largest part of the whole memory for buffered bodies.
const MAX_BODY_DIVISOR: usize = 4;
/// Bytes of a client connection beside its two HTTP buffers: the task, its state and the buffer of response heads.
const CLIENT_BYTES: usize = 16 << 10;
/// Bytes of a backend connection beside its two HTTP buffers: the same, and the channel of requests.
const BACKEND_BYTES: usize = 20 << 10;
/// Client connections for each backend connection: a request waits, arrives or rests more often than it is at a backend.
const CLIENTS_PER_BACKEND: usize = 2;
/// Size in bytes of an HTTP buffer where memory is short; the least that the HTTP library allows.
const SMALL_HTTP_BUFFER_BYTES: usize = 8 << 10;
/// Size in bytes of an HTTP buffer.
const HTTP_BUFFER_BYTES: usize = 16 << 10;
/// Memory of a process from which on its HTTP buffers are not small, in bytes.
const AMPLE_MEMORY_BYTES: usize = 64 << 20;

/// What a process may hold at the most.
#[derive(Clone, Copy, Debug)]
pub struct MemoryPlan {
    /// Most connections to clients.
    pub client_connections: usize,
    /// Most connections to backends.
    pub backend_connections: usize,
    /// Bytes for buffered bodies.
    pub body_bytes: usize,
    /// Size in bytes of each of the HTTP library's buffers, and of the longest head; a connection has one for each
    /// direction.
    pub http_buffer_bytes: usize,
}

impl MemoryPlan {
    /// Divides `memory_bytes`, of which the process gets half if another one `may_replace` it while it serves. It may
    /// accept `accepted` connections, most of which wait for their first request.
    pub fn new(memory_bytes: usize, may_replace: bool, accepted: usize) -> Self {
        let processes = if may_replace { 2 } else { 1 };
        let own_bytes = memory_bytes.max(LEAST_MEMORY_BYTES) / processes;
        let rest = own_bytes - BASE_BYTES - WAITING_BYTES * accepted.min(MAX_WAITING);
        let http_buffer_bytes =
            if own_bytes < AMPLE_MEMORY_BYTES { SMALL_HTTP_BUFFER_BYTES } else { HTTP_BUFFER_BYTES };
        let for_bodies = rest / BODY_DIVISOR;
        let client_bytes = CLIENT_BYTES + 2 * http_buffer_bytes;
        let backend_bytes = BACKEND_BYTES + 2 * http_buffer_bytes;
        let backend_connections = (rest - for_bodies) / (CLIENTS_PER_BACKEND * client_bytes + backend_bytes);
        MemoryPlan {
            client_connections: CLIENTS_PER_BACKEND * backend_connections,
            backend_connections,
            body_bytes: for_bodies.min(memory_bytes / MAX_BODY_DIVISOR),
            http_buffer_bytes,
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/proxy/memory.rs"]
mod tests;
