//! The process of a storage machine: the links, disk, timers and signals that drive the [`Store`].
//!
//! Everything runs on one thread. Tasks receive messages over the links and send [`event::Event`]s to the
//! [`event_loop::EventLoop`], which passes them to the store and executes its outputs. This module makes
//! no decisions about jobs or store groups.

mod event;
mod event_loop;
mod inbound_links;
mod journal;
mod peer_links;
mod settings;
mod subscription;
mod timers;

use crate::store::Store;
use event_loop::EventLoop;
use eyre::{Result, WrapErr, eyre};
use pebblepost_messages::DiskId;
use pebblepost_ring::{Completion, Disk, Recovered};
use pebblepost_settings::Settings;
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

/// Runs a storage machine until the graceful shutdown that SIGTERM starts is complete.
///
/// # Errors
///
/// Returns an error if the runtime, the disk, the listener or the signal handlers cannot be set up, or if
/// a record on the disk cannot be decoded.
pub fn run(settings: Settings) -> Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build().wrap_err("starting the runtime")?;
    let (completed, completions) = mpsc::unbounded_channel();
    let (disk, opened) = open_disk(&settings, completed)?;
    let store_settings = settings::store_settings(&settings, &opened);
    log::info!(
        "storage machine started node={} disk={:x} fresh={} records={}",
        settings.node_name,
        DiskId(opened.identity).0,
        opened.is_new,
        opened.records.len()
    );
    let store = Store::new(Duration::ZERO, store_settings, &opened.records)
        .map_err(|error| eyre!("decoding the records of disk {:x}: {error}", opened.identity))?;
    drop(opened);
    let local = LocalSet::new();
    local.block_on(&runtime, async move {
        let event_loop = EventLoop::start(&settings, store, disk, completions).await?;
        event_loop.run().await;
        Ok(())
    })
}

fn open_disk(settings: &Settings, completed: mpsc::UnboundedSender<Completion>) -> Result<(Disk, Recovered)> {
    let folder = settings.data_dir.as_ref().ok_or_else(|| eyre!("the setting data_dir is missing"))?;
    let on_completion = move |completion| {
        // Sending fails only if the event loop has ended, and then completions are not needed.
        completed.send(completion).ok();
    };
    Disk::open(folder, settings::ring_bytes(settings), None, Box::new(on_completion))
        .wrap_err_with(|| format!("opening the disk in {}", folder.display()))
}
