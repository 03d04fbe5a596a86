//! SWIM membership without I/O or clock.
