package hold

import (
	"bytes"
	"reflect"
	"testing"

	"sabletally/internal/fleet/copies"
	"sabletally/internal/fleet/core"
	"sabletally/internal/fleet/views"
)

// TestAPacketIsReadAsItWasWritten words one with every part, and spoils its bytes. Guards against a decoder that has the views of
// one packet share their lists, which gave every member views of its own.
func TestAPacketIsReadAsItWasWritten(t *testing.T) {
	p := core.Packet{From: "a", To: "b", Fleet: "f", Raft: []byte{1}, Complaint: &copies.Complaint{Slot: 3, About: "c"}, Poll: &core.Poll{Version: 7},
		Copies: []copies.Msg{{Kind: copies.MsgWrite, Ballot: copies.Ballot{View: 1 << 63, Life: 2}, Records: []copies.Record{{Key: "k", Value: []byte("v")}}},
			{Kind: copies.MsgResult, Result: copies.Result{Outcome: copies.Conflict, Record: copies.Record{Past: []string{"p"}}}}},
		Told: &core.Told{Fleet: "f", Slots: map[int]views.View{}}}
	for n := range views.Slots {
		p.Told.Slots[n] = views.View{Num: uint64(n), Full: []string{string(rune('a' + n%5)), string(rune('f' + n%3)), "z"}[:1+n%3]}
	}
	text, err := frame(p)
	if err != nil {
		t.Fatal(err)
	}
	var got core.Packet
	if _, err := unframe(bytes.NewReader(text), &got); err != nil || !reflect.DeepEqual(got, p) {
		t.Errorf("%v: %+v", err, got)
	}
	for _, at := range []int{0, 5, 9, len(text) - 1} {
		bad := bytes.Clone(text)
		bad[at] ^= 0x40
		if _, err := unframe(bytes.NewReader(bad), &got); err == nil {
			t.Errorf("byte %d changed, and nobody noticed", at)
		}
	}
}
