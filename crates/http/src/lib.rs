//! HTTP/1.1 listeners and clients.
//!
//! [`Listener`] has one thread per connection, [`server::Server`] runs connections as tasks of a `tokio` runtime. Both can
//! stream response bodies event by event. [`connection_pool`] and [`client`] are for calls to backend servers.
//!
//! The listener uses `hyper` directly rather than `astra`, which is built on it. `astra` reads a streamed body with
//! blocking calls, so the body never yields to `hyper`, which then buffers all events until the body ends. Here a body
//! yields between events. This also lets the listener detect a caller that disconnects while its request waits.

mod activity;
mod body;
pub mod client;
mod connection;
pub mod connection_pool;
mod listener;
pub mod server;

pub use body::{Body, SendError, StreamSender, streamed_body};
pub use connection::{Reply, Request, read_body, with_timeout};
pub use listener::{Handler, Limits, Listener, ListenerHandle};
