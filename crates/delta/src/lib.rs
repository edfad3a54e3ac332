//! Differences between two texts of which most is the same.
//!
//! A text is cut into pieces where its content says so, so that an insertion moves only the cuts beside
//! it. A sender that remembers the [`Pieces`] of a text, and not the text itself, can make a difference
//! from it: which parts of the old text remain, and what is new, compressed. The receiver applies it to
//! its copy of the old text.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

/// Shortest and longest piece, in bytes, but for the last one of a text.
const MIN_PIECE: usize = 64;
const MAX_PIECE: usize = 4096;
/// A cut is made where these bits of the rolling hash are zero: once in 256 bytes on average.
const CUT_MASK: u64 = 0xff << 56;
/// Level of the compression, of 10.
const COMPRESSION_LEVEL: u8 = 6;
/// Constants of the FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Random numbers by byte value, for the rolling hash.
const GEAR: [u64; 256] = gear();

/// Draws the numbers with the splitmix64 generator.
const fn gear() -> [u64; 256] {
    let mut table = [0; 256];
    let mut state: u64 = 0;
    let mut i = 0;
    while i < table.len() {
        state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = state;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        table[i] = z ^ (z >> 31);
        i += 1;
    }
    table
}

/// Why a difference cannot be applied.
#[derive(Debug)]
#[derive(Snafu)]
pub enum DeltaError {
    /// The compressed data is damaged, or longer than the text may be.
    #[snafu(display("the difference cannot be decompressed"))]
    Compression,
    /// The decompressed data is no difference.
    #[snafu(display("the difference cannot be decoded: {source}"))]
    Decode {
        /// Cause of the failure.
        source: postcard::Error,
    },
    /// It refers to parts that the old text does not have.
    #[snafu(display("the difference is from another text"))]
    OtherBase,
    /// The new text is longer than allowed.
    #[snafu(display("the new text has more than {max_bytes} bytes"))]
    TooLong {
        /// What is allowed.
        max_bytes: usize,
    },
}

/// The pieces of a text, by their hashes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pieces {
    /// Hash, begin and length of each piece.
    pieces: Vec<(u64, u32, u32)>,
    hash: u64,
}

/// A part of the new text.
#[derive(Serialize, Deserialize)]
enum Edit {
    /// A part of the old text, by its begin and length.
    Copy(u32, u32),
    /// New bytes.
    Insert(Vec<u8>),
}

impl Pieces {
    /// Cuts a text, of which the first 4 GiB count.
    pub fn of(text: &[u8]) -> Self {
        let mut pieces = Vec::new();
        let mut begin = 0;
        let (mut rolling, mut hash) = (0_u64, FNV_OFFSET);
        for (i, byte) in text.iter().enumerate() {
            rolling = (rolling << 1).wrapping_add(GEAR[usize::from(*byte)]);
            hash = fnv(hash, *byte);
            let len = i + 1 - begin;
            let is_cut = len >= MIN_PIECE && (rolling & CUT_MASK == 0 || len == MAX_PIECE);
            if is_cut || i + 1 == text.len() {
                let (Ok(start), Ok(len)) = (u32::try_from(begin), u32::try_from(len)) else {
                    break;
                };
                pieces.push((hash, start, len));
                begin = i + 1;
                (rolling, hash) = (0, FNV_OFFSET);
            }
        }
        let hashes = pieces.iter().flat_map(|(hash, ..)| hash.to_le_bytes());
        let hash = hashes.fold(FNV_OFFSET, fnv);
        Self { pieces, hash }
    }

    /// Hash of the whole text, the same on all machines and in all versions of this crate that cut alike.
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// The difference from the text that has these pieces to `target`, which has the pieces
    /// `target_pieces`.
    pub fn difference(&self, target: &[u8], target_pieces: &Self) -> Vec<u8> {
        let key = |(hash, start, len): &(u64, u32, u32)| ((*hash, *len), *start);
        let known: HashMap<_, _> = self.pieces.iter().map(key).collect();
        let mut edits = Vec::new();
        for (hash, start, len) in &target_pieces.pieces {
            match (known.get(&(*hash, *len)), edits.last_mut()) {
                (Some(from), Some(Edit::Copy(begin, copied))) if *begin + *copied == *from => {
                    *copied += len;
                }
                (Some(from), _) => edits.push(Edit::Copy(*from, *len)),
                (None, last) => {
                    let part = part(target, *start, *len).unwrap_or_default();
                    match last {
                        Some(Edit::Insert(bytes)) => bytes.extend_from_slice(part),
                        _ => edits.push(Edit::Insert(part.to_vec())),
                    }
                }
            }
        }
        let encoded = postcard::to_allocvec(&edits).unwrap_or_default();
        miniz_oxide::deflate::compress_to_vec(&encoded, COMPRESSION_LEVEL)
    }
}

/// Applies a difference to the text that it is from. The new text may have up to `max_bytes`.
pub fn apply(base: &[u8], difference: &[u8], max_bytes: usize) -> Result<Vec<u8>, DeltaError> {
    // Each piece that is not new takes some bytes of its own.
    let max_encoded = max_bytes.saturating_mul(2);
    let encoded = miniz_oxide::inflate::decompress_to_vec_with_limit(difference, max_encoded);
    let encoded = encoded.ok().context(CompressionSnafu)?;
    let edits: Vec<Edit> = postcard::from_bytes(&encoded).context(DecodeSnafu)?;
    let mut text = Vec::new();
    for edit in &edits {
        let bytes = match edit {
            Edit::Copy(start, len) => part(base, *start, *len).context(OtherBaseSnafu)?,
            Edit::Insert(bytes) => bytes,
        };
        let is_short = text.len() + bytes.len() <= max_bytes;
        ensure!(is_short, TooLongSnafu { max_bytes });
        text.extend_from_slice(bytes);
    }
    Ok(text)
}

fn part(text: &[u8], start: u32, len: u32) -> Option<&[u8]> {
    let start = usize::try_from(start).ok()?;
    let end = start.checked_add(usize::try_from(len).ok()?)?;
    text.get(start..end)
}

fn fnv(hash: u64, byte: u8) -> u64 {
    (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
}
