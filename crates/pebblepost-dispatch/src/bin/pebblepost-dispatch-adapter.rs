//! Hosts many dispatchers on the bench's wire: batches on standard input, replies on standard
//! output. Makes no decisions.

#![forbid(unsafe_code)]

use pebblepost_dispatch::Dispatcher;
use pebblepost_dispatch::wire::{BATCH_HEADER, BatchHeader, Message, Reply, WireError, parse_batch};
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
    // `None`: launched once and killed since.
    let mut instances: HashMap<u32, Option<Dispatcher>> = HashMap::new();
    let (mut body, mut actions, mut reply) = (Vec::new(), Vec::new(), Reply::default());
    while let Some(header) = read_header(&mut input)? {
        body.clear();
        if input.by_ref().take(header.size as u64).read_to_end(&mut body)? < header.size {
            return Err(io::Error::other(WireError::Truncated("batch")));
        }
        for (instance, message) in parse_batch(&header, &body).map_err(io::Error::other)? {
            match message {
                Message::Launch(seed, settings) => {
                    instances.insert(instance, Some(Dispatcher::new(*settings, seed, header.now)));
                }
                Message::Shutdown => {
                    let slot = instances.get_mut(&instance);
                    *slot.ok_or_else(|| io::Error::other(WireError::UnknownInstance(instance)))? = None;
                }
                Message::Event(event) => {
                    let slot = instances.get_mut(&instance);
                    let slot = slot.ok_or_else(|| io::Error::other(WireError::UnknownInstance(instance)))?;
                    if let Some(dispatcher) = slot {
                        dispatcher.handle(header.now, event, &mut actions);
                    }
                    actions.drain(..).for_each(|action| reply.push(instance, &action));
                }
            }
        }
        output.write_all(&reply.take())?;
        output.flush()?;
    }
    Ok(())
}

/// The next header; `None` at the clean end of input.
fn read_header(input: &mut impl Read) -> io::Result<Option<BatchHeader>> {
    let mut header = Vec::with_capacity(BATCH_HEADER);
    input.take(BATCH_HEADER as u64).read_to_end(&mut header)?;
    match <[u8; BATCH_HEADER]>::try_from(header) {
        Ok(bytes) => Ok(Some(BatchHeader::parse(&bytes))),
        Err(short) if short.is_empty() => Ok(None),
        Err(_) => Err(io::Error::other(WireError::Truncated("header"))),
    }
}
