//! MessagePack encoding of the messages between the system's own processes.

use bytes::Bytes;
use displaydoc::Display;
use serde::{
    de::DeserializeOwned,
    Serialize, //
};

/// Why a message could not be decoded.
#[derive(Debug, Display)]
pub enum Error {
    /// cannot decode the message; check that both processes run compatible versions
    Decode(rmp_serde::decode::Error),
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Decode(source) => Some(source),
        }
    }
}

/// Encodes a message with its field names, so that later versions can add
/// fields anywhere.
pub fn encode<T: Serialize>(message: &T) -> Bytes {
    let bytes =
        rmp_serde::to_vec_named(message).expect("message types can be encoded as MessagePack");
    Bytes::from(bytes)
}

/// Encodes a message without field names, for messages that are sent often.
///
/// Later versions may add fields only at the end, and with a default value.
pub fn encode_compact<T: Serialize>(message: &T) -> Bytes {
    let bytes = rmp_serde::to_vec(message).expect("message types can be encoded as MessagePack");
    Bytes::from(bytes)
}

/// Decodes a message in either encoding.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    rmp_serde::from_slice(bytes).map_err(Error::Decode)
}
