//! Links between gates: discovery, calls with limits, and what this gate answers.

mod links;
mod served;

pub use self::{
    links::{Links, PeerError},
    served::{ConfigAnswers, NoConfig, RevisionAnswer, TokenLender, serve},
};
