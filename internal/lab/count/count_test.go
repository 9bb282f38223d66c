package count

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func line(ms int, msg, more string) string {
	ts := time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond).UTC().Format(time.RFC3339Nano)
	return fmt.Sprintf("%d.5 {\"ts\":%q,\"msg\":%q%s}\n", ms, ts, msg, more)
}

// Two balancers; the second is killed with a connection open and starts again.
func TestLogsOfAFleetAddUp(t *testing.T) {
	stands := func(ms int, c, server string, group int) string {
		return line(ms, "stands", fmt.Sprintf(`,"circuit":%q,"server":%q,"group":%d,"after":0.02`, c, server, group))
	}
	a := line(0, "ready", "") + stands(100, "1", "s-1", 7) + "panic: no log line\n" + stands(200, "2", "s-2", 7) +
		line(1300, "stood", `,"circuit":"2","how":"reset"`) + line(1400, "not served", `,"answer":"BUSY 9\r\n","tries":0`) +
		line(1500, "not served", `,"answer":"BUSY 9\r\n","tries":2`) + line(1600, "try ended", `,"how":"timed-out"`)
	b := line(50, "ready", "") + stands(300, "1", "s-1", 8) + line(2500, "ready", "") + line(2600, "no list", `,"error":"503"`)
	r := &Reader{}
	for name, text := range map[string]string{"a": a, "b": b} {
		if err := r.Read(name, strings.NewReader(text)); err != nil {
			t.Fatal(err)
		}
	}
	f, err := r.Sum(time.Second)
	if err != nil || len(f.Rows) != 3 || f.Unread != 1 || f.Logs != 2 || fmt.Sprint(f.Names) != "[s-1 s-2]" {
		t.Fatalf("%+v, %v", f, err)
	}
	got := ""
	for _, row := range f.Rows {
		got += fmt.Sprintln(row.Held, row.Places, row.Middle.Round(time.Millisecond), row.Columns)
	}
	if want := "3 1.5 20ms [2 3 0 0 0 0 0 0 0 0 0 0 0 0 0]\n" + "2 1 0s [0 0 1 1 0 0 0 1 1 0 0 0 0 0 0]\n" +
		"1 1 0s [1 0 0 0 0 0 0 0 0 0 0 1 0 0 0]\n"; got != want {
		t.Errorf("%s, not %s", got, want)
	}
	if err := r.Read("c", strings.NewReader("{}\n"+strings.Repeat("x", longest+1))); err == nil || !strings.Contains(err.Error(), "c:2:") {
		t.Errorf("a line without an end: %v", err)
	}
	if _, err := r.Sum(time.Microsecond); err == nil {
		t.Error("millions of rows")
	}
}
