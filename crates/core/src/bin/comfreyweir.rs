//! Program `comfreyweir`.

fn main() {}
