//! The reading half of a link.

use crate::frame::Decoder;
use crate::shared::{Phase, Shared};
use eyre::{Result, eyre};
use nanoserde::DeBin;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::time::{Instant, Sleep, sleep_until};

/// The reading half of a link. Dropping it closes the link.
#[derive(Debug)]
pub struct Receiver {
    shared: Rc<Shared>,
    half: OwnedReadHalf,
    decoder: Decoder,
    last_read: Instant,
    silence_check: Pin<Box<Sleep>>,
}

enum Event {
    Read(io::Result<usize>),
    Closed,
    SilenceCheck,
}

impl Receiver {
    pub(crate) fn new(shared: Rc<Shared>, half: OwnedReadHalf) -> Receiver {
        let now = Instant::now();
        let silence_check = Box::pin(sleep_until(now + shared.limits.read_timeout));
        let decoder = Decoder::new(shared.limits.max_frame_bytes);
        Receiver { shared, half, decoder, last_read: now, silence_check }
    }

    /// Next message. An error says why the link ended (closed, silent, a frame that can't be read), with the
    /// peer's address. A call that is dropped before its end loses nothing.
    pub async fn receive<M: DeBin>(&mut self) -> Result<M> {
        loop {
            if self.shared.phase() == Phase::Flushing {
                return Err(self.ended());
            }
            match self.decoder.next() {
                Ok(Some(message)) => return Ok(message),
                Ok(None) => self.read_more().await?,
                Err(error) => return Err(self.fail(error.to_string())),
            }
        }
    }

    async fn read_more(&mut self) -> Result<()> {
        match self.next_event().await {
            Event::Read(Ok(0)) if self.decoder.is_inside_frame() => {
                Err(self.fail("closed by the other end in the middle of a frame".to_owned()))
            }
            Event::Read(Ok(0)) => Err(self.fail("closed by the other end".to_owned())),
            Event::Read(Ok(_)) => {
                self.last_read = Instant::now();
                Ok(())
            }
            Event::Read(Err(error)) => Err(self.fail(format!("reading failed: {error}"))),
            Event::Closed => Err(self.ended()),
            Event::SilenceCheck => self.check_silence(),
        }
    }

    /// Reading goes first: what arrived before the link ended is still handed out.
    async fn next_event(&mut self) -> Event {
        let buffer = self.decoder.buffer_to_fill();
        tokio::select! {
            biased;
            read = self.half.read_buf(buffer) => Event::Read(read),
            () = self.shared.receiver_wake.notified() => Event::Closed,
            () = &mut self.silence_check => Event::SilenceCheck,
        }
    }

    /// Sets the timer anew only when it fires, not with every read.
    fn check_silence(&mut self) -> Result<()> {
        let silence = self.shared.limits.read_timeout;
        let deadline = self.last_read + silence;
        if Instant::now() >= deadline {
            return Err(self.fail(format!("nothing was read for {} ms", silence.as_millis())));
        }
        self.silence_check.as_mut().reset(deadline);
        Ok(())
    }

    fn fail(&self, reason: String) -> eyre::Report {
        self.shared.abort(reason);
        self.ended()
    }

    fn ended(&self) -> eyre::Report {
        // A later call of `receive` finds the same end.
        self.shared.receiver_wake.notify_one();
        eyre!("link with {}: {}", self.shared.peer, self.shared.reason())
    }
}

impl Drop for Receiver {
    fn drop(&mut self) {
        self.shared.close("no longer read by this end");
    }
}
