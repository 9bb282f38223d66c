package node

import (
	"time"

	"sabletally/internal/fleet/changefeed"
	"sabletally/internal/fleet/replication"
	"sabletally/internal/fleet/shardmap"
)

// This file defines the packets that members exchange.

// ProtocolVersion is the version of the protocol between members. Since version 2 members exchange the agreed state as changes and agree
// on operators' items; version 1 counts versions of the state differently.
const ProtocolVersion = 2

// Packet is a message from one member to another. At most one of the fields after FleetID is set. The CBOR names are part of the wire format.
type Packet struct {
	From string `cbor:"From"` // member ID
	To   string `cbor:"To"`   // member ID
	Addr string `cbor:"Addr"` // unused; kept as part of the wire format

	FleetID       string                     `cbor:"Fleet"` // empty while the sender knows no fleet
	Raft          []byte                     `cbor:"Raft"`  // an encoded message of the log
	Replication   []replication.Message      `cbor:"Copies"`
	ReplicaReport *replication.ReplicaReport `cbor:"Complaint"` // report of a replica, sent to the log's leader
	PollRequest   *PollRequest               `cbor:"Poll"`
	PollResponse  *PollResponse              `cbor:"Told"`
	PutRequest    *shardmap.Put              `cbor:"Put"` // put that the log's leader has to propose
	PutResult     *shardmap.PutResult        `cbor:"Done"`
}

// PollRequest asks for all changes of the agreed state after a version.
type PollRequest struct {
	Version         uint64 `cbor:"Version"` // the requester's version of the agreed state
	Digest          uint64 `cbor:"Digest"`  // the requester's digest at Version
	ProtocolVersion int    `cbor:"Form"`    // 0 from a program of protocol version 1
	RequestNumber   uint64 `cbor:"Number"`  // copied to the response
}

// PollResponse answers a PollRequest. A requester of the current protocol version gets Changes or, if these are no longer kept, Snapshot;
// an older one gets Epoch, Members and Shards.
type PollResponse struct {
	FleetID  string                         `cbor:"Fleet"`   // empty if the responder knows no fleet
	Since    uint64                         `cbor:"Since"`   // the requester's version
	Version  uint64                         `cbor:"Version"` // the responder's version
	Epoch    uint64                         `cbor:"Epoch"`
	Members  []shardmap.Member              `cbor:"Members"` // empty if they have not changed since the requester's version
	Shards   map[int]shardmap.Configuration `cbor:"Slots"`
	LeaderID string                         `cbor:"Leader"` // member ID of the log's leader, empty while unknown
	Addr     string                         `cbor:"Addr"`   // address of the responder

	ProtocolVersion int                  `cbor:"Form"`
	RequestNumber   uint64               `cbor:"Number"` // the request's number
	Digest          uint64               `cbor:"Digest"` // the responder's digest at Version
	HasAge          bool                 `cbor:"Known"`  // whether Age is valid
	Age             time.Duration        `cbor:"Age"`    // time since Version was last confirmed to be the newest version
	Changes         []*changefeed.Change `cbor:"Changes"`
	Snapshot        *changefeed.Snapshot `cbor:"Snapshot"`
}
