//! HTTP/1 client and server on hyper's connection-level API.
//!
//! The interfaces of the node use this crate instead of `oxhttp`, which reports connect, write and
//! read failures as the same error, has neither keep-alive nor a deadline for a whole exchange, and
//! whose server cannot be stopped. The guarantees of the node depend on all of these.

pub mod client;
pub mod message;
pub mod pool;
pub mod server;

pub use client::ClientConnection;
pub use message::HttpRequest;
pub use message::HttpResponse;
pub use pool::ClientPool;
pub use server::HttpServer;
pub use server::ServerLimits;
