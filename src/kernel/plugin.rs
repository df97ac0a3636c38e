//! Registry of dialects.
//!
//! A dialect is the protocol of one external system, such as the object store
//! or the endpoints. A module that implements one registers a [`Dialect`] with
//! `inventory::submit!`, and the settings select it by its name. A new dialect
//! therefore needs no change to existing modules.

use crate::{
    edge::{
        fields::Fields,
        lease,
        objects,
        order,
        store,
        vms, //
    },
    kernel::{
        failure::Error,
        runtime::Context, //
    },
};
use std::net::SocketAddr;

/// Constructor of a client for one kind of external system.
pub enum Opener {
    /// The platform's store of objects with entity tags.
    Store(fn(&Context, SocketAddr) -> store::Handle),
    /// Renewal orders to endpoints.
    Order(fn(&Context) -> order::Handle),
    /// The platform's list of VMs.
    Vms(fn(&Context, SocketAddr) -> vms::Handle),
    /// The platform's store of versioned objects.
    Objects(fn(&Context, SocketAddr) -> objects::Handle),
    /// Grants of keys to endpoints, and releases.
    Lease(fn(&Context) -> lease::Handle),
    /// Names of the header fields of callers and endpoints.
    Fields(fn() -> Fields),
}

/// A registered dialect.
pub struct Dialect {
    /// Name in the settings.
    pub name: &'static str,
    /// Its constructor.
    pub open: Opener,
}

inventory::collect!(Dialect);

/// Creates a client of the store whose dialect is called `name`.
pub fn open_store(
    name: &str,
    context: &Context,
    address: SocketAddr,
) -> Result<store::Handle, Error> {
    let opener = find(name, |open| match open {
        Opener::Store(open) => Some(*open),
        _ => None,
    })?;
    Ok(opener(context, address))
}

/// Creates a client for renewal orders in the dialect called `name`.
pub fn open_order(name: &str, context: &Context) -> Result<order::Handle, Error> {
    let opener = find(name, |open| match open {
        Opener::Order(open) => Some(*open),
        _ => None,
    })?;
    Ok(opener(context))
}

/// Creates a client of the VM list whose dialect is called `name`.
pub fn open_vms(name: &str, context: &Context, address: SocketAddr) -> Result<vms::Handle, Error> {
    let opener = find(name, |open| match open {
        Opener::Vms(open) => Some(*open),
        _ => None,
    })?;
    Ok(opener(context, address))
}

/// Creates a client of the store of versioned objects whose dialect is called
/// `name`.
pub fn open_objects(
    name: &str,
    context: &Context,
    address: SocketAddr,
) -> Result<objects::Handle, Error> {
    let opener = find(name, |open| match open {
        Opener::Objects(open) => Some(*open),
        _ => None,
    })?;
    Ok(opener(context, address))
}

/// Creates a client for grants in the dialect called `name`.
pub fn open_lease(name: &str, context: &Context) -> Result<lease::Handle, Error> {
    let opener = find(name, |open| match open {
        Opener::Lease(open) => Some(*open),
        _ => None,
    })?;
    Ok(opener(context))
}

/// Returns the header field names of the dialect called `name`.
pub fn open_fields(name: &str) -> Result<Fields, Error> {
    let opener = find(name, |open| match open {
        Opener::Fields(open) => Some(*open),
        _ => None,
    })?;
    Ok(opener())
}

/// Finds the constructor of the dialect called `name` for which `select`
/// returns one.
fn find<T>(name: &str, select: impl Fn(&Opener) -> Option<T>) -> Result<T, Error> {
    let dialects = inventory::iter::<Dialect>();
    let mut named = dialects.into_iter().filter(|dialect| dialect.name == name);
    named
        .find_map(|dialect| select(&dialect.open))
        .ok_or_else(|| unknown_dialect(name))
}

fn unknown_dialect(name: &str) -> Error {
    let mut known: Vec<&str> = inventory::iter::<Dialect>()
        .map(|dialect| dialect.name)
        .collect();
    known.sort_unstable();
    Error::Plugin {
        name: name.into(),
        known: known.join(", ").into(),
    }
}
