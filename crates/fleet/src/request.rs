//! Request metadata that the caller declares.

use std::{fmt::Write as _, time::Duration};

/// Most parts of a prompt that [`RequestMetadata::prompt_text`] names.
const MAX_NAMED_PARTS: usize = 8;

/// Model and adapter that a request asks for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Artifact {
    /// Name of the model.
    pub model: String,
    /// Name of the adapter, if the request names one.
    pub adapter: Option<String>,
}

impl Artifact {
    /// Parses `MODEL` or `MODEL/ADAPTER`.
    pub fn parse(text: &str) -> Self {
        match text.split_once('/') {
            Some((model, adapter)) => Self {
                model: model.to_owned(),
                adapter: Some(adapter.to_owned()),
            },
            None => Self {
                model: text.to_owned(),
                adapter: None,
            },
        }
    }

    /// Formats the artifact as [`Self::parse`] expects it.
    pub fn key(&self) -> String {
        match &self.adapter {
            Some(adapter) => format!("{}/{adapter}", self.model),
            None => self.model.clone(),
        }
    }
}

/// A part of a prompt. Requests whose prompts begin with the same parts can share entries of an
/// engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier of the part's content.
    pub id: u64,
    /// Length of the part in tokens.
    pub tokens: u32,
}

/// Request metadata that the caller declares.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestMetadata {
    /// Identifier of the request.
    pub id: Option<String>,
    /// Time for which the caller waits for the answer.
    pub deadline: Option<Duration>,
    /// API key of the caller.
    pub key: Option<String>,
    /// Model and adapter that the request needs.
    pub artifact: Option<Artifact>,
    /// Number of prompt tokens and maximum number of output tokens.
    pub tokens: Option<(u64, u64)>,
    /// Parts of the prompt, in order. No other request shares the last one.
    pub prompt: Vec<PromptPart>,
    /// Identifier of the last event that the caller received of the stream that it resumes.
    pub last_event: Option<u64>,
    /// Identifier of the request that began the stream that this one resumes.
    pub resumes: Option<String>,
}

impl RequestMetadata {
    /// Maximum number of prompt and output tokens; none if the request declares no tokens.
    pub fn total_tokens(&self) -> Option<u64> {
        self.tokens.map(|(prompt, output)| prompt + output)
    }

    /// Number of prompt tokens; 0 if the request declares no tokens.
    pub fn prompt_tokens(&self) -> u64 {
        self.tokens.map_or(0, |(prompt, _)| prompt)
    }

    /// Identifiers of the prompt's first parts, for logs: hexadecimal, separated by commas.
    pub fn prompt_text(&self) -> String {
        let mut text = String::new();
        for (i, part) in self.prompt.iter().take(MAX_NAMED_PARTS).enumerate() {
            let comma = if i == 0 { "" } else { "," };
            // Writing to a string cannot fail.
            let _ = write!(text, "{comma}{:x}", part.id);
        }
        text
    }

    /// Tokens of the prompt part that no other request shares.
    pub fn unshared_tokens(&self) -> u64 {
        self.prompt.last().map_or(0, |part| u64::from(part.tokens))
    }

    /// Identifier of the last prompt part that other requests may share: the last but one. None for
    /// prompts of fewer than two parts.
    pub fn shared_prefix_id(&self) -> Option<u64> {
        let last_shared = self.prompt.len().checked_sub(2)?;
        Some(self.prompt[last_shared].id)
    }
}
