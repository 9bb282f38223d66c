package nodeserver

import (
	"bytes"
	"reflect"
	"testing"

	"sabletally/internal/fleet/node"
	"sabletally/internal/fleet/replication"
	"sabletally/internal/fleet/shardmap"
)

// TestPacketRoundTrip guards against packets that are decoded to other values, such as configurations that share their lists, and against
// corrupted frames that are accepted.
func TestPacketRoundTrip(t *testing.T) {
	p := node.Packet{
		From:          "a",
		To:            "b",
		FleetID:       "f",
		Raft:          []byte{1},
		ReplicaReport: &replication.ReplicaReport{Shard: 3, Subject: "c"},
		PollRequest:   &node.PollRequest{Version: 7},
		Replication: []replication.Message{
			{Kind: replication.MessageWrite, Ballot: replication.Ballot{Configuration: 1 << 63, Incarnation: 2}, Records: []replication.Record{{Key: "k", Value: []byte("v")}}},
			{Kind: replication.MessageResult, Result: replication.Result{Outcome: replication.OutcomeConflict, Record: replication.Record{PastOperationIDs: []string{"p"}}}},
		},
		PollResponse: &node.PollResponse{FleetID: "f", Shards: map[int]shardmap.Configuration{}},
	}
	for n := range shardmap.ShardCount {
		p.PollResponse.Shards[n] = shardmap.Configuration{Number: uint64(n), InSync: []string{string(rune('a' + n%5)), string(rune('f' + n%3)), "z"}[:1+n%3]}
	}
	frame, err := encodeFrame(p)
	if err != nil {
		t.Fatal(err)
	}
	var got node.Packet
	if _, err := readFrame(bytes.NewReader(frame), &got); err != nil || !reflect.DeepEqual(got, p) {
		t.Errorf("decoded packet: error %v, %+v", err, got)
	}
	for _, position := range []int{0, 5, 9, len(frame) - 1} {
		corrupted := bytes.Clone(frame)
		corrupted[position] ^= 0x40
		if _, err := readFrame(bytes.NewReader(corrupted), &got); err == nil {
			t.Errorf("the corruption of byte %d was not detected", position)
		}
	}
}
