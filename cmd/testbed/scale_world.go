// This file owns the processes of a scale test: the real control processes and those that hold hollow balancers. Both end with this one.

package main

import (
	"bufio"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"sabletally/internal/fleet"
	"sabletally/internal/fleet/boottime"
	"sabletally/internal/fleet/changefeed"
	"sabletally/internal/lab/cluster"
	"sabletally/internal/lab/emulator"
	"sabletally/internal/lab/scale"
)

const (
	scaleFleet    = "scale"
	foundedIn     = time.Minute
	handOverIn    = 15 * time.Second // an end as planned takes no longer, or the process is killed
	answerIn      = 20 * time.Second // a process of balancers
	perHost       = 300              // balancers in one process
	foundingMost  = 5                // control processes that are each other's seeds
	agreedIn      = 10 * time.Second
	mostFollowers = 10000 // that a file may allow
	pollEach      = 100 * time.Millisecond
	megabyte      = 1e6
)

// control is one control process.
type control struct {
	*cluster.Process
	Addr  netip.AddrPort // where it is reached
	place scale.Place

	mu        sync.Mutex
	before    int64 // bytes of lives that are over
	streams   int64 // and of the running one, when it was looked at last: read and written,
	datagrams int64 // and sent and heard beside that
}

// freeAddress takes an address that is free for datagrams and connections.
func freeAddress() (netip.AddrPort, error) {
	var last error
	for range 20 { // a port that is free for the one may be taken for the other
		ln, err := net.Listen("tcp", emulator.Loopback())
		if err != nil {
			return netip.AddrPort{}, err
		}
		addr := ln.Addr().(*net.TCPAddr).AddrPort()
		udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
		_ = ln.Close()
		if err == nil {
			_ = udp.Close()
			return addr, nil
		}
		last = err
	}
	return netip.AddrPort{}, last
}

// regionName and zoneName are what a place is called.
func regionName(p scale.Place) string { return fmt.Sprintf("region-%d", p.Region) }
func zoneName(p scale.Place) string   { return fmt.Sprintf("zone-%d", p.Zone) }

// newControls makes the control processes of a plan and writes their files; none is started. Where regions are to be cut off, fronts
// stand before them.
func newControls(p *scale.Plan, self, binary, dir string, log func(name string) io.Writer) (all []*control, fronts []*frontProcess, err error) {
	var listen []netip.AddrPort
	for _, place := range p.Control {
		addr, err := freeAddress()
		if err != nil {
			return nil, nil, err
		}
		all, listen = append(all, &control{Addr: addr, place: place}), append(listen, addr)
	}
	for region := range p.Regions {
		var here []int
		for i, c := range all {
			if c.place.Region == region {
				here = append(here, i)
			}
		}
		if p.Faults != scale.FaultsRegion || len(here) == 0 {
			continue
		}
		f, reached, err := startFronts(self, listen, here)
		if err != nil {
			return nil, fronts, err
		}
		fronts = append(fronts, f)
		for i, addr := range reached {
			all[i].Addr = addr
		}
	}
	var seeds []string
	for _, c := range all[:min(len(all), foundingMost)] {
		seeds = append(seeds, strconv.Quote(c.Addr.String()))
	}
	for i, c := range all {
		name := fmt.Sprintf("c%d", i)
		file := filepath.Join(dir, name+".hcl")
		text := fmt.Sprintf(`fleet %q {
  role      = "control"
  listen    = %q
  advertise = %q
  seeds     = [%s]
  data      = %q
  copies    = %d
  voters    = %d
  followers = %d
  machine   = %q
  zone      = %q
  site      = %q
}
`, scaleFleet, listen[i], c.Addr, strings.Join(seeds, ", "), filepath.Join(dir, name), min(3, len(all)), p.Voters, min(mostFollowers, p.Balancers+p.Balancers/4+16),
			"m-"+name, zoneName(c.place), regionName(c.place))
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return all, fronts, err
		}
		mgmt, err := freeAddress()
		if err != nil {
			return all, fronts, err
		}
		if c.Process, err = cluster.NewProcess(name, []string{binary, "fleet", "control", file, "--mgmt", mgmt.String()}, nil, dir, log(name)); err != nil {
			return all, fronts, err
		}
		c.AdminAddr = mgmt.String()
	}
	return all, fronts, nil
}

// runs tells whether its newest life goes on.
func (c *control) runs() bool {
	done := c.Exited()
	if done == nil {
		return false
	}
	select {
	case <-done:
		return false
	default:
		return true
	}
}

// used is the processor time of all lives.
func (c *control) used() time.Duration {
	before, _ := c.TotalUsage()
	if c.runs() {
		before += c.CPU()
	}
	return before
}

// meter reads how many bytes its running life has read and written so far, over connections and files alike, and with its own count of
// datagrams, which the former leave out.
func (c *control) meter() {
	if !c.runs() {
		return
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", c.Pid()))
	if err != nil {
		return
	}
	var n int64
	for line := range strings.Lines(string(text)) {
		for _, of := range []string{"rchar:", "wchar:"} {
			if rest, is := strings.CutPrefix(line, of); is {
				v, _ := strconv.ParseInt(strings.TrimSpace(rest), 10, 64)
				n += v
			}
		}
	}
	var datagrams int64
	if r, err := c.Fleet(); err == nil {
		datagrams = r.Sent + r.Received
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams, c.datagrams = n, max(c.datagrams, datagrams)
}

// lifeOver keeps what the life that ended has read and written.
func (c *control) lifeOver() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.before, c.streams, c.datagrams = c.before+c.streams+c.datagrams, 0, 0
}

func (c *control) bytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.before + c.streams + c.datagrams
}

// kill ends it outright.
func (c *control) kill() {
	c.meter()
	c.Kill()
	c.lifeOver()
}

// end ends it as planned.
func (c *control) end() {
	c.meter()
	_ = c.Signal(syscall.SIGTERM)
	select {
	case <-c.Exited():
	case <-time.After(handOverIn):
		c.Kill()
	}
	c.lifeOver()
}

// founded waits until all control processes see each other and have agreed on that.
func founded(ctx context.Context, all []*control) error {
	for end := time.Now().Add(foundedIn); ; {
		var last error
		for _, c := range all {
			if !c.runs() {
				return fmt.Errorf("control process %s ended at its start: %s", c.Name, c.LogTail())
			}
			switch r, err := c.Fleet(); {
			case err != nil:
				last = err
			case r.Alive != len(all) || r.Store == nil || r.Store.ID == "" || r.Store.Members != len(all):
				last = fmt.Errorf("control process %s: %s, %d of %d here, %+v", c.Name, r.Standing, r.Alive, len(all), r.Store)
			}
			if last != nil {
				break
			}
		}
		if last == nil {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("no fleet of control processes within %v: %w", foundedIn, last)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollEach):
		}
	}
}

// hollowProcess is one process of hollow balancers, which may be started anew.
type hollowProcess struct {
	self  string // this binary
	begin hollowBegin
	told  func(h *hollowProcess, marks []hollowMark)

	mu      sync.Mutex
	cmd     *exec.Cmd
	in      io.Closer
	orders  *gob.Encoder
	looks   map[int]chan *hollowLook
	done    chan struct{} // closed once all that it told is taken
	fault   error
	last    *hollowLook // of the running life
	before  *hollowLook // sums of lives that are over
	planned bool        // its end is wanted
}

// start starts it; every balancer is down.
func (h *hollowProcess) start() error {
	cmd := exec.Command(h.self, "hollow")
	cmd.Stderr = os.Stderr
	// Killed with this process as well, should it not notice that its standard input is closed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	in, err := cmd.StdinPipe()
	if err != nil {
		return err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("hollow balancers: %w", err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cmd, h.in, h.orders, h.looks, h.done, h.last, h.planned = cmd, in, gob.NewEncoder(in), map[int]chan *hollowLook{}, make(chan struct{}), nil, false
	if h.before == nil {
		h.before = newLook(0)
	}
	go h.listen(gob.NewDecoder(bufio.NewReader(out)), h.done)
	return h.orders.Encode(hollowOrder{Begin: &h.begin})
}

func (h *hollowProcess) listen(told *gob.Decoder, done chan struct{}) {
	defer close(done)
	for {
		var t hollowTold
		if err := told.Decode(&t); err != nil || t.Error != "" {
			h.mu.Lock()
			if !h.planned && h.fault == nil {
				h.fault = fmt.Errorf("hollow balancers ended: %w", errors.Join(err, errors.New(t.Error)))
			}
			h.mu.Unlock()
			return
		}
		if len(t.Marks) > 0 {
			h.told(h, t.Marks)
		}
		if t.Look != nil {
			h.mu.Lock()
			h.last = t.Look
			if c := h.looks[t.Look.Number]; c != nil {
				c <- t.Look
				delete(h.looks, t.Look.Number)
			}
			h.mu.Unlock()
		}
	}
}

// order passes one on.
func (h *hollowProcess) order(o hollowOrder) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.orders == nil {
		return nil // it is away
	}
	return h.orders.Encode(o)
}

// look asks for its balancers' states and waits; what is away answers with the sums of its lives.
func (h *hollowProcess) look(number int, final bool) (*hollowLook, error) {
	all := newLook(number)
	h.mu.Lock()
	all.add(h.before)
	if h.orders == nil || h.planned {
		h.mu.Unlock()
		return all, nil
	}
	answer, done := make(chan *hollowLook, 1), h.done
	h.looks[number] = answer
	err := h.orders.Encode(hollowOrder{Look: number, Final: final})
	h.mu.Unlock()
	if err == nil {
		select {
		case l := <-answer:
			all.add(l)
			return all, nil
		case <-done:
			err = errors.New("hollow balancers ended")
		case <-time.After(answerIn):
			err = fmt.Errorf("hollow balancers did not answer within %v", answerIn)
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.planned { // killed meanwhile, as planned
		return all, nil
	}
	return all, errors.Join(err, h.fault)
}

// pid is the running process, 0 where there is none.
func (h *hollowProcess) pid() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return 0
	}
	return h.cmd.Process.Pid
}

// stop ends it: outright, or by closing its standard input. All that it told is taken.
func (h *hollowProcess) stop(outright bool) {
	h.mu.Lock()
	cmd, done := h.cmd, h.done
	if cmd == nil {
		h.mu.Unlock()
		return
	}
	h.planned = true
	if outright {
		_ = cmd.Process.Kill()
	}
	_ = h.in.Close()
	h.mu.Unlock()
	select {
	case <-done:
	case <-time.After(answerIn):
		_ = cmd.Process.Kill()
		<-done
	}
	_ = cmd.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.last != nil {
		last := *h.last
		last.CPU = cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
		last.Up, last.Current, last.States, last.Relays, last.Finals = 0, 0, nil, nil, nil
		h.before.add(&last)
	}
	h.cmd, h.orders, h.last = nil, nil, nil
	for i := range h.begin.All {
		h.begin.All[i].Life += 1000 // above all that it may have had
	}
}

// residentMB is the memory that a process holds.
func residentMB(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseFloat(fields[1], 64)
	return pages * float64(os.Getpagesize()) / megabyte
}

// machineMemory is what this machine has and what is free now.
func machineMemory() (total, available float64, err error) {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, 0, err
	}
	for line := range strings.Lines(string(text)) {
		f := strings.Fields(line)
		if len(f) < 2 {
			continue
		}
		kb, _ := strconv.ParseFloat(f[1], 64)
		switch f[0] {
		case "MemTotal:":
			total = kb * 1024 / megabyte
		case "MemAvailable:":
			available = kb * 1024 / megabyte
		}
	}
	return total, available, nil
}

// scaleWorld is all processes of a run.
type scaleWorld struct {
	plan    *scale.Plan
	dir     string
	control []*control
	fronts  []*frontProcess
	hosts   []*hollowProcess
	of      [][]int // balancers by host

	mu     sync.Mutex
	ledger *scale.Ledger
	looked int
}

func newScaleWorld(p *scale.Plan, hosts [][]int, self, binary, logs string, ledger *scale.Ledger) (w *scaleWorld, err error) {
	w = &scaleWorld{plan: p, of: hosts, ledger: ledger}
	if w.dir, err = os.MkdirTemp("", "testbed-scale"); err != nil {
		return nil, err
	}
	log := func(string) io.Writer { return nil }
	if logs != "" {
		if err := os.MkdirAll(logs, 0o755); err != nil {
			return w, err
		}
		log = func(name string) io.Writer {
			f, err := os.Create(filepath.Join(logs, name+".log"))
			if err != nil {
				return nil
			}
			return f // closed with this process
		}
	}
	if w.control, w.fronts, err = newControls(p, self, binary, w.dir, log); err != nil {
		return w, err
	}
	for _, c := range w.control {
		if err := c.Launch(); err != nil {
			return w, err
		}
	}
	return w, nil
}

// seeds are all control processes.
func (w *scaleWorld) seeds() (all []netip.AddrPort) {
	for _, c := range w.control {
		all = append(all, c.Addr)
	}
	return all
}

// open starts the processes of balancers, and has all balancers come at once.
func (w *scaleWorld) open(self string) error {
	for n, part := range w.of {
		h := &hollowProcess{self: self, told: w.told, begin: hollowBegin{Fleet: scaleFleet, Seeds: w.seeds(), Seed: w.plan.Seed*1_000_003 + uint64(n)}}
		for _, b := range part {
			place := w.plan.Balancer[b]
			h.begin.All = append(h.begin.All, hollowOne{Index: b, Name: fmt.Sprintf("b%d", b), Machine: fmt.Sprintf("m-b%d", b), Zone: zoneName(place), Site: regionName(place)})
		}
		w.hosts = append(w.hosts, h)
		if err := h.start(); err != nil {
			return err
		}
	}
	for i, h := range w.hosts {
		if err := h.order(hollowOrder{Up: w.of[i]}); err != nil {
			return err
		}
	}
	return nil
}

// told books what balancers tell.
func (w *scaleWorld) told(_ *hollowProcess, marks []hollowMark) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range marks {
		switch m.What {
		case markUp:
			w.ledger.Up(m.Who, m.At)
		case markDown:
			w.ledger.Down(m.Who, m.At)
		case markApplied:
			w.ledger.Applied(m.Who, m.Version, m.At)
		}
	}
}

// look asks all processes of balancers at once.
func (w *scaleWorld) look(final bool) (*hollowLook, error) {
	w.mu.Lock()
	w.looked++
	number := w.looked
	w.mu.Unlock()
	looks, errs := make([]*hollowLook, len(w.hosts)), make([]error, len(w.hosts))
	var all sync.WaitGroup
	for i, h := range w.hosts {
		all.Go(func() { looks[i], errs[i] = h.look(number, final) })
	}
	all.Wait()
	sum := newLook(number)
	for _, l := range looks {
		sum.add(l)
	}
	return sum, errors.Join(errs...)
}

// spread is how balancers' connections lie over the control processes that run.
func (w *scaleWorld) spread(l *hollowLook) scale.Spread {
	var n []int
	for _, c := range w.control {
		if c.runs() {
			n = append(n, l.Relays[c.Addr.String()])
		}
	}
	return scale.NewSpread(n)
}

// step carries one out; it returns once that is done.
func (w *scaleWorld) step(s scale.Step) error {
	var all sync.WaitGroup
	errs := make([]error, len(s.Who))
	each := func(f func(c *control) error) {
		for i, who := range s.Who {
			all.Go(func() { errs[i] = f(w.control[who]) })
		}
		all.Wait()
	}
	switch s.Action {
	case scale.Kill:
		each(func(c *control) error { c.kill(); return nil })
	case scale.End:
		each(func(c *control) error { c.end(); return nil })
	case scale.Start:
		each(func(c *control) error {
			select { // one that ends as planned may still be at it
			case <-c.Exited():
			case <-time.After(handOverIn + time.Second):
				return fmt.Errorf("control process %s does not end", c.Name)
			}
			return c.Launch()
		})
	case scale.Cut, scale.Heal:
		var off []int
		if s.Action == scale.Cut {
			off = s.Who
		}
		errs = make([]error, len(w.fronts))
		for i, f := range w.fronts {
			all.Go(func() { _, errs[i] = f.order(frontOrder{Cut: off}) })
		}
		all.Wait()
	case scale.Down, scale.Up:
		in := map[int]bool{}
		for _, b := range s.Who {
			in[b] = true
		}
		for i, h := range w.hosts {
			var mine []int
			for _, b := range w.of[i] {
				if in[b] {
					mine = append(mine, b)
				}
			}
			if len(mine) == 0 {
				continue
			}
			o := hollowOrder{Down: mine}
			if s.Action == scale.Up {
				o = hollowOrder{Up: mine}
			}
			if err := h.order(o); err != nil {
				return err
			}
		}
	case scale.ZoneOff, scale.ZoneOn:
		errs = make([]error, len(w.hosts))
		for i, h := range w.hosts {
			if w.plan.Balancer[w.of[i][0]].Zone != s.Who[0] {
				continue
			}
			all.Go(func() {
				if s.Action == scale.ZoneOn {
					if errs[i] = h.start(); errs[i] == nil {
						errs[i] = h.order(hollowOrder{Up: w.of[i]})
					}
					return
				}
				w.mu.Lock()
				number := w.looked + 1
				w.looked = number
				w.mu.Unlock()
				_, _ = h.look(number, false) // what they told so far counts
				now := boottime.Now()
				h.stop(true)
				w.mu.Lock()
				defer w.mu.Unlock()
				for _, b := range w.of[i] {
					w.ledger.Down(b, now)
				}
			})
		}
		all.Wait()
	default:
		return fmt.Errorf("%q is no step", s.Action)
	}
	return errors.Join(errs...)
}

// memory is what each process of one kind holds, in MB.
func (w *scaleWorld) memory() (balancers float64, control []float64, all float64) {
	for _, h := range w.hosts {
		if pid := h.pid(); pid > 0 {
			balancers += residentMB(pid)
		}
	}
	all = balancers + residentMB(os.Getpid())
	for _, f := range w.fronts {
		all += residentMB(f.cmd.Process.Pid)
	}
	for _, c := range w.control {
		m := 0.0
		if c.runs() {
			m = residentMB(c.Pid())
		}
		control = append(control, m)
		all += m
	}
	return balancers, control, all
}

// close ends all processes and removes their directories.
func (w *scaleWorld) close() {
	var all sync.WaitGroup
	for _, h := range w.hosts {
		all.Go(func() { h.stop(false) })
	}
	for _, c := range w.control {
		if c.Process == nil {
			continue
		}
		all.Go(func() {
			if c.Exited() != nil {
				c.Kill()
			}
		})
	}
	all.Wait()
	for _, f := range w.fronts {
		f.close()
	}
	if w.dir != "" {
		_ = os.RemoveAll(w.dir)
	}
}

// openFiles is how many descriptors a process may have.
func openFiles() (int, error) {
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil {
		return 0, err
	}
	return int(min(l.Cur, 1<<30)), nil
}

// whole tells whether all control processes run, see each other, are members of the epoch and have a version; "" if so, else who does not.
func (w *scaleWorld) whole(version uint64) string {
	not := make([]string, len(w.control))
	var all sync.WaitGroup
	for i, c := range w.control {
		all.Go(func() {
			r, err := c.Fleet()
			switch {
			case !c.runs():
				not[i] = c.Name + " does not run"
			case err != nil:
				not[i] = err.Error()
			case r.Alive != len(w.control) || r.Store == nil || r.Store.Members != len(w.control):
				not[i] = fmt.Sprintf("%s sees %d control processes here", c.Name, r.Alive)
			case r.Publisher == nil || r.Publisher.Version < version || r.Publisher.Age < 0 || r.Publisher.Age > changefeed.DefaultLease.Seconds():
				not[i] = c.Name + " is not current"
			}
		})
	}
	all.Wait()
	return strings.Join(slices.DeleteFunc(not, func(s string) bool { return s == "" }), ", ")
}

// agreed is what all control processes that run have, once that is the same.
func (w *scaleWorld) agreed() (s hollowState, err error) {
	for end := time.Now().Add(agreedIn); ; time.Sleep(pollEach) {
		states := map[hollowState]string{}
		for _, c := range w.control {
			if !c.runs() {
				continue
			}
			var r fleet.Report
			if r, err = c.Fleet(); err != nil {
				break
			}
			s = controlState(&r)
			states[s] = c.Name
		}
		if err == nil && len(states) == 1 {
			return s, nil
		}
		if time.Now().After(end) {
			return s, errors.Join(err, fmt.Errorf("control processes have not the same within %v: %v", agreedIn, states))
		}
	}
}
