//! The stand-in's answers. They are a function of the prompt, so that a caller
//! can check every byte and an engine can resume at any token.

/// Returns the text of token `index` of the answer to the prompt with this
/// digest.
#[must_use]
pub fn token_text(digest: &blake3::Hash, index: u64) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(digest.as_bytes());
    hasher.update(&index.to_le_bytes());
    let mut text = hasher.finalize().to_hex()[..6].to_owned();
    text.push(' ');
    text
}

/// Returns the whole answer of `tokens` tokens to `prompt`.
#[must_use]
pub fn answer(prompt: &str, tokens: u64) -> String {
    let digest = blake3::hash(prompt.as_bytes());
    (0..tokens).map(|i| token_text(&digest, i)).collect()
}
