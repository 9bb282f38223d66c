package node

import (
	"time"

	"sabletally/internal/fleet/changefeed"
	"sabletally/internal/fleet/replication"
	"sabletally/internal/fleet/shardmap"
)

// ProtocolVersion is the version of the protocol between members. Since version 2 they exchange the agreed state as changes and agree on
// operators' items; version 1 counts versions of the state differently.
const ProtocolVersion = 2

// Packet is a message from one member to another. At most one of the fields behind FleetID is set. The CBOR names are the wire form.
type Packet struct {
	From string `cbor:"From"` // member ID
	To   string `cbor:"To"`   // member ID
	Addr string `cbor:"Addr"` // unused; part of the wire form

	FleetID       string                     `cbor:"Fleet"` // empty while the sender knows of no fleet
	Raft          []byte                     `cbor:"Raft"`  // a message of the log
	Replication   []replication.Message      `cbor:"Copies"`
	ReplicaReport *replication.ReplicaReport `cbor:"Complaint"` // to the log's leader
	PollRequest   *PollRequest               `cbor:"Poll"`
	PollResponse  *PollResponse              `cbor:"Told"`
	PutRequest    *shardmap.Put              `cbor:"Put"` // to the log's leader
	PutResult     *shardmap.PutResult        `cbor:"Done"`
}

// PollRequest asks for what was agreed after a version.
type PollRequest struct {
	Version         uint64 `cbor:"Version"`
	Digest          uint64 `cbor:"Digest"`
	ProtocolVersion int    `cbor:"Form"`   // 0 from a program of the first version
	RequestNumber   uint64 `cbor:"Number"` // is returned in the response
}

// PollResponse answers a PollRequest with all that was agreed since. A requester of the present protocol version gets Changes or, where
// these are no longer kept, Snapshot; an older one gets Epoch, Members and Shards.
type PollResponse struct {
	FleetID  string                         `cbor:"Fleet"` // empty where the responder knows of no fleet
	Since    uint64                         `cbor:"Since"` // the requester's version
	Version  uint64                         `cbor:"Version"`
	Epoch    uint64                         `cbor:"Epoch"`
	Members  []shardmap.Member              `cbor:"Members"` // empty where they have not changed
	Shards   map[int]shardmap.Configuration `cbor:"Slots"`
	LeaderID string                         `cbor:"Leader"` // of the log, as far as is known
	Addr     string                         `cbor:"Addr"`   // of the responder

	ProtocolVersion int                  `cbor:"Form"`
	RequestNumber   uint64               `cbor:"Number"`
	Digest          uint64               `cbor:"Digest"` // of Version
	HasAge          bool                 `cbor:"Known"`  // Age is valid
	Age             time.Duration        `cbor:"Age"`    // how long before the response Version was confirmed to be the newest
	Changes         []*changefeed.Change `cbor:"Changes"`
	Snapshot        *changefeed.Snapshot `cbor:"Snapshot"`
}
