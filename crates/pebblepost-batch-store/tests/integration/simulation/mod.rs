//! A simulated deployment: storage machines with disks that lose what was not synced, a control
//! plane, proxies that run items, and clients.

pub mod checker;
pub mod client;
pub mod control;
pub mod digest;
pub mod disk;
pub mod proxy;
pub mod transcript;
pub mod world;
