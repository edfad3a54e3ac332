//! Links between gates: discovery, calls with limits, and what this gate answers.

mod links;
mod peer;
mod server;

pub use self::{
    links::Links,
    peer::PeerError,
    server::{ConfigAnswers, NoConfig, RevisionAnswer, TokenLender, serve},
};
