//! The writer task of a link. Each write takes as much of the queue as the pacer grants.

use crate::error::CloseReason;
use crate::pacer::{MAX_PACED_CHUNK_BYTES, MAX_UNPACED_BYTES};
use crate::send_queue::Batch;
use crate::state::{LinkState, Phase};
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::timeout;

/// Writes until the link is closed, then flushes the queue for at most [`crate::LinkLimits::connect_timeout`].
/// Dropping the write half closes the outgoing direction of the connection.
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
        Err(_) => log::debug!(
            "link flush timed out, queued messages dropped peer={} queued_bytes={}",
            state.peer,
            state.queued_bytes()
        ),
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
    loop {
        let mut batch = state.take_batch();
        if batch.remaining() == 0 {
            return Ok(());
        }
        write_batch(state, half, &mut batch).await?;
        state.recycle(batch);
    }
}

async fn write_batch(state: &LinkState, half: &mut OwnedWriteHalf, batch: &mut Batch) -> io::Result<()> {
    while batch.remaining() > 0 {
        let granted = wait_for_pacer(state, batch.remaining()).await;
        let mut remaining_granted = granted;
        while remaining_granted > 0 {
            let written = half.write_vectored(&batch.slices(remaining_granted)).await?;
            if written == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            remaining_granted -= written;
            batch.advance(written);
            state.set_bytes_in_write(batch.remaining());
        }
    }
    Ok(())
}

/// Waits until some of the `remaining` bytes may be written and returns how many. Without a pacer these are all.
async fn wait_for_pacer(state: &LinkState, remaining: usize) -> usize {
    let Some(pacer) = &state.pacer else { return remaining };
    if state.queued_bytes() <= MAX_UNPACED_BYTES {
        pacer.count_unpaced(remaining);
        return remaining;
    }
    let chunk = remaining.min(MAX_PACED_CHUNK_BYTES);
    pacer.wait(chunk).await;
    chunk
}
