//! The status page of the admin port: a JSON object with one section for each component that adds
//! one.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

use serde_json::Value;

/// Computes the current value of a section.
type Section = Box<dyn Fn() -> Value>;

/// Sections of the status page by name. Clones share them.
#[derive(Clone, Default)]
pub struct StatusPage {
    sections: Rc<RefCell<BTreeMap<String, Section>>>,
}

impl StatusPage {
    /// Adds a section, or replaces the one of the same name. `section` is called each time the page
    /// is requested.
    pub fn add<F>(&self, name: &str, section: F)
    where
        F: Fn() -> Value + 'static,
    {
        let mut sections = self.sections.borrow_mut();
        sections.insert(name.to_owned(), Box::new(section));
    }

    /// Computes all sections and returns them as one object.
    pub fn to_json(&self) -> Value {
        let sections = self.sections.borrow();
        let page = sections.iter().map(|(name, f)| (name.clone(), f()));
        Value::Object(page.collect())
    }
}
