//! Who this proxy is: constant while the process runs.

/// The proxy's machine.
#[derive(Debug)]
pub(crate) struct ProxyIdentity {
    /// Name of the machine.
    pub(crate) node: String,
    /// Its zone.
    pub(crate) zone: String,
}
