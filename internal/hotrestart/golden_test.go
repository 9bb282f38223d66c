package hotrestart

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"sabletally/internal/relay"
)

// goldenMessages returns messages of each kind, with all fields set and with none, in the order of testdata/messages.jsonl.
func goldenMessages() []Message {
	return []Message{
		{Version: protocolVersion, Kind: StateUpdate, State: &State{
			OutOfService: true,
			Servers: []ProbeTimes{
				{UID: "s-1", BootMillis: 1700000000123, LastDuration: 3 * time.Millisecond, PreviousDuration: 5 * time.Millisecond,
					ShortestDurations: []time.Duration{time.Millisecond, 2 * time.Millisecond, 3 * time.Millisecond}, SpeedStep: -2},
				{UID: "s-2"},
			},
		}},
		{Version: protocolVersion, Kind: StateUpdate, State: &State{}},
		{Version: protocolVersion, Kind: Ready, Confirms: true},
		{Version: protocolVersion, Kind: Ready},
		{Version: protocolVersion, Kind: DescriptorCount, DescriptorCount: 321},
		{Version: protocolVersion, Kind: Session, Input: []byte("OPEN 1 2 c=feed,d=20000\r\n"), ServerUID: "s-1", Load: 7.25, Pair: &relay.PairState{
			Client:        relay.ConnState{FD: 7, Partial: []byte("half"), Unwritten: []byte("waits\r\n")},
			Server:        relay.ConnState{FD: 8, Partial: []byte("part"), Unwritten: []byte("more\r\n")},
			Completed:     true,
			MoveRequested: true,
			RequestAge:    time.Second,
			LastLineAge:   1500 * time.Millisecond,
		}},
		{Version: protocolVersion, Kind: Session, Pair: &relay.PairState{}},
		{Version: protocolVersion, Kind: Client, Input: []byte("PING\r\nOP")},
		{Version: protocolVersion, Kind: Client},
		{Version: protocolVersion, Kind: confirmation},
		{Version: protocolVersion, Kind: StateUpdate, State: &State{OutOfService: true, RequestedAt: 90 * time.Second, DrainSince: 80 * time.Second}},
		{Version: protocolVersion, Kind: DescriptorCount, DescriptorCount: 12, ShuttingDown: true},
		{Version: protocolVersion, Kind: EndpointList, List: &ListPart{Discovery: "127.0.0.1:8500", Index: 1, Count: 2, List: json.RawMessage(`{"rev":41}`)}},
		{Version: protocolVersion, Kind: RequestIDUpdate, RequestIDs: &RequestIDs{Open: []uint64{1, 1<<64 - 1}, Used: []uint64{2}, Released: []uint64{3}}},
	}
}

// Guards against an incompatible change of a message: encoding and decoding must match the bytes that earlier releases exchange.
func TestMessagesKeepTheirWireForm(t *testing.T) {
	golden, err := os.ReadFile("testdata/messages.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSuffix(string(golden), "\n"), "\n")
	messages := goldenMessages()
	if len(lines) != len(messages) {
		t.Fatalf("testdata has %d lines for %d messages", len(lines), len(messages))
	}
	for n, want := range messages {
		encoded, err := json.Marshal(want)
		if err != nil || string(encoded) != lines[n] {
			t.Errorf("message %d encodes to\n%s, want\n%s (%v)", n, encoded, lines[n], err)
		}
		var decoded Message
		decoder := json.NewDecoder(strings.NewReader(lines[n]))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&decoded); err != nil {
			t.Errorf("message %d: %v", n, err)
			continue
		}
		if want.Pair != nil { // descriptors are not part of the encoded message
			want.Pair.Client.FD, want.Pair.Server.FD = 0, 0
		}
		if !reflect.DeepEqual(decoded, want) {
			t.Errorf("message %d decodes to %+v, want %+v", n, decoded, want)
		}
		if reencoded, err := json.Marshal(decoded); err != nil || !bytes.Equal(reencoded, encoded) {
			t.Errorf("message %d re-encodes to %s (%v)", n, reencoded, err)
		}
	}
}
