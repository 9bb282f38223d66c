package report

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// sampleReport returns a report of two arms at two seeds, with figures from meters.
func sampleReport() *Report {
	r := &Report{Name: "name", Title: "title", Mode: "virtual", Command: "command", Made: time.Unix(1000, 0).UTC(), Cores: 4}
	for i := range 4 {
		m := NewMeter(2*time.Second, 40*time.Second)
		for at := 500 * time.Millisecond; at <= 42*time.Second; at += 500 * time.Millisecond {
			n := int(at/(500*time.Millisecond)) + i
			m.Attempt()
			m.HealthCheck()
			m.AddOpenSessions(n % 3)
			m.Setup(at, time.Duration(n*n)*time.Millisecond)
			m.Message(at, time.Duration(n)*time.Millisecond, 100*time.Millisecond, n%5 != 0)
			if n%4 == 0 {
				m.Reject(at)
				m.Migrate(at)
				m.MisbehavingClient(n%8 == 0)
			}
			worst, mean, spread := LoadSummary([]float64{0.1, float64(n%7) / 7, 0.5})
			m.Tick(at, 500*time.Millisecond, float64(n%9), 9, worst, mean, spread)
		}
		run := m.Run()
		run.Arm = []string{"a", "b"}[i%2]
		run.Seed = uint64(i / 2)
		run.BalancerCPU = 1.5
		run.BalancerMB = 30 + float64(i)
		run.Late = 0.25
		run.Groups = 3
		run.GroupServers = 7
		run.Balancers = []Usage{{Name: "b0", CPU: 1.5, MB: 30}}
		run.Kept = i != 3
		run.Verdict = "verdict"
		run.Broken = []string{"violation"}
		r.Runs = append(r.Runs, run)
	}
	r.Summarize()
	return r
}

// TestOutputIsStable compares report.json, the table and the page of a fixed report with digests. It guards against changes of their
// format: other programs read report.json, and documentation quotes the others.
func TestOutputIsStable(t *testing.T) {
	r := sampleReport()
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	page, err := r.page()
	if err != nil {
		t.Fatal(err)
	}
	for name, output := range map[string]struct {
		text []byte
		want string
	}{
		"report.json": {text, "13f059314195a92a"},
		"table":       {[]byte(r.Text()), "93da48c65f0abba2"},
		"report.html": {page, "67f5e745e35915d5"},
	} {
		if got := fmt.Sprintf("%x", sha256.Sum256(output.text))[:16]; got != output.want {
			t.Errorf("%s: digest %s, want %s", name, got, output.want)
		}
	}
}
