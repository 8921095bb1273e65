//! HTTP/1.1 listener with one thread per connection and bodies that are streamed event by event.
//!
//! The listener is built on `hyper`, the library inside `astra`. `astra` reads a streamed body with blocking calls, so
//! `hyper` never sees the body yield and holds back every event until the body ends. Here a body yields between events,
//! which also lets the listener notice a caller that disconnects while its request waits.

mod body;
pub mod client;
mod connection;
mod listener;
pub mod outbound;
pub mod server;

pub use body::{Body, SendError, StreamSender, stream};
pub use connection::{Reply, Request, read_body, within};
pub use listener::{Handler, Limits, Listener, ListenerHandle};
