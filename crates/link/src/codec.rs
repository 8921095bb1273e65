//! Length-delimited framing of `prost` messages.

use std::io::Read;

use bytes::{Bytes, BytesMut};
use error_stack::{Report, ResultExt};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::error::LinkError;
use crate::message::Frame;

/// Largest frame; a request's body of 8 MiB plus its headers fits.
pub const MAX_FRAME_BYTES: usize = 9 * 1024 * 1024;

/// Largest frame before the peer has proved the fleet key, so that a stranger cannot make the process allocate much.
const MAX_HANDSHAKE_FRAME_BYTES: usize = 4 * 1024;

/// Bytes that one read asks for.
const READ_BYTES: usize = 16 * 1024;

fn codec(max_frame_bytes: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(max_frame_bytes)
        .new_codec()
}

/// Appends the encoded frame to `buffer`.
///
/// # Errors
///
/// [`LinkError::Malformed`] when the frame is larger than [`MAX_FRAME_BYTES`].
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
    codec(MAX_FRAME_BYTES)
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
    /// Creates a reader of frames from `source`.
    pub fn new(source: R) -> Self {
        Self {
            source,
            codec: codec(MAX_HANDSHAKE_FRAME_BYTES),
            buffer: BytesMut::new(),
        }
    }

    /// Accepts frames up to [`MAX_FRAME_BYTES`]; to be called once the peer is authenticated.
    pub fn accept_large_frames(&mut self) {
        self.codec.set_max_frame_length(MAX_FRAME_BYTES);
    }

    /// Reads the next frame; blocks until it is whole.
    ///
    /// # Errors
    ///
    /// [`LinkError::Lost`] when the stream ends or fails, [`LinkError::Malformed`] when the frame cannot be decoded.
    pub fn read(&mut self) -> Result<Frame, Report<LinkError>> {
        loop {
            let decoded = self.codec.decode(&mut self.buffer);
            if let Some(payload) = decoded.change_context(LinkError::Malformed)? {
                return Frame::decode(payload).change_context(LinkError::Malformed);
            }
            self.fill()?;
        }
    }

    fn fill(&mut self) -> Result<(), Report<LinkError>> {
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
