//! Program `comfreyweir-gate`.

fn main() {}
