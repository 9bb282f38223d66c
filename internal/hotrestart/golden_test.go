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

// goldenMessages has one message of each kind, with every field set, in the order of testdata/messages.jsonl.
func goldenMessages() []Message {
	return []Message{
		{V: version, Kind: Hello, Known: &Known{
			Out: true,
			Servers: []Probed{
				{UID: "s-1", Boot: 1700000000123, Last: 3 * time.Millisecond, Before: 5 * time.Millisecond,
					Low: []time.Duration{time.Millisecond, 2 * time.Millisecond, 3 * time.Millisecond}, Pace: -2},
				{UID: "s-2"},
			},
		}},
		{V: version, Kind: Hello, Known: &Known{}},
		{V: version, Kind: Ready, Confirms: true},
		{V: version, Kind: Ready},
		{V: version, Kind: Descriptors, Descriptors: 321},
		{V: version, Kind: Circuit, First: []byte("OPEN 1 2 c=feed,d=20000\r\n"), At: "s-1", Load: 7.25, Pair: &relay.Passed{
			Client:   relay.End{FD: 7, Held: []byte("half"), Out: []byte("waits\r\n")},
			Server:   relay.End{FD: 8, Held: []byte("part"), Out: []byte("more\r\n")},
			Byed:     true,
			Moved:    true,
			AskedAgo: time.Second,
			HeardAgo: 1500 * time.Millisecond,
		}},
		{V: version, Kind: Circuit, Pair: &relay.Passed{}},
		{V: version, Kind: Client, First: []byte("PING\r\nOP")},
		{V: version, Kind: Client},
		{V: version, Kind: taken},
	}
}

// TestMessagesKeepTheirWireForm compares each kind of message with the bytes that earlier releases send, both ways.
func TestMessagesKeepTheirWireForm(t *testing.T) {
	golden, err := os.ReadFile("testdata/messages.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSuffix(string(golden), "\n"), "\n")
	messages := goldenMessages()
	if len(lines) != len(messages) {
		t.Fatalf("%d lines for %d messages", len(lines), len(messages))
	}
	for n, want := range messages {
		encoded, err := json.Marshal(want)
		if err != nil || string(encoded) != lines[n] {
			t.Errorf("message %d encodes to\n%s, not\n%s (%v)", n, encoded, lines[n], err)
		}
		var decoded Message
		decoder := json.NewDecoder(strings.NewReader(lines[n]))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&decoded); err != nil {
			t.Errorf("message %d: %v", n, err)
			continue
		}
		if want.Pair != nil { // descriptors go beside the text
			want.Pair.Client.FD, want.Pair.Server.FD = 0, 0
		}
		if !reflect.DeepEqual(decoded, want) {
			t.Errorf("message %d decodes to %+v, not %+v", n, decoded, want)
		}
		if again, err := json.Marshal(decoded); err != nil || !bytes.Equal(again, encoded) {
			t.Errorf("message %d encodes again to %s (%v)", n, again, err)
		}
	}
}
