//! Program `comfreyweir-standins`.

fn main() {}
