//! The process of a storage machine: links, disk, timers and signals round the [`Store`].
//!
//! Everything runs on one thread. Tasks read the links and send [`event::Event`]s to the
//! [`event_loop::EventLoop`], which passes them to the store and carries out its outputs. No decision
//! about jobs or groups is made here.

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

/// Runs the storage machine until SIGTERM.
///
/// # Errors
///
/// If the runtime, the disk, the listener or the signal handlers can't be set up, or a record on the disk
/// is not in this program's format.
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
        .map_err(|error| eyre!("reading the records of the disk {:x}: {error}", opened.identity))?;
    drop(opened);
    let local = LocalSet::new();
    local.block_on(&runtime, async move {
        let event_loop = EventLoop::start(&settings, store, disk, completions).await?;
        event_loop.run().await;
        Ok(())
    })
}

fn open_disk(settings: &Settings, completed: mpsc::UnboundedSender<Completion>) -> Result<(Disk, Recovered)> {
    let folder = settings.data_dir.as_ref().ok_or_else(|| eyre!("the settings name no data_dir"))?;
    let on_completion = move |completion| {
        // The receiver is gone only at the end of the program.
        completed.send(completion).ok();
    };
    Disk::open(folder, settings::ring_bytes(settings), None, Box::new(on_completion))
        .wrap_err_with(|| format!("opening the disk in {}", folder.display()))
}
