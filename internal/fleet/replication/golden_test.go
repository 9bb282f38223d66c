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

// goldenValues are one message of each kind and the other values that are encoded by themselves, with every field set where the kind uses it.
func goldenValues() (names []string, values []any) {
	add := func(name string, v any) {
		names = append(names, name)
		values = append(values, v)
	}
	rec := Record{Key: "word/a", Version: 3, Value: []byte("value"), Op: "op3", Born: 1700000000, Gone: true, Past: []string{"op2", "op1"}}
	bare := Record{Key: "word/b", Version: 1, Op: "op9"}
	ballot := Ballot{View: 7, Life: 1 << 63}
	base := func(kind MsgKind) Msg {
		return Msg{Kind: kind, From: "a", To: "b", Life: 5, Slot: 200, Ballot: ballot, Seq: 12, Digest: 0xfedcba9876543210}
	}
	op := base(MsgOp)
	op.Op = Op{ID: "op4", Key: "word/a", If: 3, Value: []byte("next"), Born: 1700000001, Drop: true, Here: true, Read: true}
	add("operation", op)
	for o := Unknown; o <= Refused; o++ {
		m := base(MsgResult)
		m.Result = Result{Op: "op4", Outcome: o, Record: rec}
		add("result "+o.String(), m)
	}
	for w := Nothing; w <= Disk; w++ {
		m := base(MsgResult)
		m.Result = Result{Op: "op4", Outcome: Refused, Why: w}
		add(fmt.Sprintf("result refused %d", w), m)
	}
	write := base(MsgWrite)
	write.Records = []Record{rec}
	add("write", write)
	add("written", base(MsgWritten))
	adopt := base(MsgAdopt)
	adopt.Full, adopt.Joining = []string{"a", "b"}, []string{"c"}
	add("adopt", adopt)
	add("want", base(MsgWant))
	install := base(MsgInstall)
	install.For, install.Records = 9, []Record{rec, bare}
	add("install", install)
	add("adopted", base(MsgAdopted))
	add("stale", base(MsgStale))
	add("heartbeat", Msg{Kind: MsgBeat, From: "a", To: "b", Life: 5})
	add("record", rec)
	add("bare record", bare)
	add("bare operation", Op{ID: "op5", Key: "k"})
	add("bare result", Result{Op: "op5"})
	add("complaint", Complaint{Slot: 3, View: 9, From: "a", About: "b"})
	add("complaint caught up", Complaint{Slot: 3, View: 9, From: "a", About: "b", Caught: true})
	return names, values
}

// TestWireFormat holds the bytes of each message against those of an earlier program, both ways.
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
			t.Fatalf("line %d is %q", number, name)
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
		t.Errorf("%d of %d values in the file, %v", number, len(names), err)
	}
}

// TestReasonNames holds the names that operators read in reports.
func TestReasonNames(t *testing.T) {
	for w, want := range []string{"", "not the primary", "too few holders", "full", "busy", "settling", "disk"} {
		if got := Why(w).String(); got != want {
			t.Errorf("reason %d is %q, want %q", w, got, want)
		}
	}
	for o, want := range []string{"unknown", "done", "conflict", "refused"} {
		if got := Outcome(o).String(); got != want {
			t.Errorf("outcome %d is %q, want %q", o, got, want)
		}
	}
}
