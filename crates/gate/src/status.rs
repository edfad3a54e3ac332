//! The status page: sections of JSON that the parts of a gate add.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc};

use serde_json::Value;

type Section = Box<dyn Fn() -> Value>;

/// Registry of sections. Clones share it.
#[derive(Clone, Default)]
pub struct Status {
    sections: Rc<RefCell<BTreeMap<String, Section>>>,
}

impl Status {
    /// Adds a section, which is computed for every page.
    pub fn add<F>(&self, name: &str, section: F)
    where
        F: Fn() -> Value + 'static,
    {
        let mut sections = self.sections.borrow_mut();
        sections.insert(name.to_owned(), Box::new(section));
    }

    /// The page.
    pub fn page(&self) -> Value {
        let sections = self.sections.borrow();
        let page = sections.iter().map(|(name, f)| (name.clone(), f()));
        Value::Object(page.collect())
    }
}
