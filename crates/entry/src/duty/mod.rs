//! The planning duty: one instance at a time decides what engines hold and gives them orders.

mod actions;
mod desk;
mod tenure;

pub(crate) use self::{
    desk::Desk,
    tenure::{release, run},
};
