//! Wire format of messages about the versions of streams, and of their record in the key-value service.

use std::collections::BTreeMap;

use prost::Message;

use super::{StreamKey, VersionId, VersionMessage};

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

#[derive(Clone, PartialEq, Eq, Message)]
struct WireStreams {
    #[prost(message, repeated, tag = "1")]
    versions: Vec<WireStreamsOfVersion>,
}

#[derive(Clone, PartialEq, Eq, Message)]
struct WireStreamsOfVersion {
    #[prost(fixed64, tag = "1")]
    version: u64,
    #[prost(fixed64, repeated, tag = "2")]
    streams: Vec<u64>,
}

/// Encodes the versions of streams for the key-value service.
///
/// # Examples
///
/// ```
/// use tanagerford_core::stream_version::wire;
///
/// let streams = [(1, 70), (2, 70), (3, 71)];
/// assert_eq!(wire::decode_streams(&wire::encode_streams(streams)), Some(streams.to_vec()));
/// assert_eq!(wire::decode_streams(b"\xff"), None);
/// ```
#[must_use]
pub fn encode_streams(streams: impl IntoIterator<Item = (StreamKey, VersionId)>) -> Vec<u8> {
    let mut by_version: BTreeMap<VersionId, Vec<StreamKey>> = BTreeMap::new();
    for (stream, version) in streams {
        by_version.entry(version).or_default().push(stream);
    }
    let versions = by_version
        .into_iter()
        .map(|(version, streams)| WireStreamsOfVersion { version, streams });
    WireStreams {
        versions: versions.collect(),
    }
    .encode_to_vec()
}

/// Decodes the versions of streams; `None` if the value is malformed.
#[must_use]
pub fn decode_streams(value: &[u8]) -> Option<Vec<(StreamKey, VersionId)>> {
    let groups = WireStreams::decode(value).ok()?.versions.into_iter();
    let streams = groups.flat_map(|group| {
        let version = group.version;
        group
            .streams
            .into_iter()
            .map(move |stream| (stream, version))
    });
    Some(streams.collect())
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
