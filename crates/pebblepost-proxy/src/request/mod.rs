//! Reading of clients' requests: head and body, within the limits, or a [`Rejection`].

mod body;
mod head;
mod memory;
mod rejection;

pub(crate) use body::{BufferedBody, read_body};
pub(crate) use head::RequestHead;
pub(crate) use memory::MemoryBudget;
pub(crate) use rejection::Rejection;
