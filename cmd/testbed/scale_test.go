package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"sabletally/internal/lab/scale"
)

// buildBalancer builds the balancer and returns its path.
func buildBalancer(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "sabletally")
	if text, err := exec.Command("go", "build", "-o", path, "../sabletally").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	return path
}

// scaleCommand is the scale test of this program, with temporary directories in tmp.
func scaleCommand(tmp string, args ...string) (*exec.Cmd, *bytes.Buffer) {
	cmd := exec.Command(os.Args[0], append([]string{"scale"}, args...)...)
	cmd.Env = append(os.Environ(), "SABLELAB_CHILD=1", "TMPDIR="+tmp)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	return cmd, &out
}

// checkNothingLeft checks that neither a directory in tmp nor a process that was started with it is left.
func checkNothingLeft(t *testing.T, tmp string) {
	t.Helper()
	if left, err := os.ReadDir(tmp); err != nil || len(left) > 0 {
		t.Errorf("left behind: %v, %v", left, err)
	}
	all, _ := filepath.Glob("/proc/[0-9]*/environ")
	for _, name := range all {
		if text, err := os.ReadFile(name); err == nil && strings.Contains(string(text), "TMPDIR="+tmp+"\x00") {
			line, _ := os.ReadFile(filepath.Join(filepath.Dir(name), "cmdline"))
			t.Errorf("%s still runs: %q", name, line)
		}
	}
}

// TestScaleZoneLoss is a small scale test: a hundred balancers, five control processes, the loss of a zone. Its verdict is by counts
// only: all reachable balancers have all changes, none went back to an older version, and at the end all are current and evenly spread.
func TestScaleZoneLoss(t *testing.T) {
	t.Parallel()
	tmp := t.TempDir()
	figures := filepath.Join(t.TempDir(), "figures.json")
	cmd, out := scaleCommand(tmp, "--binary", buildBalancer(t), "--balancers", "100", "--control", "5", "--zones", "5", "--regions", "3", "--changes-per-day", "200000",
		"--burst", "50", "--for", "15s", "--seed", "5", "--faults", "zone", "--judge", "counts", "--json", figures)
	if err := cmd.Run(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	text, err := os.ReadFile(figures)
	if err != nil {
		t.Fatal(err)
	}
	var f scale.Figures
	if err := json.Unmarshal(text, &f); err != nil {
		t.Fatal(err)
	}
	// Each change was timed at each balancer, and the twenty of the zone returned.
	if f.Verdict != "verdict: kept" || f.Missed != 0 || f.Samples < int64(f.Changes*80) || f.Changes < 50 || f.Returned != 20 || f.SteadyAfter <= 0 {
		t.Errorf("%s", text)
	}
	checkNothingLeft(t, tmp)
}

// TestInterruptedScaleLeavesNothing interrupts a scale test.
func TestInterruptedScaleLeavesNothing(t *testing.T) {
	t.Parallel()
	tmp := t.TempDir()
	cmd, out := scaleCommand(tmp, "--binary", buildBalancer(t), "--balancers", "20", "--control", "3", "--for", "10m", "--judge", "counts")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(20 * time.Millisecond) { // until a control process has written something
		if is, _ := filepath.Glob(filepath.Join(tmp, "*", "c0", "*")); len(is) > 0 {
			break
		}
		if time.Now().After(end) {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
			t.Fatalf("no control process has started\n%s", out)
		}
	}
	_ = cmd.Process.Signal(syscall.SIGTERM)
	err := cmd.Wait()
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != exitFailure || !strings.Contains(out.String(), "verdict: not kept: partial: interrupted") {
		t.Errorf("%v\n%s", err, out)
	}
	checkNothingLeft(t, tmp)
}

// TestScaleRejectsBadArguments: the error names the flag, and the exit code is 2.
func TestScaleRejectsBadArguments(t *testing.T) {
	for want, args := range map[string][]string{"--faults: \"rock\" is none": {"--faults", "rock"}, "--regions: 4 lies outside 1 to 3": {"--regions", "4"},
		"--binary: stat": {"--binary", "/nowhere"}, "--for: expected duration": {"--for", "3"}, "unknown flag --control-processes": {"--control-processes", "3"}} {
		cmd, out := scaleCommand(t.TempDir(), args...)
		err := cmd.Run()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() != exitBadInput || !strings.Contains(out.String(), want) {
			t.Errorf("%v: %v, wanted %q\n%s", args, err, want, out)
		}
	}
}
