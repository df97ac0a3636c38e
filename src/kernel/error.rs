//! Error type of the infrastructure modules.

use displaydoc::Display;
use std::{
    fmt::Write,
    net::SocketAddr, //
};

/// Why an operation of the infrastructure modules failed.
#[derive(Debug, Display)]
pub enum Error {
    /// cannot listen on {address}; check that the address belongs to this VM and the port is free
    Bind {
        /// Requested address.
        address: SocketAddr,
        /// Underlying error.
        source: std::io::Error,
    },
    /// cannot read {path}; check that the file exists and that its permissions allow reading
    Read {
        /// File to read.
        path: Box<str>,
        /// Underlying error.
        source: std::io::Error,
    },
    /// {path}: {detail}
    Settings {
        /// Settings file.
        path: Box<str>,
        /// What is wrong: the line, the field, its value and the values allowed,
        /// as far as they are known.
        detail: Box<str>,
    },
    /// cannot start the log; check the log level in the settings
    Log {
        /// Underlying error.
        source: flexi_logger::FlexiLoggerError,
    },
    /// no dialect of this kind is named {name}; check the settings, registered names are {known}
    Plugin {
        /// Name in the settings.
        name: Box<str>,
        /// Registered names of all kinds.
        known: Box<str>,
    },
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Bind { source, .. } | Self::Read { source, .. } => Some(source),
            Self::Log { source } => Some(source),
            Self::Settings { .. } | Self::Plugin { .. } => None,
        }
    }
}

/// Formats an error and the chain of its sources on one line.
pub fn format_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut next = error.source();
    while let Some(source) = next {
        let _ = write!(text, ": {source}");
        next = source.source();
    }
    text
}
