//! The writing task of a link: the whole queue goes out in one write.

use crate::error::CloseReason;
use crate::state::{LinkState, Phase};
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::timeout;

/// A written buffer with more capacity is released, not reused.
const MAX_RETAINED_BYTES: usize = 64 * 1024;

/// Writes until the link is closed, then flushes the queue within a bounded time. Dropping the half closes the
/// outgoing direction of the connection.
pub(crate) async fn run(state: Rc<LinkState>, mut half: OwnedWriteHalf) {
    let mut writing = pin!(write_until_closed(&state, &mut half));
    tokio::select! {
        biased;
        () = state.writer_abort.notified() => return,
        result = &mut writing => return abort_on_error(&state, result),
        () = state.writer_closing.notified() => {}
    }
    match timeout(state.limits.connect_timeout, writing).await {
        Ok(result) => abort_on_error(&state, result),
        Err(_) => log::debug!("link flush timed out peer={}", state.peer),
    }
}

fn abort_on_error(state: &LinkState, result: io::Result<()>) {
    if let Err(error) = result {
        state.abort(CloseReason::WriteFailed(Arc::new(error)));
    }
}

async fn write_until_closed(state: &LinkState, half: &mut OwnedWriteHalf) -> io::Result<()> {
    while state.phase() == Phase::Open {
        state.writer_wake.notified().await;
        write_queue(state, half).await?;
    }
    write_queue(state, half).await
}

async fn write_queue(state: &LinkState, half: &mut OwnedWriteHalf) -> io::Result<()> {
    let buffer = state.take_queue();
    let mut remaining = buffer.as_slice();
    while !remaining.is_empty() {
        let written = half.write(remaining).await?;
        if written == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        remaining = &remaining[written..];
        state.set_bytes_in_write(remaining.len());
    }
    if buffer.capacity() <= MAX_RETAINED_BYTES {
        state.recycle(buffer);
    }
    Ok(())
}
