//! Socket of a client connection that marks the arrival of bytes in its [`ConnectionActivity`].

use crate::activity::ConnectionActivity;
use bytes::Bytes;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// TCP stream of a client connection with its activity.
#[derive(Debug)]
pub(crate) struct TrackedStream {
    stream: TcpStream,
    activity: ConnectionActivity,
    /// Bytes that are read before those of the stream.
    unread: Bytes,
}

impl TrackedStream {
    /// Wraps a stream, whose reads are then marked in `activity`.
    pub(crate) fn new(stream: TcpStream, activity: ConnectionActivity) -> TrackedStream {
        TrackedStream { stream, activity, unread: Bytes::new() }
    }

    /// Puts back bytes that were read, to be read again.
    pub(crate) fn unread(&mut self, bytes: Bytes) {
        debug_assert!(self.unread.is_empty(), "bytes are put back after those before were read");
        self.unread = bytes;
    }

    fn mark_write_progress(&self, result: &Poll<io::Result<usize>>) {
        if matches!(result, Poll::Ready(Ok(written)) if *written > 0) {
            self.activity.mark_write_progress();
        }
    }

    fn poll_read_up_to(
        &mut self, limit: usize, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let length = limit.min(buffer.remaining());
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(length));
        let result = Pin::new(&mut self.stream).poll_read(context, &mut part);
        let read = part.filled().len();
        buffer.advance(read);
        result
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.unread.is_empty() {
            let length = self.unread.len().min(buffer.remaining());
            buffer.put_slice(&self.unread.split_to(length));
            return Poll::Ready(Ok(()));
        }
        let before = buffer.filled().len();
        let result = match self.activity.readable_bytes() {
            None => Pin::new(&mut self.stream).poll_read(context, buffer),
            // The connection is polled again once more may be read.
            Some(0) => Poll::Pending,
            Some(limit) => self.poll_read_up_to(limit, context, buffer),
        };
        let read = buffer.filled().len() - before;
        if read > 0 {
            self.activity.mark_bytes_read(read);
        }
        result
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.activity.mark_bytes_written();
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.mark_write_progress(&result);
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_flush(context);
        if matches!(result, Poll::Ready(Ok(()))) {
            self.activity.mark_flushed();
        }
        result
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>, context: &mut Context<'_>, slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.activity.mark_bytes_written();
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.mark_write_progress(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
