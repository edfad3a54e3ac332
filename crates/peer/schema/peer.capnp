@0xd2a4c1f09be73655;
# Calls between the processes of comfreyweir. Times are in milliseconds, amounts in tokens.

struct Revision {
  # Revision of the configuration that a process has in force.
  number @0 :UInt64;
  # Whether the process has been in contact with the key-value service within its cut-off time.
  inContact @1 :Bool;
  # Root record of the revision, as stored in the key-value service.
  root @2 :Data;
}

interface Gate {
  # Asks for tokens of a workspace. The caller holds them for at most `holdMs`; the lender's
  # burst stays reduced by what it granted until `giveBack` or until that time has passed.
  borrow @0 (workspace :Text, wanted :UInt64, holdMs :UInt32) -> (granted :UInt64, loan :UInt64);
  # Ends a loan. `unused` tokens return to the lender.
  giveBack @1 (loan :UInt64, unused :UInt64) -> ();
  # Exchanges revisions; `known` is the caller's.
  revision @2 (known :UInt64) -> (revision :Revision);
  # Reads a part of the configuration by its content hash; empty when it is not known.
  chunk @3 (hash :Text) -> (content :Data);
}

struct Demand {
  # Served name of a model or adapter.
  artifact @0 :Text;
  # Requests that wait for it, by workspace.
  workspaces @1 :List(WorkspaceDemand);
}

struct WorkspaceDemand {
  workspace @0 :Text;
  waiting @1 :UInt32;
  # Time left until the earliest deadline.
  deadlineMs @2 :UInt32;
}

struct Usage {
  # Served name of an artifact that a gate has used since its last call.
  artifact @0 :Text;
  # Requests now running through the gate.
  running @1 :UInt32;
}

struct Replica {
  upstream @0 :Text;
  artifact @1 :Text;
  ready @2 :Bool;
  # Estimated time until it is ready.
  readyInMs @3 :UInt32;
}

struct UpstreamLoad {
  upstream @0 :Text;
  running @1 :UInt32;
  waiting @2 :UInt32;
  # Age of the figures when the answer was sent.
  ageMs @3 :UInt32;
  reachable @4 :Bool;
  # Whether the platform or the operator has marked it as leaving.
  leaving @5 :Bool;
}

struct Refusal {
  # A load that cannot happen in time: waiting requests with earlier deadlines can be refused.
  artifact @0 :Text;
  readyInMs @1 :UInt32;
  reason @2 :Text;
}

struct View {
  # Rises with every change of placement within a term.
  version @0 :UInt64;
  term @1 :UInt64;
  replicas @2 :List(Replica);
  loads @3 :List(UpstreamLoad);
  refusals @4 :List(Refusal);
  # True when `replicas` is left out because the caller's version is current.
  unchanged @5 :Bool;
}

interface Planner {
  # Tells who holds a cell, as far as this planner knows. Empty address: not known.
  holder @0 (cell :Text) -> (address :Text, term :UInt64);
  # Reports demand and use, and returns the view of the cell. Fails when this planner does not
  # hold the cell. Waits up to `waitMs` while nothing has changed.
  exchange @1 (cell :Text, gate :Text, knownTerm :UInt64, knownVersion :UInt64, waitMs :UInt32,
               demand :List(Demand), usage :List(Usage)) -> (view :View);
  # State of the planner for operators, as JSON.
  status @2 () -> (json :Text);
}

interface Entry {
  # Exchange of an entry instance with the holder of the planning duty. `report` is what the
  # caller sees; the answer is what all instances see together, or where the holder is.
  # `waitMs` bounds how long the answer waits for a change of placement.
  exchange @0 (report :Data, waitMs :UInt32) -> (view :Data);
}
