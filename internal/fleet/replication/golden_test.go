package replication

import (
	"bufio"
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

var update = flag.Bool("update", false, "write the golden files anew")

// goldenValues returns a message of each kind and the other values that are encoded on their own. Every field that a kind uses is set.
func goldenValues() (names []string, values []any) {
	add := func(name string, v any) {
		names = append(names, name)
		values = append(values, v)
	}
	rec := Record{Key: "word/a", Version: 3, Value: []byte("value"), OperationID: "op3", CreatedAt: 1700000000, Deleted: true, PastOperationIDs: []string{"op2", "op1"}}
	bare := Record{Key: "word/b", Version: 1, OperationID: "op9"}
	ballot := Ballot{Configuration: 7, Incarnation: 1 << 63}
	base := func(kind MessageKind) Message {
		return Message{Kind: kind, From: "a", To: "b", Incarnation: 5, Shard: 200, Ballot: ballot, Sequence: 12, Digest: 0xfedcba9876543210}
	}
	op := base(MessageOperation)
	op.Operation = Operation{ID: "op4", Key: "word/a", ExpectedVersion: 3, Value: []byte("next"), CreatedAt: 1700000001, Delete: true, LocalOnly: true, ReadOnly: true}
	add("operation", op)
	for o := OutcomeUnknown; o <= OutcomeRejected; o++ {
		m := base(MessageResult)
		m.Result = Result{OperationID: "op4", Outcome: o, Record: rec}
		add("result "+o.String(), m)
	}
	for w := ReasonNone; w <= ReasonDiskFailed; w++ {
		m := base(MessageResult)
		m.Result = Result{OperationID: "op4", Outcome: OutcomeRejected, Reason: w}
		add(fmt.Sprintf("result refused %d", w), m)
	}
	write := base(MessageWrite)
	write.Records = []Record{rec}
	add("write", write)
	add("written", base(MessageWriteAck))
	adopt := base(MessageBallot)
	adopt.InSync, adopt.Joining = []string{"a", "b"}, []string{"c"}
	add("adopt", adopt)
	add("want", base(MessageSnapshotRequest))
	install := base(MessageSnapshot)
	install.TargetIncarnation, install.Records = 9, []Record{rec, bare}
	add("install", install)
	add("adopted", base(MessageBallotAck))
	add("stale", base(MessageStaleBallot))
	add("heartbeat", Message{Kind: MessageHeartbeat, From: "a", To: "b", Incarnation: 5})
	add("record", rec)
	add("bare record", bare)
	add("bare operation", Operation{ID: "op5", Key: "k"})
	add("bare result", Result{OperationID: "op5"})
	add("complaint", ReplicaReport{Shard: 3, Configuration: 9, From: "a", Subject: "b"})
	add("complaint caught up", ReplicaReport{Shard: 3, Configuration: 9, From: "a", Subject: "b", CaughtUp: true})
	return names, values
}

// TestWireFormat compares the encoding of each message with that of an earlier version of the program, and decodes that version's messages.
func TestWireFormat(t *testing.T) {
	path := filepath.Join("testdata", "wire.golden")
	names, values := goldenValues()
	if *update {
		var out strings.Builder
		for i, v := range values {
			encoded, err := cbor.Marshal(v)
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&out, "%s: %x\n", names[i], encoded)
		}
		if err := os.WriteFile(path, []byte(out.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 1<<20)
	number := 0
	for ; lines.Scan(); number++ {
		name, digits, _ := strings.Cut(lines.Text(), ": ")
		if number >= len(names) || name != names[number] {
			t.Fatalf("line %d of the golden file has an unexpected name %q", number, name)
		}
		encoded, err := hex.DecodeString(digits)
		if err != nil {
			t.Fatal(err)
		}
		decoded := reflect.New(reflect.TypeOf(values[number]))
		if err := cbor.Unmarshal(encoded, decoded.Interface()); err != nil || !reflect.DeepEqual(decoded.Elem().Interface(), values[number]) {
			t.Errorf("%s: decoded %+v, %v; want %+v", name, decoded.Elem(), err, values[number])
		}
		if again, err := cbor.Marshal(values[number]); err != nil || string(again) != string(encoded) {
			t.Errorf("%s: encoded %x, %v; want %x", name, again, err, encoded)
		}
	}
	if err := lines.Err(); err != nil || number != len(names) {
		t.Errorf("golden file has %d values, want %d; read error: %v", number, len(names), err)
	}
}

// TestReasonNames guards the names of outcomes and reasons, which operators read in reports.
func TestReasonNames(t *testing.T) {
	for w, want := range []string{"", "not the primary", "too few holders", "full", "busy", "settling", "disk"} {
		if got := RejectReason(w).String(); got != want {
			t.Errorf("reason %d is %q, want %q", w, got, want)
		}
	}
	for o, want := range []string{"unknown", "done", "conflict", "refused"} {
		if got := Outcome(o).String(); got != want {
			t.Errorf("outcome %d is %q, want %q", o, got, want)
		}
	}
}
