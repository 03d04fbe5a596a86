//! The writing task of a link: all that is queued goes out in one write.

use crate::shared::{Phase, Shared};
use std::io;
use std::pin::pin;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::timeout;

/// A written buffer larger than this is given back to the allocator.
const MOST_KEPT_BYTES: usize = 64 * 1024;

/// Writes until the link is closed, and then for a bounded time what is left. Dropping the half ends the
/// connection's outgoing direction.
pub(crate) async fn run(shared: Rc<Shared>, mut half: OwnedWriteHalf) {
    let mut writing = pin!(write_until_closed(&shared, &mut half));
    tokio::select! {
        biased;
        () = shared.writer_abort.notified() => return,
        result = &mut writing => return report(&shared, result),
        () = shared.writer_closing.notified() => {}
    }
    match timeout(shared.limits.connect_timeout, writing).await {
        Ok(result) => report(&shared, result),
        Err(_) => log::debug!("link with {}: not all was written before its end", shared.peer),
    }
}

fn report(shared: &Shared, result: io::Result<()>) {
    if let Err(error) = result {
        shared.abort(format!("writing failed: {error}"));
    }
}

async fn write_until_closed(shared: &Shared, half: &mut OwnedWriteHalf) -> io::Result<()> {
    while shared.phase() == Phase::Open {
        shared.writer_wake.notified().await;
        write_queue(shared, half).await?;
    }
    write_queue(shared, half).await
}

async fn write_queue(shared: &Shared, half: &mut OwnedWriteHalf) -> io::Result<()> {
    let buffer = shared.take_queue();
    let mut rest = buffer.as_slice();
    while !rest.is_empty() {
        let written = half.write(rest).await?;
        if written == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        rest = &rest[written..];
        shared.set_bytes_in_write(rest.len());
    }
    if buffer.capacity() <= MOST_KEPT_BYTES {
        shared.give_back(buffer);
    }
    Ok(())
}
