//! How messages between entry VMs become bytes, and how peers prove that they belong.
//!
//! A message is one version byte and its bincode form. On a stream, each message is a frame:
//! its length as four bytes, most significant first, then the message.

mod codec_error;
mod frame_reader;
mod message_bytes;
mod peer_key;
mod peer_stamp;

pub use codec_error::CodecError;
pub use frame_reader::FrameReader;
pub use message_bytes::{MAX_MESSAGE_BYTES, PROTOCOL_VERSION, decode, encode, encode_frame};
pub use peer_key::{PeerKey, PeerKeyError};
pub use peer_stamp::PeerStamp;
