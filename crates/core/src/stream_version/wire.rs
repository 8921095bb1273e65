//! Wire format of messages about the versions of streams.

use prost::Message;

use super::VersionMessage;

/// First byte of an encoded message: field 4, length-delimited. Other messages between entries have other fields.
const FIRST_BYTE: u8 = 0x22;

#[derive(Clone, PartialEq, Message)]
struct WireEnvelope {
    #[prost(message, optional, tag = "4")]
    version: Option<WireVersion>,
}

#[derive(Clone, PartialEq, Eq, Message)]
struct WireVersion {
    #[prost(fixed64, tag = "1")]
    sender: u64,
    #[prost(fixed64, tag = "2")]
    stream: u64,
    #[prost(fixed64, optional, tag = "3")]
    version: Option<u64>,
}

/// Returns whether a datagram holds a message about the version of a stream.
#[must_use]
pub fn is_version_message(datagram: &[u8]) -> bool {
    datagram.first() == Some(&FIRST_BYTE)
}

/// Encodes a message.
///
/// # Examples
///
/// ```
/// use tanagerford_core::stream_version::{VersionMessage, wire};
///
/// let message = VersionMessage { sender: 7, stream: 77, version: None };
/// let datagram = wire::encode(message);
/// assert!(wire::is_version_message(&datagram));
/// assert_eq!(wire::decode(&datagram), Some(message));
/// ```
#[must_use]
pub fn encode(message: VersionMessage) -> Vec<u8> {
    let VersionMessage {
        sender,
        stream,
        version,
    } = message;
    WireEnvelope {
        version: Some(WireVersion {
            sender,
            stream,
            version,
        }),
    }
    .encode_to_vec()
}

/// Decodes a message; `None` for malformed data and other messages.
#[must_use]
pub fn decode(datagram: &[u8]) -> Option<VersionMessage> {
    let message = WireEnvelope::decode(datagram).ok()?.version?;
    Some(VersionMessage {
        sender: message.sender,
        stream: message.stream,
        version: message.version,
    })
}
