//! Links, disk and signals of a storage machine.

mod configuration;
mod event;
mod event_loop;
mod feed;
mod links;
mod peers;

use crate::store::Store;
use event_loop::EventLoop;
use eyre::{Result, WrapErr, eyre};
use pebblepost_messages::DiskId;
use pebblepost_ring::{Completion, Disk, Opened};
use pebblepost_settings::Settings;
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

/// Runs the program until SIGTERM.
pub fn run(settings: Settings) -> Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build().wrap_err("starting the runtime")?;
    let (completed, completions) = mpsc::unbounded_channel();
    let (disk, opened) = open_disk(&settings, completed)?;
    let store_settings = configuration::store_settings(&settings, &opened);
    log::info!(
        "store {} with disk {:x}{} and {} records",
        settings.node_name,
        DiskId(opened.identity).0,
        if opened.fresh { " (fresh)" } else { "" },
        opened.records.len()
    );
    let store = Store::new(Duration::ZERO, store_settings, &opened.records)
        .map_err(|error| eyre!("reading the records of the disk {:x}: {error}", opened.identity))?;
    drop(opened);
    let local = LocalSet::new();
    local.block_on(&runtime, async move {
        let event_loop = EventLoop::start(&settings, store, disk, completions).await?;
        event_loop.run().await
    })
}

fn open_disk(settings: &Settings, completed: mpsc::UnboundedSender<Completion>) -> Result<(Disk, Opened)> {
    let folder = settings.data_dir.as_ref().ok_or_else(|| eyre!("the settings name no data_dir"))?;
    let on_completion = move |completion| {
        // The receiver is gone only at the end of the program.
        completed.send(completion).ok();
    };
    Disk::open(folder, configuration::ring_bytes(settings), None, Box::new(on_completion))
        .wrap_err_with(|| format!("opening the disk in {}", folder.display()))
}
