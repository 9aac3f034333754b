//! Encoding of messages between entry VMs, and the key that authenticates them.
//!
//! A message is a version byte followed by its bincode form. On a stream, each message is a frame:
//! its length as a four-byte big-endian integer, then the message.

mod codec_error;
mod frame_reader;
mod message_bytes;
mod peer_key;
mod signing_input;

pub use codec_error::CodecError;
pub use frame_reader::FrameReader;
pub use message_bytes::{MAX_MESSAGE_BYTES, PROTOCOL_VERSION, decode, encode, encode_frame};
pub use peer_key::{PeerKey, PeerKeyError};
pub use signing_input::SigningInput;
