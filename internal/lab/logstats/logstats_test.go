package logstats

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

// TestSumOfTwoLogs summarizes the logs of two balancers, the second of which is killed with an established session and starts again. It fails if
// that session still counts, a column or the JSON form of a row changes, or a line or a number of rows beyond the limit is accepted.
func TestSumOfTwoLogs(t *testing.T) {
	r := &Reader{}
	for _, name := range []string{"a", "b"} {
		log, err := os.Open("testdata/" + name + ".log")
		if err != nil || r.Read(name, log) != nil {
			t.Fatal(err)
		}
		defer func() { _ = log.Close() }()
	}
	stats, err := r.Sum(time.Second)
	if err != nil {
		t.Fatal(err)
	}
	got := fmt.Sprintln(stats.Logs, stats.Unread, stats.Names)
	for _, row := range stats.Rows {
		got += fmt.Sprintln(row.Sessions, row.ServersPerGroup, row.SetupP50.Round(time.Millisecond), row.Columns)
	}
	if want := "2 1 [s-1 s-2]\n" + "3 1.5 20ms [2 3 0 0 0 0 0 0 0 0 0 0 0 0 0]\n" + "2 1 0s [0 0 1 1 0 0 0 1 1 0 0 0 0 0 0]\n" +
		"1 1 0s [1 0 0 0 0 0 0 0 0 0 0 1 0 0 0]\n"; got != want {
		t.Errorf("got rows\n%swant\n%s", got, want)
	}
	text, err := json.Marshal(stats.Rows[2])
	if want := `{"At":2000000000,"Columns":[1,0,0,0,0,0,0,0,0,0,0,1,0,0,0],"Sessions":1,"Places":1,"Middle":0,"Late":0,"Servers":{"s-1":1,"s-2":0}}`; err != nil || string(text) != want {
		t.Errorf("got JSON %s, want %s; error %v", text, want, err)
	}
	if err := r.Read("c", strings.NewReader("{}\n"+strings.Repeat("x", maxLineBytes+1))); err == nil || !strings.Contains(err.Error(), "c:2:") {
		t.Errorf("got error %v for a line that is too long, want one that names line 2", err)
	}
	if _, err := r.Sum(time.Microsecond); err == nil {
		t.Error("a step that gives millions of rows was accepted")
	}
}

// TestRewordedMessagesCountAlike guards against captures of earlier or later releases of which some events are not counted: several messages
// were reworded, and both wordings must be read.
func TestRewordedMessagesCountAlike(t *testing.T) {
	for earlier, current := range map[string]string{
		"stands": "session established", "stood": "session ended", "list": "endpoint list received", "no list": "endpoint list request failed",
		"guess": "load estimated", "pace": "machine speed changed", "try ended": "attempt ended", "not served": "session not served",
	} {
		before, now := (&entry{Message: earlier}).column(), (&entry{Message: current}).column()
		if before == noColumn || before != now {
			t.Errorf("%q counts in column %d, %q in column %d", earlier, before, current, now)
		}
	}
}
