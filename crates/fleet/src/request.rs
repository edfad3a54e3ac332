//! What a request declares about itself.

use std::time::Duration;

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
    /// Reads `MODEL` or `MODEL/ADAPTER`.
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

    /// The text that [`Self::parse`] reads.
    pub fn key(&self) -> String {
        match &self.adapter {
            Some(adapter) => format!("{}/{adapter}", self.model),
            None => self.model.clone(),
        }
    }
}

/// A part of a prompt. Requests with equal first parts can share what engines keep of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier of the part's content.
    pub id: u64,
    /// Length of the part.
    pub tokens: u32,
}

/// What a request declares about itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Declared {
    /// Identifier of the request.
    pub id: Option<String>,
    /// Time that the caller waits.
    pub deadline: Option<Duration>,
    /// Key of the caller.
    pub key: Option<String>,
    /// What it asks an engine for.
    pub artifact: Option<Artifact>,
    /// Prompt tokens and most output tokens.
    pub tokens: Option<(u64, u64)>,
    /// Parts of the prompt, in order. The last belongs to the request alone.
    pub prompt: Vec<PromptPart>,
    /// Last event that the caller has of a stream that it resumes.
    pub last_event: Option<u64>,
}

impl Declared {
    /// All tokens that the request may take.
    pub fn total_tokens(&self) -> Option<u64> {
        self.tokens.map(|(prompt, output)| prompt + output)
    }

    /// Tokens of the prompt.
    pub fn prompt_tokens(&self) -> u64 {
        self.tokens.map_or(0, |(prompt, _)| prompt)
    }

    /// Identifier of the last part that the request shares with others.
    pub fn subject(&self) -> Option<u64> {
        let shared = self.prompt.len().checked_sub(2)?;
        Some(self.prompt[shared].id)
    }
}
