//! HTTP/1.1 listener with one thread per connection and response bodies that are streamed event by event.
//!
//! The listener uses `hyper` directly rather than `astra`, which is built on it. `astra` reads a streamed body with
//! blocking calls, so the body never yields to `hyper`, which then buffers all events until the body ends. Here a body
//! yields between events. This also lets the listener detect a caller that disconnects while its request waits.

mod body;
pub mod client;
mod connection;
pub mod connection_pool;
mod listener;
pub mod server;

pub use body::{Body, SendError, StreamSender, streamed_body};
pub use connection::{Reply, Request, read_body, with_timeout};
pub use listener::{Handler, Limits, Listener, ListenerHandle};
