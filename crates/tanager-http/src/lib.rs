//! HTTP/1 client and server on hyper's connection-level API.
//!
//! The guarantees of the node require distinct errors for connect, write and read failures,
//! keep-alive, a deadline for a whole exchange and a server that can be stopped. `oxhttp` has none
//! of these, so the interfaces of the node use this crate.

pub mod client;
mod guarded_stream;
pub mod message;
pub mod pool;
mod response_body;
pub mod server;
mod transfer_limits;

pub use client::ClientConnection;
pub use client::UnsentBytes;
pub use guarded_stream::WriteGuard;
pub use message::HttpRequest;
pub use message::HttpResponse;
pub use pool::ClientPool;
pub use server::HttpServer;
pub use server::ServerLimits;
pub use transfer_limits::MIN_LINK_RATE;
pub use transfer_limits::TransferLimits;
