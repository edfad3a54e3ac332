//! Program `comfreyweir-planner`.

fn main() {}
