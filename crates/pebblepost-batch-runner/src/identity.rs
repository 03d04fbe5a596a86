//! Identity of this proxy, constant while the process runs.

/// Identity of the proxy's machine.
#[derive(Debug)]
pub(crate) struct ProxyIdentity {
    /// Name of the machine.
    pub(crate) node: String,
    /// Zone of the machine.
    pub(crate) zone: String,
}
