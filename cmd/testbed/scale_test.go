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

// buildBalancer builds the balancer binary and returns its path.
func buildBalancer(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "sabletally")
	if text, err := exec.Command("go", "build", "-o", path, "../sabletally").CombinedOutput(); err != nil {
		t.Fatalf("build of the balancer binary: %v: %s", err, text)
	}
	return path
}

// scaleCommand returns the command "testbed scale", with its temporary directories in tmp, and a buffer for its output.
func scaleCommand(tmp string, args ...string) (*exec.Cmd, *bytes.Buffer) {
	cmd := exec.Command(os.Args[0], append([]string{"scale"}, args...)...)
	cmd.Env = append(os.Environ(), "SABLELAB_CHILD=1", "TMPDIR="+tmp)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	return cmd, &out
}

// checkNothingLeft fails the test if a directory in tmp is left, or a process that was started with tmp as TMPDIR.
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

// TestScaleZoneLoss guards against balancers that miss changes, go back to an older version or do not recover when a zone of a hundred
// balancers and five control processes is lost. At the end all must be current and evenly spread. Timing targets are left out.
func TestScaleZoneLoss(t *testing.T) {
	t.Parallel()
	tmp := t.TempDir()
	figures := filepath.Join(t.TempDir(), "figures.json")
	cmd, out := scaleCommand(tmp, "--binary", buildBalancer(t), "--balancers", "100", "--control", "5", "--zones", "5", "--regions", "3", "--changes-per-day", "200000",
		"--burst", "50", "--for", "15s", "--seed", "5", "--faults", "zone", "--judge", "counts", "--json", figures)
	if err := cmd.Run(); err != nil {
		t.Fatalf("scale test failed: %v\n%s", err, out)
	}
	text, err := os.ReadFile(figures)
	if err != nil {
		t.Fatal(err)
	}
	var result scale.RunFigures
	if err := json.Unmarshal(text, &result); err != nil {
		t.Fatal(err)
	}
	// Each change was timed at each balancer outside the lost zone, and the twenty balancers of the zone returned.
	if result.Verdict != "verdict: kept" || result.MissedChanges != 0 || result.Samples < int64(result.Changes*80) ||
		result.Changes < 50 || result.ReturnedBalancers != 20 || result.ConvergenceAfterFaultsMs <= 0 {
		t.Errorf("unexpected figures: %s", text)
	}
	checkNothingLeft(t, tmp)
}

// TestInterruptedScaleLeavesNothing guards against processes and directories that remain after a scale test is interrupted.
func TestInterruptedScaleLeavesNothing(t *testing.T) {
	t.Parallel()
	tmp := t.TempDir()
	cmd, out := scaleCommand(tmp, "--binary", buildBalancer(t), "--balancers", "20", "--control", "3", "--for", "10m", "--judge", "counts")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	// Waits until a control process has written to its data directory
	for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if files, _ := filepath.Glob(filepath.Join(tmp, "*", "c0", "*")); len(files) > 0 {
			break
		}
		if time.Now().After(deadline) {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
			t.Fatalf("no control process has written to its data directory\n%s", out)
		}
	}
	_ = cmd.Process.Signal(syscall.SIGTERM)
	err := cmd.Wait()
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != exitFailure || !strings.Contains(out.String(), "verdict: not kept: partial: interrupted") {
		t.Errorf("interrupted scale test: unexpected exit code or verdict: %v\n%s", err, out)
	}
	checkNothingLeft(t, tmp)
}

// TestScaleRejectsBadArguments guards against errors that do not name the bad flag, and against exit codes other than 2.
func TestScaleRejectsBadArguments(t *testing.T) {
	for want, args := range map[string][]string{"--faults: \"rock\" is not a kind of faults": {"--faults", "rock"}, "--regions: 4 lies outside 1 to 3": {"--regions", "4"},
		"--binary: stat": {"--binary", "/nowhere"}, "--for: expected duration": {"--for", "3"}, "unknown flag --control-processes": {"--control-processes", "3"}} {
		cmd, out := scaleCommand(t.TempDir(), args...)
		err := cmd.Run()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() != exitBadInput || !strings.Contains(out.String(), want) {
			t.Errorf("%v: %v, wanted %q\n%s", args, err, want, out)
		}
	}
}
