package idempotency

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"sabletally/internal/fleet/replication"
)

var update = flag.Bool("update", false, "write the golden files anew")

// TestRecordFormat compares the encoded record of each state, and the operations that write them, with those of an earlier version of the
// program, so that the two can read each other's records.
func TestRecordFormat(t *testing.T) {
	var out strings.Builder
	note := func(name string, op replication.Operation) {
		fmt.Fprintf(&out, "%s: %s %s %d %s %d %v\n", name, op.ID, op.Key, op.ExpectedVersion, op.Value, op.CreatedAt, op.ReadOnly)
	}
	c := New(0xabc, "owner", 1700000000)
	note("begin", c.Begin("10.0.0.1:80"))
	note("withdraw unknown", c.Withdraw())
	c = New(0xabc, "owner", 1700000000)
	note("begin", c.Begin("10.0.0.1:80"))
	if v, _ := c.HandleResult(replication.Result{Outcome: replication.OutcomeCommitted, Record: replication.Record{Version: 4}}); v != Proceed {
		t.Fatal(v)
	}
	note("answer", c.RecordAnswer([]byte("UP <1>")))
	note("withdraw", c.Withdraw())
	c = New(0xabc, "second", 1700000000)
	c.Begin("10.0.0.2:80")
	other, _ := json.Marshal(Record{State: recordPending, Owner: "owner", Endpoint: "10.0.0.1:80"})
	_, op := c.HandleResult(replication.Result{Outcome: replication.OutcomeConflict, Record: replication.Record{Version: 5, Value: other}})
	note("take over", op)

	values := []Record{
		{State: recordPending, Owner: "o", Endpoint: "s"},
		{State: recordAnswered, Owner: "o", Answer: []byte("UP")},
		{State: recordAbandoned, Owner: "o"},
		{State: recordWithdrawn, Owner: "o"},
	}
	var texts []string
	for _, v := range values {
		encoded, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		texts = append(texts, string(encoded))
		fmt.Fprintf(&out, "%s\n", encoded)
	}
	path := filepath.Join("testdata", "records.golden")
	if *update {
		if err := os.WriteFile(path, []byte(out.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if out.String() != string(want) {
		t.Errorf("records or operations differ from the golden file: got\n%swant\n%s", out.String(), want)
	}
	for i, v := range values {
		var got Record
		if err := json.Unmarshal([]byte(texts[i]), &got); err != nil || !reflect.DeepEqual(got, v) {
			t.Errorf("%+v, %v; want %+v", got, err, v)
		}
	}
}
