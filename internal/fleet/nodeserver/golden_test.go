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

// goldenRecord is a record with every field set.
var goldenRecord = replication.Record{
	Key:              "k",
	Version:          3,
	Value:            []byte("v"),
	OperationID:      "op",
	CreatedAt:        1700000000,
	Deleted:          true,
	PastOperationIDs: []string{"p", "q"},
}

// goldenPackets returns one packet of each kind, with every field set, by the name of its golden file.
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
	configuration := shardmap.Configuration{Number: 5, InSync: []string{"a", "b"}, Joining: []string{"c"}, DataLosses: 2}
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
				Shards:   map[int]shardmap.Configuration{4: configuration},
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

// checkGolden compares an encoded frame with a golden file.
func checkGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s: got\n%q\nwant\n%q", name, got, want)
	}
}

// TestFramesAreUnchanged guards against changes of the wire format: a hello and one packet of each kind must be encoded to the bytes of the
// golden files, and these must be decoded to the same values.
func TestFramesAreUnchanged(t *testing.T) {
	sentHello := hello{FleetName: "istanbul", ProtocolVersion: 2, From: "from", To: "to"}
	frame, err := encodeFrame(sentHello)
	if err != nil {
		t.Fatal(err)
	}
	checkGolden(t, "hello.frame", frame)
	var decoded hello
	if n, err := readFrame(bytes.NewReader(frame), &decoded); err != nil || n != len(frame) || decoded != sentHello {
		t.Errorf("decoded hello: error %v, %d bytes, %+v", err, n, decoded)
	}
	for name, p := range goldenPackets() {
		frame, err := encodeFrame(p)
		if err != nil {
			t.Fatal(err)
		}
		checkGolden(t, name+".frame", frame)
		var decoded node.Packet
		if n, err := readFrame(bytes.NewReader(frame), &decoded); err != nil || n != len(frame) || !reflect.DeepEqual(decoded, p) {
			t.Errorf("%s: decoded packet: error %v, %d bytes, %+v", name, err, n, decoded)
		}
	}
}
