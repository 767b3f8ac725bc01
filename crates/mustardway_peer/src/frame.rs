//! A frame, its kinds and its codec.

use std::fmt;
use std::io;

use bytes::{BufMut, Bytes, BytesMut};
use displaydoc::Display;
use mustardway_types::size;
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Version of the protocol, the first byte of every frame.
pub const VERSION: u8 = 1;

/// Greatest size of a frame without its length: a configuration of 1 MiB fits.
pub const SIZE_MAX: size::Bytes = size::Bytes(5 << 18);

/// Bytes of the length before each frame.
const LENGTH_BYTES: usize = 4;

/// Bytes that a frame takes around its body, at most.
pub const OVERHEAD_BYTES_MAX: usize = 96;

/// What the body of a frame holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Kind(pub u32);

impl Kind {
    /// First frame of a connection.
    pub const HELLO: Kind = Kind(0);
    /// Sign of liveness, sent where nothing else is.
    pub const KEEPALIVE: Kind = Kind(1);
    /// The sender closes an idle connection.
    pub const GOODBYE: Kind = Kind(2);
    /// First kind that is free for the users of the mesh.
    pub const FIRST_APPLICATION: Kind = Kind(16);
    /// Number of kinds: every kind is less than this.
    pub const COUNT: usize = 64;

    /// Position in a table of [`Kind::COUNT`] entries, if it has one.
    pub fn index(self) -> Option<usize> {
        usize::try_from(self.0).ok().filter(|index| *index < Kind::COUNT)
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// One frame.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// Name of the sender; only in the hello.
    #[prost(string, tag = "1")]
    pub from: String,
    /// What the body holds, see [`Kind`].
    #[prost(uint32, tag = "2")]
    pub kind: u32,
    /// The message.
    #[prost(bytes = "bytes", tag = "3")]
    pub body: Bytes,
}

impl Frame {
    /// A frame after the hello.
    pub fn new(kind: Kind, body: Bytes) -> Self {
        Frame { from: String::new(), kind: kind.0, body }
    }

    /// What the body holds.
    pub fn kind(&self) -> Kind {
        Kind(self.kind)
    }

    /// Bytes on the wire, with length and version.
    pub fn wire_size(&self) -> usize {
        LENGTH_BYTES + size_of_val(&VERSION) + self.encoded_len()
    }
}

/// Body of the hello.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// Address where the sender listens for its peers.
    #[prost(string, tag = "1")]
    pub address: String,
    /// Name of the instance that the sender means to speak to.
    #[prost(string, tag = "2")]
    pub to: String,
}

/// Why a connection cannot be read further.
#[derive(Debug, Display)]
pub enum Error {
    /// a frame is larger than allowed
    Oversized,
    /// a frame has the unknown version {0}
    Version(u8),
    /// a frame is malformed
    Malformed,
    /// reading failed: {0}
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

/// Between frames and bytes.
#[derive(Debug)]
pub struct Codec {
    /// The length before each frame.
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
