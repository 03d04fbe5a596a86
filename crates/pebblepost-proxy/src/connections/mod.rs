//! Client connections: HTTP/1.1, one task per connection, within the limits of the configuration.

mod connection;
mod http_connection;
mod server;
mod tracked_stream;

pub(crate) use connection::ConnectionContext;
pub(crate) use server::Server;
