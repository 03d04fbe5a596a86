//! State of batch jobs: items, leases, results at fixed positions, without I/O or clock.
