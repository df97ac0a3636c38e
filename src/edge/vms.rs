//! Interface to the platform's list of VMs.
//!
//! The list may be out of date: a VM that it lists as live may be gone, and a
//! new VM may be missing. A VM that it lists as gone has stopped for good.

use crate::kernel::http::BoxFuture;

record! {
    /// State of a VM according to the platform.
    #[derive(Copy)]
    #[serde(rename_all = "lowercase")]
    pub enum State {
        /// Running.
        Live,
        /// Will be stopped soon.
        Leaving,
        /// Has stopped for good.
        Gone,
    }

    /// Entry of the list.
    pub struct Vm {
        /// Name of the VM, which is also that of the system's process on it.
        pub name: Box<str>,
        /// State of the VM.
        pub state: State,
    }
}

/// Reads the list; returns `None` if the platform gives no usable response.
pub type Read = Box<dyn Fn() -> BoxFuture<Option<Vec<Vm>>> + Send + Sync>;

/// Client of the list.
pub struct Client {
    /// Reads the list.
    pub read: Read,
}
