//! Registry of plug-ins.
//!
//! A module that speaks a dialect of an outside system submits a [`Dialect`]
//! with `inventory::submit!`. Settings choose one by its name, so a new
//! dialect is a new file and touches no other.

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

/// Opens a connection to an outside system of one kind.
pub enum Opener {
    /// The platform's object store.
    Store(fn(&Context, SocketAddr) -> store::Handle),
    /// Orders to endpoints.
    Order(fn(&Context) -> order::Handle),
    /// The platform's list of VMs.
    Vms(fn(&Context, SocketAddr) -> vms::Handle),
    /// The platform's store of versioned objects.
    Objects(fn(&Context, SocketAddr) -> objects::Handle),
    /// Grants to endpoints.
    Lease(fn(&Context) -> lease::Handle),
    /// Header fields of callers and endpoints.
    Fields(fn() -> Fields),
}

/// A dialect that registered itself.
pub struct Dialect {
    /// Name used in settings.
    pub name: &'static str,
    /// How to open it.
    pub open: Opener,
}

inventory::collect!(Dialect);

/// Opens the store dialect called `name`.
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

/// Opens the order dialect called `name`.
pub fn open_order(name: &str, context: &Context) -> Result<order::Handle, Error> {
    let opener = find(name, |open| match open {
        Opener::Order(open) => Some(*open),
        _ => None,
    })?;
    Ok(opener(context))
}

/// Opens the VM list dialect called `name`.
pub fn open_vms(name: &str, context: &Context, address: SocketAddr) -> Result<vms::Handle, Error> {
    let opener = find(name, |open| match open {
        Opener::Vms(open) => Some(*open),
        _ => None,
    })?;
    Ok(opener(context, address))
}

/// Opens the object store dialect called `name`.
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

/// Opens the grant dialect called `name`.
pub fn open_lease(name: &str, context: &Context) -> Result<lease::Handle, Error> {
    let opener = find(name, |open| match open {
        Opener::Lease(open) => Some(*open),
        _ => None,
    })?;
    Ok(opener(context))
}

/// Returns the header fields of the dialect called `name`.
pub fn open_fields(name: &str) -> Result<Fields, Error> {
    let opener = find(name, |open| match open {
        Opener::Fields(open) => Some(*open),
        _ => None,
    })?;
    Ok(opener())
}

fn find<T>(name: &str, of_kind: impl Fn(&Opener) -> Option<T>) -> Result<T, Error> {
    let dialects = inventory::iter::<Dialect>();
    let mut named = dialects.into_iter().filter(|dialect| dialect.name == name);
    named
        .find_map(|dialect| of_kind(&dialect.open))
        .ok_or_else(|| missing(name))
}

fn missing(name: &str) -> Error {
    let mut known: Vec<&str> = inventory::iter::<Dialect>()
        .map(|dialect| dialect.name)
        .collect();
    known.sort_unstable();
    Error::Plugin {
        name: name.into(),
        known: known.join(", ").into(),
    }
}
