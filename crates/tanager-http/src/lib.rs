//! HTTP/1 client and server on hyper's connection-level API.
//!
//! `oxhttp` reports connect, write and read failures as one error, has no keep-alive and no
//! deadline for a whole exchange, and its server cannot stop. The node's promises need all of
//! these, so its faces use this crate instead.

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
