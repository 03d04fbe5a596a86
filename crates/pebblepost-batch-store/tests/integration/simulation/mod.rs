//! A simulated deployment: storage machines whose disks lose unsynced writes, a control plane, proxies that run
//! items, and clients.

pub mod checker;
pub mod client;
pub mod control;
pub mod deployment;
pub mod digest;
pub mod disk;
mod machine;
pub mod proxy;
pub mod transcript;
