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
var goldenRecord = replication.Record{Key: "k", Version: 3, Value: []byte("v"), Op: "op", Born: 1700000000, Gone: true, Past: []string{"p", "q"}}

// goldenPackets are one packet of each kind, with every field set.
func goldenPackets() map[string]node.Packet {
	packet := func(set func(*node.Packet)) node.Packet {
		p := node.Packet{From: "from", To: "to", Addr: "10.0.0.1:7001", FleetID: "f"}
		set(&p)
		return p
	}
	change := &changefeed.Change{Version: 9, Before: 8, After: 77, Items: []changefeed.Item{{Key: "config/a", Value: []byte("a")}, {Key: "config/b", Gone: true}}}
	snapshot := changefeed.NewSnapshot("f", 9, []changefeed.Item{{Key: "epoch", Value: []byte("9")}, {Key: "fleet", Value: []byte("f")}})
	members := []shardmap.Member{{ID: "m", Addr: "10.0.0.2:7001", Machine: "machine", Zone: "zone", Site: "site"}}
	view := shardmap.View{Num: 5, Full: []string{"a", "b"}, Joining: []string{"c"}, Lost: 2}
	message := replication.Msg{Kind: replication.MsgWrite, From: "from", To: "to", Life: 1, For: 2, Slot: 3, Ballot: replication.Ballot{View: 4, Life: 5}, Seq: 6,
		Digest: 7, Records: []replication.Record{goldenRecord},
		Op:     replication.Op{ID: "op", Key: "k", If: 2, Value: []byte("v"), Born: 1700000000, Drop: true, Here: true, Read: true},
		Result: replication.Result{Op: "op", Outcome: replication.Conflict, Why: replication.Busy, Record: goldenRecord},
		Full:   []string{"a"}, Joining: []string{"c"}}
	return map[string]node.Packet{
		"raft":   packet(func(p *node.Packet) { p.Raft = []byte{1, 2, 3} }),
		"copies": packet(func(p *node.Packet) { p.Replication = []replication.Msg{message} }),
		"complaint": packet(func(p *node.Packet) {
			p.Complaint = &replication.Complaint{Slot: 3, View: 4, From: "a", About: "b", Caught: true}
		}),
		"poll": packet(func(p *node.Packet) {
			p.PollRequest = &node.PollRequest{Version: 1, Digest: 2, ProtocolVersion: 3, RequestNumber: 4}
		}),
		"told-form1": packet(func(p *node.Packet) {
			p.PollResponse = &node.PollResponse{FleetID: "f", Since: 1, Version: 2, Epoch: 3, Members: members, Shards: map[int]shardmap.View{4: view}, LeaderID: "l", Addr: "10.0.0.2:7001"}
		}),
		"told-changes": packet(func(p *node.Packet) {
			p.PollResponse = &node.PollResponse{FleetID: "f", Since: 1, Version: 9, LeaderID: "l", Addr: "10.0.0.2:7001", ProtocolVersion: 2, RequestNumber: 5, Digest: 6, HasAge: true, Age: time.Second,
				Changes: []*changefeed.Change{change}}
		}),
		"told-snapshot": packet(func(p *node.Packet) {
			p.PollResponse = &node.PollResponse{FleetID: "f", Since: 1, Version: 9, LeaderID: "l", Addr: "10.0.0.2:7001", ProtocolVersion: 2, RequestNumber: 5, Digest: 6, HasAge: true, Age: time.Second,
				Snapshot: snapshot}
		}),
		"put": packet(func(p *node.Packet) {
			p.PutRequest = &shardmap.Put{Key: "config/a", Value: []byte("a"), Gone: true, Op: "op", Only: true, If: 7}
		}),
		"done": packet(func(p *node.Packet) { p.PutResult = &shardmap.Done{Op: "op", Version: 8, Refused: "why"} }),
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
	first := hello{Fleet: "istanbul", Form: 2, From: "from", To: "to"}
	text, err := frame(first)
	if err != nil {
		t.Fatal(err)
	}
	checkGolden(t, "hello.frame", text)
	var again hello
	if n, err := unframe(bytes.NewReader(text), &again); err != nil || n != len(text) || again != first {
		t.Errorf("%v: %d bytes, %+v", err, n, again)
	}
	for name, p := range goldenPackets() {
		text, err := frame(p)
		if err != nil {
			t.Fatal(err)
		}
		checkGolden(t, name+".frame", text)
		var got node.Packet
		if n, err := unframe(bytes.NewReader(text), &got); err != nil || n != len(text) || !reflect.DeepEqual(got, p) {
			t.Errorf("%s: %v: %d bytes, %+v", name, err, n, got)
		}
	}
}
