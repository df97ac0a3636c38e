//! Registration records of endpoints and VMs in the platform's store.

use std::net::SocketAddr;

record! {
    /// Registration record of an endpoint, written by the endpoint itself.
    pub struct Endpoint {
        /// Identifier; no two processes have the same one at the same time.
        pub id: Box<str>,
        /// Service to which it belongs.
        pub service: Box<str>,
        /// Address on which it listens.
        pub address: SocketAddr,
        /// Availability zone.
        pub zone: Box<str>,
        /// Maximum number of concurrent requests.
        pub slots: u16,
        /// Whether it is shutting down and accepts no new requests.
        pub is_leaving: bool,
        /// Remaining warm-up time after its start, during which it is slow, in milliseconds.
        pub cold_ms: u64,
        /// Start time of its process by its own wall clock, in milliseconds.
        pub born: u64,
    }

    /// Registration record of a VM of the system.
    pub struct Member {
        /// Name, unique among the VMs.
        pub name: Box<str>,
        /// Incarnation of the process; higher after each restart.
        pub run: u64,
        /// Address on which it accepts connections from peers.
        pub peers: SocketAddr,
        /// Address on which it receives datagrams.
        pub datagrams: SocketAddr,
        /// Availability zone.
        pub zone: Box<str>,
        /// CPU share, in thousandths of a core.
        pub cpu_millis: u32,
    }
}
