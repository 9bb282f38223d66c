package changefeed

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

var updateGolden = flag.Bool("update", false, "rewrite the golden files instead of comparing with them")

// compareGolden fails the test unless lines are equal to the content of a golden file. With -update it writes the file first.
func compareGolden(t *testing.T, name string, lines []string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	got := strings.Join(lines, "\n") + "\n"
	if *updateGolden {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s differs:\n got %s\nwant %s", path, got, want)
	}
}

// readGoldenMessages reads a golden file with lines of the form "name hex" and returns the encoded messages by name.
func readGoldenMessages(t *testing.T, name string) map[string][]byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	encoded := map[string][]byte{}
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		kind, digits, _ := strings.Cut(lines.Text(), " ")
		body, err := hex.DecodeString(digits)
		if err != nil {
			t.Fatalf("%s: %v", kind, err)
		}
		encoded[kind] = body
	}
	return encoded
}

// goldenMessage is a message with its name in the golden file.
type goldenMessage struct {
	name string
	msg  Message
}

// goldenMessages returns one message of each kind, with every field set.
func goldenMessages() []goldenMessage {
	items := []Item{{Key: "config/a", Value: []byte("one")}, {Key: "member/b", Deleted: true}}
	return []goldenMessage{
		{"hello", Message{Hello: &Hello{Fleet: "f", ProtocolVersion: 1, ID: "id", Name: "name", Incarnation: 5, Machine: "m", Zone: "z", Site: "s", Version: 9, Digest: 10, Standby: true}}},
		{"change", Message{Change: &Change{Version: 1, DigestBefore: 2, DigestAfter: 3, Items: items}}},
		{"snapshot", Message{Snapshot: &Snapshot{Fleet: "f", Version: 2, Digest: 3, Items: items}}},
		{"renew", Message{RenewRequest: &RenewRequest{Sequence: 1, LastResponse: 2, Version: 3, Digest: 4}}},
		{"renewed", Message{RenewResponse: &RenewResponse{Sequence: 1, Version: 2, Digest: 3, SentVersion: 4, Age: 5 * time.Millisecond, AgeKnown: true, Standby: true}}},
		{"ack", Message{Ack: &Ack{Version: 1, Digest: 2}}},
		{"want", Message{SyncRequest: &SyncRequest{Version: 1, Digest: 2, ForceSnapshot: true, LastResponse: 4}}},
		{"elsewhere", Message{Reject: &Reject{RetryAfter: time.Second, Reason: "why"}}},
		{"bye", Message{Disconnect: &Disconnect{}}},
		{"op", Message{Operation: &Payload{RequestID: 1, Body: []byte("body")}}},
		{"result", Message{OperationResult: &Payload{RequestID: 1, Body: []byte("body")}}},
		{"put", Message{PutRequest: &PutRequest{OperationID: "op", Key: "k", Value: []byte("v"), Delete: true, IfVersion: 5, Unconditional: true}}},
		{"put-done", Message{PutResponse: &PutResponse{OperationID: "op", Version: 2, RejectReason: "why"}}},
	}
}

// TestGoldenMessages guards against a change of the encoding of any kind of message, which other versions of the program read.
func TestGoldenMessages(t *testing.T) {
	messages := goldenMessages()
	if kinds := reflect.TypeFor[Message]().NumField(); len(messages) != kinds {
		t.Fatalf("%d messages for %d kinds", len(messages), kinds)
	}
	var lines []string
	for _, m := range messages {
		lines = append(lines, m.name+" "+hex.EncodeToString(Encode(&m.msg)))
	}
	compareGolden(t, "messages.golden", lines)

	encoded := readGoldenMessages(t, "messages.golden")
	for _, m := range messages {
		decoded, err := Decode(encoded[m.name])
		if err != nil {
			t.Errorf("%s: %v", m.name, err)
			continue
		}
		if !reflect.DeepEqual(decoded, m.msg) {
			t.Errorf("%s is decoded as %+v", m.name, decoded)
		}
		if again := Encode(&decoded); !bytes.Equal(again, encoded[m.name]) {
			t.Errorf("%s is encoded differently after decoding: %x", m.name, again)
		}
	}
}

// TestGoldenDigests guards against a change of the digests that processes compare, and of the scores by which subscribers rank publishers.
func TestGoldenDigests(t *testing.T) {
	var lines []string
	log := NewLog(LogConfig{MaxChanges: 100, MaxBytes: 1 << 20})
	steps := [][]Item{
		{{Key: FleetKey, Value: []byte("fleet-1")}},
		{{Key: MemberPrefix + "a", Value: []byte(`{"ID":"a"}`)}, {Key: ConfigPrefix + "x", Value: []byte("1")}},
		{{Key: ConfigPrefix + "x", Value: []byte("2")}},
		{{Key: MemberPrefix + "a", Deleted: true}},
		{},
	}
	for _, items := range steps {
		change, err := log.Append(items)
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, fmt.Sprintf("change %d %016x %016x %d", change.Version, change.DigestBefore, change.DigestAfter, change.Size()))
	}
	snapshot := log.Snapshot()
	lines = append(lines, fmt.Sprintf("snapshot %d %016x %d", snapshot.Version, snapshot.Digest, snapshot.Size()))
	again := NewSnapshot(snapshot.Fleet, 77, snapshot.Items)
	lines = append(lines, fmt.Sprintf("new-snapshot %d %016x", again.Version, again.Digest))
	for _, publisher := range []string{"", "a", "10.0.0.1:7000"} {
		lines = append(lines, fmt.Sprintf("score %q %016x", publisher, rendezvousScore("follower", publisher)))
	}
	compareGolden(t, "digests.golden", lines)
}

// TestGoldenConstants guards against a change of texts and numbers that are part of the protocol or of stored state.
func TestGoldenConstants(t *testing.T) {
	var texts []string
	for _, err := range []error{ErrOutOfOrder, ErrDigestMismatch, ErrConflict, ErrFull, ErrInvalidItem, ErrForeignFleet, ErrMalformedMessage, errDraining} {
		texts = append(texts, err.Error()) // a publisher sends them as the reason of a Reject
	}
	compareGolden(t, "constants.golden", append(texts, FleetKey, MemberPrefix, ConfigPrefix, fmt.Sprint(ProtocolVersion), fmt.Sprint(MaxMessageBytes)))
}
