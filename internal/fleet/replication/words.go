package replication

// Record is one thing that is held.
type Record struct {
	Key     string   `cbor:"Key"`
	Version uint64   `cbor:"Version"` // of the key: 1 is its first; 0 is none
	Value   []byte   `cbor:"Value"`
	Op      string   `cbor:"Op"`   // the operation that wrote it: whoever asks twice for the same one is told yes twice
	Born    int64    `cbor:"Born"` // Unix seconds by the clock of who asked; says when it may be dropped, orders nothing
	Gone    bool     `cbor:"Gone"` // the key is void: it was dropped
	Past    []string `cbor:"Past"` // the operations that wrote it before, the newest first, a few
}

// Op is what is asked for: that a key has a value, if its version is the one that is told.
type Op struct {
	ID    string `cbor:"ID"` // of this operation, never of another one
	Key   string `cbor:"Key"`
	If    uint64 `cbor:"If"` // the version that has to be in force; 0: the key must not be there
	Value []byte `cbor:"Value"`
	Born  int64  `cbor:"Born"`
	Drop  bool   `cbor:"Drop"` // the key is to go
	Here  bool   `cbor:"Here"` // only if this member is the primary; else it is refused at once
	Read  bool   `cbor:"Read"` // nothing is to change: the answer is Conflict with what is there
}

// Outcome of an operation.
type Outcome uint8

const (
	Unknown  Outcome = iota // it may have been done or not: no answer came in time
	Done                    // promised: every holder of the slot has it
	Conflict                // another version is in force, which is told
	Refused                 // not done, for Why
)

func (o Outcome) String() string { return [...]string{"unknown", "done", "conflict", "refused"}[o] }

// Why an operation was refused.
type Why uint8

const (
	Nothing    Why = iota
	NotPrimary     // somebody else orders this slot's writes
	Short          // too few holders: a promise would hang on one machine
	Full           // no room for another key
	Busy           // too many wait
	Settling       // the slot has a new view that not all holders have taken over yet
	Disk           // this member can't write
)

func (w Why) String() string {
	return [...]string{"", "not the primary", "too few holders", "full", "busy", "settling", "disk"}[w]
}

// Result is how an operation ended.
type Result struct {
	Op      string  `cbor:"Op"`
	Outcome Outcome `cbor:"Outcome"`
	Why     Why     `cbor:"Why"`
	Record  Record  `cbor:"Record"` // what is in force, with Done and Conflict
}

// MsgKind is what a message is.
type MsgKind uint8

const (
	MsgOp      MsgKind = iota + 1 // Op, to the primary
	MsgResult                     // Result, back
	MsgWrite                      // primary to holders: Records, the Seq-th of the slot's in this ballot
	MsgWritten                    // back: all up to Seq is on disk
	MsgAdopt                      // primary to holders: this is the ballot; Digest of all that it has
	MsgWant                       // back: what I have is different
	MsgInstall                    // Records are all that there is
	MsgAdopted                    // back: I have taken the ballot over, and have the same
	MsgStale                      // back: there is a newer ballot
	MsgBeat                       // I live
)

// Ballot orders whoever takes itself for a slot's primary: by view, then by the primary's life, as one that was restarted
// has forgotten what was on its way.
type Ballot struct {
	View uint64 `cbor:"View"`
	Life uint64 `cbor:"Life"`
}

// Less tells whether another ballot is newer.
func (b Ballot) Less(o Ballot) bool { return b.View < o.View || b.View == o.View && b.Life < o.Life }

// Msg is one message between members.
type Msg struct {
	Kind    MsgKind  `cbor:"Kind"`
	From    string   `cbor:"From"`
	To      string   `cbor:"To"`
	Life    uint64   `cbor:"Life"` // of the sender's process
	For     uint64   `cbor:"For"`  // the life that it is meant for, where it is for one alone
	Slot    int      `cbor:"Slot"`
	Ballot  Ballot   `cbor:"Ballot"`
	Seq     uint64   `cbor:"Seq"`
	Digest  uint64   `cbor:"Digest"`
	Records []Record `cbor:"Records"`
	Op      Op       `cbor:"Op"`
	Result  Result   `cbor:"Result"`
	Full    []string `cbor:"Full"` // with MsgAdopt, as its view has it
	Joining []string `cbor:"Joining"`
}

// Complaint is what a holder asks of whoever steers the views.
type Complaint struct {
	Slot   int    `cbor:"Slot"`
	View   uint64 `cbor:"View"`
	From   string `cbor:"From"`
	About  string `cbor:"About"`  // it does not answer
	Caught bool   `cbor:"Caught"` // or, of one that is joining: it has caught up
}

// Write is what has to be on disk before the messages of the same Ready go out.
type Write struct {
	Slot    int
	Ballot  Ballot
	Replace bool // the slot's records are these and no others
	Records []Record
}

// Ready is what is to be done now: Writes first, and only once they are on disk the rest.
type Ready struct {
	Writes     []Write
	Msgs       []Msg
	Results    []Result // of operations that were asked for here
	Complaints []Complaint
}

// Empty tells whether nothing is to be done.
func (r Ready) Empty() bool { return len(r.Writes)+len(r.Msgs)+len(r.Results)+len(r.Complaints) == 0 }
