//! Runs many dispatchers behind the byte protocol of the operators' simulator: batches on standard input,
//! replies on standard output. Makes no decisions.

#![forbid(unsafe_code)]

use pebblepost_dispatch::Dispatcher;
use pebblepost_dispatch::api::{Action, Time};
use pebblepost_dispatch::wire::{BATCH_HEADER_BYTES, BatchHeader, Message, Reply, WireError, parse_batch};
use std::collections::HashMap;
use std::io::{self, BufReader, Read, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match run(BufReader::with_capacity(1 << 20, io::stdin().lock()), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pebblepost-dispatch-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(mut input: impl Read, mut output: impl Write) -> io::Result<()> {
    let mut host = Host::default();
    let mut body = Vec::new();
    while let Some(header) = read_header(&mut input)? {
        body.clear();
        if input.by_ref().take(header.size as u64).read_to_end(&mut body)? < header.size {
            return Err(io::Error::other(WireError::Truncated("batch")));
        }
        for (instance, message) in parse_batch(&header, &body).map_err(io::Error::other)? {
            host.handle_message(header.now, instance, message).map_err(io::Error::other)?;
        }
        output.write_all(&host.reply.take())?;
        output.flush()?;
    }
    Ok(())
}

/// Instances of this process and the reply to the current batch.
#[derive(Default)]
struct Host {
    /// Instances by number; `None`: launched once and shut down since.
    instances: HashMap<u32, Option<Dispatcher>>,
    actions: Vec<Action>,
    reply: Reply,
}

impl Host {
    fn handle_message(&mut self, now: Time, instance: u32, message: Message) -> Result<(), WireError> {
        if let Message::Launch(seed, settings) = message {
            self.instances.insert(instance, Some(Dispatcher::new(*settings, seed, now)));
            return Ok(());
        }
        let slot = self.instances.get_mut(&instance).ok_or(WireError::UnknownInstance(instance))?;
        match (message, slot) {
            (Message::Event(event), Some(dispatcher)) => dispatcher.handle(now, event, &mut self.actions),
            (Message::Shutdown, slot) => *slot = None,
            (Message::Event(_), None) | (Message::Launch(..), _) => {}
        }
        self.actions.drain(..).for_each(|action| self.reply.push(instance, &action));
        Ok(())
    }
}

/// Reads the next header. Returns `None` at the clean end of input.
fn read_header(input: &mut impl Read) -> io::Result<Option<BatchHeader>> {
    let mut header = Vec::with_capacity(BATCH_HEADER_BYTES);
    input.take(BATCH_HEADER_BYTES as u64).read_to_end(&mut header)?;
    match <[u8; BATCH_HEADER_BYTES]>::try_from(header) {
        Ok(bytes) => Ok(Some(BatchHeader::parse(&bytes))),
        Err(short) if short.is_empty() => Ok(None),
        Err(_) => Err(io::Error::other(WireError::Truncated("header"))),
    }
}
