package main

import (
	"context"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"sabletally/internal/lab/baseline"
	"sabletally/internal/lab/checker"
	"sabletally/internal/lab/cluster"
	"sabletally/internal/lab/experiment"
)

// TestMain runs the program itself instead of the tests in the processes that a test starts.
func TestMain(m *testing.M) {
	if os.Getenv("SABLELAB_CHILD") == "" {
		os.Exit(m.Run())
	}
	main()
}

// runReferenceBalancer runs the experiment broken.hcl, shortened, with the reference balancer and the given arguments, and returns the verdict.
func runReferenceBalancer(t *testing.T, args ...string) checker.Verdict {
	t.Helper()
	x, err := experiment.Load("../../lab/experiments/broken.hcl")
	if err != nil {
		t.Fatal(err)
	}
	x.World.Load.Length = 5 * time.Second
	testCluster, err := cluster.Start(x.World, cluster.Arm{Name: "it", Command: append([]string{os.Args[0], "balancer"}, args...), Env: []string{"SABLELAB_CHILD=1"}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer testCluster.Close()
	_, _, v, err := testCluster.Run(context.Background(), nil)
	if err != nil {
		t.Fatal(err)
	}
	if v.Sessions < 50 {
		t.Fatalf("only %d sessions, want at least 50", v.Sessions)
	}
	return v
}

// TestBrokenBalancersBreakTheirRule guards against a checker that misses a violation or blames the wrong rule: each deliberate fault of the
// reference balancer must break its own rule and no other.
func TestBrokenBalancersBreakTheirRule(t *testing.T) {
	for broken, rule := range map[string]checker.Rule{"answers-twice": checker.OneFinalAnswer, "never-answers": checker.OneFinalAnswer,
		"two-tries": checker.NoDuplicateEffect, "sends-to-drained": checker.DrainRespected} {
		t.Run(broken, func(t *testing.T) {
			t.Parallel()
			v := runReferenceBalancer(t, "--broken", broken)
			if len(v.Violations) < 5 {
				t.Fatal(v)
			}
			for _, b := range v.Violations {
				if b.Rule != rule {
					t.Fatal(b)
				}
			}
		})
	}
}

// TestBaselinesKeepTheRules guards against violations that the checker reports without a cause: the reference balancer without a fault
// keeps all rules with each baseline policy.
func TestBaselinesKeepTheRules(t *testing.T) {
	for _, name := range baseline.Names {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if v := runReferenceBalancer(t, "--policy", name); !v.Passed() {
				t.Fatal(v, v.Violations[0])
			}
		})
	}
}

// TestExitCodes guards against a wrong exit code, message or report of the run command: for an experiment that keeps the rules, for a bad
// file and for an experiment that breaks a rule.
func TestExitCodes(t *testing.T) {
	small := strings.NewReplacer(`"sockets"`, `"virtual"`, "rate = 5", "rate = 20").Replace(`experiment {
  mode   = "sockets"
  length = "5s"
}
world {
  server "std" { count = 3 }
}
load {
  rate = 5
  life = "2s"
}
`)
	for _, c := range []struct {
		text string
		code int
		want string
	}{
		{small, exitPassed, "verdict ours seed 1: kept"},
		{strings.Replace(small, "count = 3", "count = -3", 1), exitBadInput, "x.hcl:6:26: count: -3 lies outside 1 to 5000"},
		// The only server has a capacity of four connections. It crashes, and after its cold restart it receives all clients at once.
		{strings.NewReplacer("{ count = 3 }", "{\n count = 1\n cores = 1\n fills = 4\n }").Replace(small) +
			"fault \"crash\" {\n at = \"1s\"\n for = \"500ms\"\n part = 1\n}\narm \"hash\" { policy = \"hash\" }\n", exitRuleBroken, "4 cold servers are spared"},
	} {
		dir := t.TempDir()
		if err := os.WriteFile(dir+"/x.hcl", []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command(os.Args[0], "run", dir+"/x.hcl", "--report", dir+"/out")
		cmd.Env = append(os.Environ(), "SABLELAB_CHILD=1")
		out, _ := cmd.CombinedOutput()
		if got := cmd.ProcessState.ExitCode(); got != c.code || !strings.Contains(string(out), c.want) {
			t.Errorf("exit code %d, want %d: %s", got, c.code, out)
		}
		if c.code == exitBadInput {
			continue
		}
		for _, name := range []string{"report.json", "report.html"} {
			text, err := os.ReadFile(dir + "/out/" + name)
			if err != nil || !strings.Contains(string(text), "Served") {
				t.Errorf("%s: %v", name, err)
			}
		}
	}
}
