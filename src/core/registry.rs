//! Endpoints and VMs as the platform's store lists them.

use std::net::SocketAddr;

record! {
    /// An endpoint, as it describes itself.
    pub struct Endpoint {
        /// Identity; another process never has it at the same time.
        pub id: Box<str>,
        /// Service that it belongs to.
        pub service: Box<str>,
        /// Where it listens.
        pub address: SocketAddr,
        /// Availability zone.
        pub zone: Box<str>,
        /// Requests that it runs at a time.
        pub slots: u16,
        /// Whether it wants no new work.
        pub is_leaving: bool,
        /// How much longer it is slow after its start, in milliseconds.
        pub cold_ms: u64,
        /// Start of its process, in milliseconds of its wall clock.
        pub born: u64,
    }

    /// A VM of the system.
    pub struct Member {
        /// Name, unique among the VMs.
        pub name: Box<str>,
        /// Run of the process; a later one has a higher number.
        pub run: u64,
        /// Where it answers its peers.
        pub peers: SocketAddr,
        /// Where it receives datagrams.
        pub datagrams: SocketAddr,
        /// Availability zone.
        pub zone: Box<str>,
        /// Processor share, in thousandths of a core.
        pub cpu_millis: u32,
    }
}
