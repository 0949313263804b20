//! Block hashes and length of a prompt, by which cached prefixes are found.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of a prompt that are hashed together as one block. Engines cache whole blocks only.
pub const BLOCK_BYTES: usize = 256;
/// Assumed bytes per token where the engine has not counted the tokens.
pub const BYTES_PER_TOKEN: usize = 4;

/// Hashes of a prompt's blocks and the key of its home endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Chained hashes of the whole blocks: equal hashes mean equal prefixes.
    pub blocks: Vec<u64>,
    /// Length in tokens.
    pub tokens: u32,
    /// Key of the home endpoint in rendezvous hashing; all turns of one conversation share it.
    pub home: u64,
    /// Tokens that earlier turns of the conversation may have left cached at the home endpoint.
    pub earlier_tokens: u32,
}

impl Prompt {
    /// Computes the hashes and lengths of a conversation from its messages, oldest first.
    pub fn of_messages(messages: &[String]) -> Self {
        let text = messages.concat();
        let opening = messages.iter().take(2).map(String::len).sum::<usize>();
        // Only the last message is new; an earlier turn sent the others.
        let last = messages.last().map_or(0, String::len);
        let earlier = if messages.len() > 2 {
            text.len() - last
        } else {
            0
        };
        Prompt {
            blocks: hash_blocks(text.as_bytes()),
            tokens: tokens_of(text.len()),
            home: xxh3_64_with_seed(&text.as_bytes()[..opening], 0),
            earlier_tokens: tokens_of(earlier),
        }
    }

    /// Creates a value for a call without a prompt; `key` selects its home endpoint.
    pub fn none(key: &str) -> Self {
        Prompt {
            home: xxh3_64_with_seed(key.as_bytes(), 0),
            ..Prompt::default()
        }
    }
}

fn tokens_of(bytes: usize) -> u32 {
    bytes.div_ceil(BYTES_PER_TOKEN) as u32
}

fn hash_blocks(bytes: &[u8]) -> Vec<u64> {
    let mut previous = 0;
    let mut blocks = Vec::with_capacity(bytes.len() / BLOCK_BYTES);
    for block in bytes.chunks_exact(BLOCK_BYTES) {
        previous = xxh3_64_with_seed(block, previous);
        blocks.push(previous);
    }
    blocks
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn turns_of_a_conversation_share_home_and_blocks() {
        let opening = vec!["s".repeat(600), "u".repeat(300)];
        let first = Prompt::of_messages(&opening);
        let mut longer = opening.clone();
        longer.extend(["a".repeat(400), "b".repeat(90)]);
        let second = Prompt::of_messages(&longer);
        assert_eq!(first.home, second.home);
        assert_eq!(second.blocks[..first.blocks.len()], first.blocks[..]);
        assert_eq!(second.earlier_tokens, 1300 / 4);
    }
}
