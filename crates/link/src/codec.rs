//! Length-delimited framing of `prost` messages.

use std::io::Read;

use bytes::{Bytes, BytesMut};
use error_stack::{Report, ResultExt};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::error::LinkError;
use crate::message::Frame;

/// Maximum size of a frame. A request body of 8 MiB and its headers fit into one frame.
pub const MAX_FRAME_BYTES: usize = 9 * 1024 * 1024;

/// Maximum size of a frame during the handshake. The small limit keeps an unauthenticated peer from causing large
/// allocations.
const MAX_HANDSHAKE_FRAME_BYTES: usize = 4 * 1024;

/// Buffer space requested for each read.
const READ_BYTES: usize = 16 * 1024;

fn length_delimited_codec(max_frame_bytes: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(max_frame_bytes)
        .new_codec()
}

/// Appends the encoded frame to `buffer`.
///
/// # Errors
///
/// Returns [`LinkError::Malformed`] if the frame is larger than [`MAX_FRAME_BYTES`].
///
/// # Examples
///
/// ```
/// use bytes::BytesMut;
/// use tanagerford_link::{encode, message::Frame};
///
/// let mut buffer = BytesMut::new();
/// encode(&Frame::default(), &mut buffer).unwrap();
/// assert_eq!(&buffer[..], [0, 0, 0, 0]);
/// ```
pub fn encode(frame: &Frame, buffer: &mut BytesMut) -> Result<(), Report<LinkError>> {
    let payload = Bytes::from(frame.encode_to_vec());
    length_delimited_codec(MAX_FRAME_BYTES)
        .encode(payload, buffer)
        .change_context(LinkError::Malformed)
}

/// Reads frames from a byte stream.
#[derive(Debug)]
pub struct FrameReader<R> {
    source: R,
    codec: LengthDelimitedCodec,
    buffer: BytesMut,
}

impl<R: Read> FrameReader<R> {
    /// Creates a reader that accepts only the small frames of the handshake.
    pub fn new(source: R) -> Self {
        Self {
            source,
            codec: length_delimited_codec(MAX_HANDSHAKE_FRAME_BYTES),
            buffer: BytesMut::new(),
        }
    }

    /// Raises the size limit to [`MAX_FRAME_BYTES`]. Call this only after the peer is authenticated.
    pub fn accept_large_frames(&mut self) {
        self.codec.set_max_frame_length(MAX_FRAME_BYTES);
    }

    /// Reads the next frame and blocks until it is complete.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::Lost`] if the stream ends or fails, and [`LinkError::Malformed`] if the frame cannot be
    /// decoded.
    pub fn read(&mut self) -> Result<Frame, Report<LinkError>> {
        loop {
            let decoded = self.codec.decode(&mut self.buffer);
            if let Some(payload) = decoded.change_context(LinkError::Malformed)? {
                return Frame::decode(payload).change_context(LinkError::Malformed);
            }
            self.fill_buffer()?;
        }
    }

    fn fill_buffer(&mut self) -> Result<(), Report<LinkError>> {
        let filled = self.buffer.len();
        self.buffer.resize(filled + READ_BYTES, 0);
        let read = self.source.read(&mut self.buffer[filled..]);
        self.buffer
            .truncate(filled + read.as_ref().map_or(0, |count| *count));
        match read {
            Ok(0) => Err(Report::new(LinkError::Lost)),
            Ok(_) => Ok(()),
            Err(error) if error.kind() == std::io::ErrorKind::Interrupted => Ok(()),
            Err(error) => Err(Report::new(error).change_context(LinkError::Lost)),
        }
    }
}
