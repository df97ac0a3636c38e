//! Registration records of endpoints and VMs in the platform's store.

use std::net::SocketAddr;
use xxhash_rust::xxh3::Xxh3;

/// Maximum length of the texts of a record, in bytes; several fit into a datagram.
const MAX_TEXT_BYTES: usize = 256;

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

impl Endpoint {
    /// Returns a hash of what identifies the process and its address, by which VMs that know the
    /// record refer to it.
    ///
    /// It does not cover what a process changes in its record while it runs: each VM goes by the
    /// latest record that it knows.
    pub fn identity_hash(&self) -> u64 {
        let mut hash = Xxh3::new();
        for text in [&self.id, &self.service] {
            hash.update(&(text.len() as u32).to_le_bytes());
            hash.update(text.as_bytes());
        }
        hash.update(self.address.to_string().as_bytes());
        hash.update(&self.born.to_le_bytes());
        hash.digest()
    }

    /// Returns whether requests can be addressed to the endpoint.
    ///
    /// Requests name it in a header field, which can hold visible ASCII characters only, and
    /// datagrams hold the whole record.
    pub fn is_addressable(&self) -> bool {
        let is_id = !self.id.is_empty() && self.id.bytes().all(|byte| byte.is_ascii_graphic());
        let mut texts = [&self.id, &self.service, &self.zone].into_iter();
        is_id && self.address.port() != 0 && texts.all(|text| text.len() <= MAX_TEXT_BYTES)
    }
}
