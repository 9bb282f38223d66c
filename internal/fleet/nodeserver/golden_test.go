package nodeserver

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"sabletally/internal/fleet/changefeed"
	"sabletally/internal/fleet/node"
	"sabletally/internal/fleet/replication"
	"sabletally/internal/fleet/shardmap"
)

// goldenRecord has every field set.
var goldenRecord = replication.Record{
	Key:              "k",
	Version:          3,
	Value:            []byte("v"),
	OperationID:      "op",
	CreatedAt:        1700000000,
	Deleted:          true,
	PastOperationIDs: []string{"p", "q"},
}

// goldenPackets are one packet of each kind, with every field set.
func goldenPackets() map[string]node.Packet {
	packet := func(set func(*node.Packet)) node.Packet {
		p := node.Packet{From: "from", To: "to", Addr: "10.0.0.1:7001", FleetID: "f"}
		set(&p)
		return p
	}
	change := &changefeed.Change{
		Version:      9,
		DigestBefore: 8,
		DigestAfter:  77,
		Items:        []changefeed.Item{{Key: "config/a", Value: []byte("a")}, {Key: "config/b", Deleted: true}},
	}
	snapshot := changefeed.NewSnapshot("f", 9, []changefeed.Item{{Key: "epoch", Value: []byte("9")}, {Key: "fleet", Value: []byte("f")}})
	members := []shardmap.Member{{ID: "m", Addr: "10.0.0.2:7001", Machine: "machine", Zone: "zone", Site: "site"}}
	view := shardmap.Configuration{Number: 5, InSync: []string{"a", "b"}, Joining: []string{"c"}, DataLosses: 2}
	message := replication.Message{
		Kind:              replication.MessageWrite,
		From:              "from",
		To:                "to",
		Incarnation:       1,
		TargetIncarnation: 2,
		Shard:             3,
		Ballot:            replication.Ballot{Configuration: 4, Incarnation: 5},
		Sequence:          6,
		Digest:            7,
		Records:           []replication.Record{goldenRecord},
		Operation: replication.Operation{
			ID:              "op",
			Key:             "k",
			ExpectedVersion: 2,
			Value:           []byte("v"),
			CreatedAt:       1700000000,
			Delete:          true,
			LocalOnly:       true,
			ReadOnly:        true,
		},
		Result:  replication.Result{OperationID: "op", Outcome: replication.OutcomeConflict, Reason: replication.ReasonBusy, Record: goldenRecord},
		InSync:  []string{"a"},
		Joining: []string{"c"},
	}
	return map[string]node.Packet{
		"raft":   packet(func(p *node.Packet) { p.Raft = []byte{1, 2, 3} }),
		"copies": packet(func(p *node.Packet) { p.Replication = []replication.Message{message} }),
		"complaint": packet(func(p *node.Packet) {
			p.ReplicaReport = &replication.ReplicaReport{Shard: 3, Configuration: 4, From: "a", Subject: "b", CaughtUp: true}
		}),
		"poll": packet(func(p *node.Packet) {
			p.PollRequest = &node.PollRequest{Version: 1, Digest: 2, ProtocolVersion: 3, RequestNumber: 4}
		}),
		"told-form1": packet(func(p *node.Packet) {
			p.PollResponse = &node.PollResponse{
				FleetID:  "f",
				Since:    1,
				Version:  2,
				Epoch:    3,
				Members:  members,
				Shards:   map[int]shardmap.Configuration{4: view},
				LeaderID: "l",
				Addr:     "10.0.0.2:7001",
			}
		}),
		"told-changes": packet(func(p *node.Packet) {
			p.PollResponse = &node.PollResponse{
				FleetID:         "f",
				Since:           1,
				Version:         9,
				LeaderID:        "l",
				Addr:            "10.0.0.2:7001",
				ProtocolVersion: 2,
				RequestNumber:   5,
				Digest:          6,
				HasAge:          true,
				Age:             time.Second,
				Changes:         []*changefeed.Change{change},
			}
		}),
		"told-snapshot": packet(func(p *node.Packet) {
			p.PollResponse = &node.PollResponse{
				FleetID:         "f",
				Since:           1,
				Version:         9,
				LeaderID:        "l",
				Addr:            "10.0.0.2:7001",
				ProtocolVersion: 2,
				RequestNumber:   5,
				Digest:          6,
				HasAge:          true,
				Age:             time.Second,
				Snapshot:        snapshot,
			}
		}),
		"put": packet(func(p *node.Packet) {
			p.PutRequest = &shardmap.Put{Key: "config/a", Value: []byte("a"), Delete: true, OperationID: "op", Conditional: true, ExpectedVersion: 7}
		}),
		"done": packet(func(p *node.Packet) {
			p.PutResult = &shardmap.PutResult{OperationID: "op", Version: 8, Rejection: "why"}
		}),
	}
}

// checkGolden compares bytes with a file of testdata.
func checkGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: encoded to\n%q, and the file has\n%q", name, got, want)
	}
}

// TestFramesAreUnchanged encodes a hello and one packet of each kind to the bytes of the golden files, and decodes these to the same values.
func TestFramesAreUnchanged(t *testing.T) {
	first := hello{FleetName: "istanbul", ProtocolVersion: 2, From: "from", To: "to"}
	text, err := encodeFrame(first)
	if err != nil {
		t.Fatal(err)
	}
	checkGolden(t, "hello.frame", text)
	var again hello
	if n, err := readFrame(bytes.NewReader(text), &again); err != nil || n != len(text) || again != first {
		t.Errorf("%v: %d bytes, %+v", err, n, again)
	}
	for name, p := range goldenPackets() {
		text, err := encodeFrame(p)
		if err != nil {
			t.Fatal(err)
		}
		checkGolden(t, name+".frame", text)
		var got node.Packet
		if n, err := readFrame(bytes.NewReader(text), &got); err != nil || n != len(text) || !reflect.DeepEqual(got, p) {
			t.Errorf("%s: %v: %d bytes, %+v", name, err, n, got)
		}
	}
}
