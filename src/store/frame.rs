//! Frames: checksummed units of the log file and of snapshot files.
//!
//! A frame is `magic (4) | length (4) | checksum (4) | number (8) | payload`,
//! integers in little-endian order. The checksum covers number and payload;
//! the length counts the payload. Each frame is synced before the next one is
//! written, so only the last frame can be torn.

/// First bytes of a frame.
const MAGIC: [u8; 4] = *b"LQF1";
/// Bytes before the payload.
const HEADER: usize = 20;

/// A frame in a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Frame<'a> {
    /// Position in the sequence of frames of one store.
    pub(super) number: u64,
    pub(super) payload: &'a [u8],
    /// Offset of the first byte after the frame.
    pub(super) end: usize,
}

/// Encodes one frame.
pub(super) fn encode(number: u64, payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len()).expect("a frame is below 4 GiB");
    let mut bytes = Vec::with_capacity(HEADER + payload.len());
    bytes.extend_from_slice(&MAGIC);
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(&checksum(number, payload).to_le_bytes());
    bytes.extend_from_slice(&number.to_le_bytes());
    bytes.extend_from_slice(payload);
    bytes
}

/// Decodes the frame that starts at offset `at`, if it is valid.
pub(super) fn decode(file: &[u8], at: usize) -> Option<Frame<'_>> {
    let header = file.get(at..at.checked_add(HEADER)?)?;
    if header[..4] != MAGIC {
        return None;
    }
    let length = u32::from_le_bytes(header[4..8].try_into().ok()?) as usize;
    let sum = u32::from_le_bytes(header[8..12].try_into().ok()?);
    let number = u64::from_le_bytes(header[12..20].try_into().ok()?);
    let end = (at + HEADER).checked_add(length)?;
    let payload = file.get(at + HEADER..end)?;
    (checksum(number, payload) == sum).then_some(Frame {
        number,
        payload,
        end,
    })
}

/// Whether any valid frame starts after `at`.
pub(super) fn any_frame_after(file: &[u8], at: usize) -> bool {
    (at + 1..file.len()).any(|from| decode(file, from).is_some())
}

fn checksum(number: u64, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&number.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}
