//! Links between gates: discovery of the other gates, calls to them with time-outs, and the server
//! that answers their calls.

mod links;
mod peer;
mod server;

pub use self::{
    links::PeerLinks,
    peer::PeerError,
    server::{ConfigAnswers, NoConfig, RevisionAnswer, TokenLender, serve},
};
