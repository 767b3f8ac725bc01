//! The frame format, frame kinds and the codec.

use std::fmt;
use std::io;

use bytes::{BufMut, Bytes, BytesMut};
use displaydoc::Display;
use mustardway_types::size;
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Protocol version, the first byte of every frame after its length prefix.
pub const VERSION: u8 = 1;

/// Maximum size of a frame without its length prefix; a configuration of 1 MiB fits.
pub const SIZE_MAX: size::Bytes = size::Bytes(5 << 18);

/// Bytes of the length prefix of each frame.
const LENGTH_BYTES: usize = 4;

/// Maximum number of bytes that a frame adds to its body.
pub const OVERHEAD_BYTES_MAX: usize = 96;

/// The message type of a frame's body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Kind(pub u32);

impl Kind {
    /// Identifies the sender; the first frame of a connection.
    pub const HELLO: Kind = Kind(0);
    /// Keepalive, sent when a received frame has no other reply.
    pub const KEEPALIVE: Kind = Kind(1);
    /// Announces that the sender closes an idle connection.
    pub const GOODBYE: Kind = Kind(2);
    /// Reports that a part of a frame has arrived, while its rest is still on the way.
    pub const PROGRESS: Kind = Kind(3);
    /// First kind for application messages; lower kinds belong to the mesh.
    pub const FIRST_APPLICATION: Kind = Kind(16);
    /// Number of kinds; every known kind is less than this.
    pub const COUNT: usize = 64;

    /// Returns the index in an array of [`Kind::COUNT`] entries; none for larger kinds.
    pub fn index(self) -> Option<usize> {
        usize::try_from(self.0).ok().filter(|index| *index < Kind::COUNT)
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A frame as encoded on the wire, without length prefix and version.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// Name of the sender; set only in the hello.
    #[prost(string, tag = "1")]
    pub from: String,
    /// Message type of the body, see [`Kind`].
    #[prost(uint32, tag = "2")]
    pub kind: u32,
    /// The encoded message.
    #[prost(bytes = "bytes", tag = "3")]
    pub body: Bytes,
}

impl Frame {
    /// Creates a frame without a sender name, as sent after the hello.
    pub fn new(kind: Kind, body: Bytes) -> Self {
        Frame { from: String::new(), kind: kind.0, body }
    }

    /// Returns the message type of the body.
    pub fn kind(&self) -> Kind {
        Kind(self.kind)
    }

    /// Returns the number of bytes on the wire, including length prefix and version.
    pub fn wire_size(&self) -> usize {
        LENGTH_BYTES + size_of_val(&VERSION) + self.encoded_len()
    }
}

/// Body of a [`Kind::HELLO`] frame.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// Address where the sender accepts connections of peers.
    #[prost(string, tag = "1")]
    pub address: String,
    /// Name of the instance that the sender expects at the other end.
    #[prost(string, tag = "2")]
    pub to: String,
}

/// A failure to decode or encode frames that ends a connection.
#[derive(Debug, Display)]
pub enum Error {
    /// a frame exceeds the maximum size
    Oversized,
    /// a frame has the unknown version {0}
    Version(u8),
    /// a frame is malformed
    Malformed,
    /// reading from the socket failed: {0}
    Socket(io::Error),
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::InvalidData => Error::Oversized,
            _ => Error::Socket(error),
        }
    }
}

/// Encodes and decodes frames.
#[derive(Debug)]
pub struct Codec {
    /// Codec of the length prefix, also enforcing [`SIZE_MAX`] when decoding.
    length_codec: LengthDelimitedCodec,
}

impl Default for Codec {
    fn default() -> Self {
        let length_codec = LengthDelimitedCodec::builder()
            .length_field_type::<u32>()
            .max_frame_length(SIZE_MAX.0 as usize)
            .new_codec();
        Codec { length_codec }
    }
}

impl Decoder for Codec {
    type Item = Frame;
    type Error = Error;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<Frame>, Error> {
        let Some(bytes) = self.length_codec.decode(source)? else {
            return Ok(None);
        };
        let mut bytes = bytes.freeze();
        if bytes.is_empty() {
            return Err(Error::Malformed);
        }
        let version = bytes.split_to(size_of_val(&VERSION))[0];
        if version != VERSION {
            return Err(Error::Version(version));
        }
        Frame::decode(bytes).map(Some).map_err(|_| Error::Malformed)
    }
}

impl Encoder<&Frame> for Codec {
    type Error = Error;

    fn encode(&mut self, frame: &Frame, target: &mut BytesMut) -> Result<(), Error> {
        let size = frame.wire_size() - LENGTH_BYTES;
        if size > SIZE_MAX.0 as usize {
            return Err(Error::Oversized);
        }
        let length = u32::try_from(size).map_err(|_| Error::Oversized)?;
        target.reserve(LENGTH_BYTES + size);
        target.put_u32(length);
        target.put_u8(VERSION);
        frame.encode_raw(target);
        Ok(())
    }
}
