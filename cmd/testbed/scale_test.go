package main

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"sabletally/internal/lab/emulator"
	"sabletally/internal/lab/scale"
)

// told is a follower that a test moves.
type toldFollower struct {
	one     hollowOne
	applied func(uint64)
	is      followerStatus
	has     map[string][]byte
}

func (f *toldFollower) Status() followerStatus        { return f.is }
func (f *toldFollower) Get(key string) ([]byte, bool) { v, is := f.has[key]; return v, is }
func (f *toldFollower) Close()                        {}
func (f *toldFollower) takes(version, digest uint64) {
	f.is.Version, f.is.Digest = version, digest
	f.applied(version)
}
func marksOf(told []hollowTold) (marks []hollowMark) {
	for _, t := range told {
		marks = append(marks, t.Marks...)
	}
	return marks
}

// TestHollowBalancersTellTheirLives gives orders over a pipe, as the test's own process does, and reads what is told.
func TestHollowBalancersTellTheirLives(t *testing.T) {
	orderIn, orderOut := io.Pipe()
	toldIn, toldOut := io.Pipe()
	defer func() { _ = orderOut.Close() }()
	opened := make(chan *toldFollower, 10)
	h := &hollows{out: gob.NewEncoder(toldOut), open: func(_ *hollowBegin, one hollowOne, applied func(uint64)) client {
		f := &toldFollower{one: one, applied: applied}
		f.is.Current, f.is.Publishers, f.is.Sent, f.is.Stats.Snapshots = true, []string{"a", "b"}, 10, 1
		opened <- f
		return f
	}}
	ended := make(chan error, 1)
	go func() { ended <- h.run(gob.NewDecoder(orderIn)) }()
	orders, from := gob.NewEncoder(orderOut), gob.NewDecoder(toldIn)
	var told []hollowTold
	order := func(o hollowOrder) {
		t.Helper()
		if err := orders.Encode(o); err != nil {
			t.Fatal(err)
		}
	}
	look := func(number int) *hollowLook {
		t.Helper()
		order(hollowOrder{Look: number, Final: true})
		for {
			var one hollowTold
			if err := from.Decode(&one); err != nil {
				t.Fatal(err)
			}
			told = append(told, one)
			if one.Look != nil {
				if one.Look.Number != number {
					t.Fatalf("look %d answered as %d", number, one.Look.Number)
				}
				return one.Look
			}
		}
	}
	order(hollowOrder{Begin: &hollowBegin{Fleet: "f", All: []hollowOne{{Index: 4, Name: "b4"}, {Index: 7, Name: "b7"}}}})
	order(hollowOrder{Up: []int{4, 7}})
	four, seven := <-opened, <-opened
	four.takes(5, 50)
	seven.takes(5, 50)
	seven.takes(6, 60)
	l := look(1)
	if l.Up != 2 || l.Current != 2 || l.States[hollowState{5, 50}] != 1 || l.States[hollowState{6, 60}] != 1 || l.Relays["a"] != 2 || l.Sent != 20 ||
		l.Finals[7].Version != 6 || l.CPU <= 0 {
		t.Errorf("%+v", l)
	}
	order(hollowOrder{Down: []int{7}})
	if l = look(2); l.Up != 1 || l.Relays["a"] != 1 || l.Sent != 20 || l.Snapshots != 2 {
		t.Errorf("%+v", l) // sums go on
	}
	seven.applied(9) // of a life that is over
	order(hollowOrder{Up: []int{7}})
	again := <-opened
	if again.one.Life != 2 || four.one.Life != 1 {
		t.Errorf("lives %d and %d", again.one.Life, four.one.Life)
	}
	again.takes(7, 70)
	if l = look(3); l.Up != 2 || l.Sent != 30 || l.States[hollowState{7, 70}] != 1 {
		t.Errorf("%+v", l)
	}
	var got []hollowMark
	for _, m := range marksOf(told) {
		if m.At <= 0 {
			t.Errorf("%+v", m)
		}
		m.At = 0
		got = append(got, m)
	}
	want := []hollowMark{{Who: 4, What: markUp}, {Who: 7, What: markUp}, {Who: 4, What: markApplied, Version: 5}, {Who: 7, What: markApplied, Version: 5},
		{Who: 7, What: markApplied, Version: 6}, {Who: 7, What: markDown}, {Who: 7, What: markUp}, {Who: 7, What: markApplied, Version: 7}}
	if !slices.Equal(got, want) {
		t.Errorf("told %v\nwanted %v", got, want)
	}
	_ = orderOut.Close()
	if err := <-ended; err != nil {
		t.Errorf("at the end of its orders: %v", err)
	}
}

// TestValuesAreHeldAgainstWhatWasPut: a value that is missing, another's or cut short is seen.
func TestValuesAreHeldAgainstWhatWasPut(t *testing.T) {
	has := map[string][]byte{settingKey(0): settingValue(3, scale.Change{Due: 5, Bytes: 100}), settingKey(1): settingValue(4, scale.Change{Due: 6, Bytes: 300})}
	get := func(key string) ([]byte, bool) { v, is := has[key]; return v, is }
	whole := valuesOf(get)
	if len(has[settingKey(0)]) != 100 || len(has[settingKey(1)]) != 300 || !json.Valid(has[settingKey(1)]) || whole != valuesOf(get) {
		t.Fatal(has)
	}
	one := has[settingKey(1)]
	for _, other := range [][]byte{nil, one[:299], has[settingKey(0)], settingValue(5, scale.Change{Due: 6, Bytes: 300})} {
		if has[settingKey(1)] = other; valuesOf(get) == whole {
			t.Errorf("%q passes for %q", other, one)
		}
	}
	if delete(has, settingKey(1)); valuesOf(get) == whole {
		t.Error("a value that is missing passes")
	}
}

// TestFrontsStandInAProcess starts one, as a scale test does, and has it cut a way and heal it.
func TestFrontsStandInAProcess(t *testing.T) {
	t.Setenv("SABLELAB_CHILD", "1")
	var members []netip.AddrPort
	for range 2 {
		ln, err := net.Listen("tcp", emulator.Loopback())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = ln.Close() }()
		members = append(members, ln.Addr().(*net.TCPAddr).AddrPort())
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				go func() {
					defer func() { _ = c.Close() }()
					_, _ = io.Copy(c, c)
				}()
			}
		}()
	}
	p, reached, err := startForwarders(os.Args[0], members, []int{0})
	if err != nil {
		t.Fatal(err)
	}
	defer p.close()
	// From the other member's address, which a front knows it by.
	c, err := (&net.Dialer{LocalAddr: &net.TCPAddr{IP: members[1].Addr().AsSlice()}}).Dial("tcp", reached[0].String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	says := func(text string, within time.Duration) error {
		_, _ = io.WriteString(c, text)
		_ = c.SetReadDeadline(time.Now().Add(within))
		_, err := io.ReadFull(c, make([]byte, len(text)))
		return err
	}
	if err := says("one", 10*time.Second); err != nil {
		t.Fatal(err)
	}
	if _, err := p.order(frontOrder{Cut: []int{0}}); err != nil {
		t.Fatal(err)
	}
	if err := says("two", 100*time.Millisecond); err == nil {
		t.Error("the way is not cut")
	}
	if _, err := p.order(frontOrder{}); err != nil {
		t.Fatal(err)
	}
	if err := says("three", 10*time.Second); err != nil { // "two" and a half of it: what was held back comes first
		t.Errorf("the way is not healed: %v", err)
	}
	p.close()
	if c, err := net.Dial("tcp", reached[0].String()); err == nil {
		_ = c.Close()
		t.Error("a front stands after its process")
	}
}

// program builds the balancer.
func program(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "sabletally")
	if text, err := exec.Command("go", "build", "-o", path, "../sabletally").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	return path
}

// scaled is this program at a scale test, with directories in tmp.
func scaled(tmp string, args ...string) (*exec.Cmd, *bytes.Buffer) {
	cmd := exec.Command(os.Args[0], append([]string{"scale"}, args...)...)
	cmd.Env = append(os.Environ(), "SABLELAB_CHILD=1", "TMPDIR="+tmp)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	return cmd, &out
}

// nothingLeft wants no directory left, and none of the processes, which all were told that place.
func nothingLeft(t *testing.T, tmp string) {
	t.Helper()
	if left, err := os.ReadDir(tmp); err != nil || len(left) > 0 {
		t.Errorf("left behind: %v, %v", left, err)
	}
	all, _ := filepath.Glob("/proc/[0-9]*/environ")
	for _, name := range all {
		if text, err := os.ReadFile(name); err == nil && strings.Contains(string(text), "TMPDIR="+tmp+"\x00") {
			line, _ := os.ReadFile(filepath.Join(filepath.Dir(name), "cmdline"))
			t.Errorf("%s runs on: %q", name, line)
		}
	}
}

// TestScaleTwin is the scale test, small: a hundred balancers, five control processes, the loss of a zone. It is judged by counts and
// order alone: everything that could be reached has everything, nobody went back, all are current and evenly spread in the end.
func TestScaleTwin(t *testing.T) {
	t.Parallel()
	tmp := t.TempDir()
	figures := filepath.Join(t.TempDir(), "figures.json")
	cmd, out := scaled(tmp, "--binary", program(t), "--balancers", "100", "--control", "5", "--zones", "5", "--regions", "3", "--changes-per-day", "200000",
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
	// Each change at each balancer was timed; a zone's twenty came back.
	if f.Verdict != "verdict: kept" || f.Missed != 0 || f.Samples < int64(f.Changes*80) || f.Changes < 50 || f.Returned != 20 || f.SteadyAfter <= 0 {
		t.Errorf("%s", text)
	}
	nothingLeft(t, tmp)
}

// TestAScaleTestThatIsEndedLeavesNothing ends one while it goes on.
func TestAScaleTestThatIsEndedLeavesNothing(t *testing.T) {
	t.Parallel()
	tmp := t.TempDir()
	cmd, out := scaled(tmp, "--binary", program(t), "--balancers", "20", "--control", "3", "--for", "10m", "--judge", "counts")
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
			t.Fatalf("nothing begins\n%s", out)
		}
	}
	_ = cmd.Process.Signal(syscall.SIGTERM)
	err := cmd.Wait()
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != exitFailure || !strings.Contains(out.String(), "verdict: not kept: partial: interrupted") {
		t.Errorf("%v\n%s", err, out)
	}
	nothingLeft(t, tmp)
}

// TestBadArgumentsOfScale wants each named, and exit code 2.
func TestBadArgumentsOfScale(t *testing.T) {
	for want, args := range map[string][]string{"--faults: \"rock\" is none": {"--faults", "rock"}, "--regions: 4 lies outside 1 to 3": {"--regions", "4"},
		"--binary: stat": {"--binary", "/nowhere"}, "--for: expected duration": {"--for", "3"}, "unknown flag --control-processes": {"--control-processes", "3"}} {
		cmd, out := scaled(t.TempDir(), args...)
		err := cmd.Run()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() != exitBadFile || !strings.Contains(out.String(), want) {
			t.Errorf("%v: %v, wanted %q\n%s", args, err, want, out)
		}
	}
}
