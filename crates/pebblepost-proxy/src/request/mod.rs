//! Reads client requests within the limits: yields head and body, or a [`Rejection`].

mod body;
mod head;
mod memory;
mod rejection;

pub(crate) use body::{BufferedBody, read_body};
pub(crate) use head::RequestHead;
pub(crate) use memory::MemoryBudget;
pub(crate) use rejection::Rejection;
