//! Reads client requests within the limits: yields head and body, or a [`Rejection`].

mod body;
mod head;
mod rejection;

pub(crate) use body::{ContiguousBody, read_body};
pub(crate) use head::RequestHead;
pub(crate) use rejection::Rejection;
