//! Links between gates: discovery, calls with limits, and what this gate answers.

mod links;
mod peer;
mod served;

pub use self::{
    links::Links,
    peer::PeerError,
    served::{ConfigAnswers, NoConfig, RevisionAnswer, TokenLender, serve},
};
