// Package cluster runs worlds on sockets: it sets up the emulators, starts balancers as separate processes, carries out the fault
// schedule, and collects events and figures. It must never check rules, and must control balancers only by the means that an operator
// has: configuration, signals and the admin address.
//
// This file starts, queries and ends the balancers' processes.
package cluster

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"sabletally/internal/lab/emulator"
	"sabletally/internal/lab/topology"
	"sabletally/policy"
)

const (
	readyTimeout = 10 * time.Second
	maxLogTail   = 64 << 10 // bytes of a balancer's newest log that are kept for error messages
	pingInterval = 5 * time.Millisecond
)

// Process is one balancer, which can be started repeatedly with the same name and address.
type Process struct {
	Name    string
	Addr    string // the address that clients connect to
	command []string
	env     []string
	config  string // path of the configuration file
	log     io.Writer

	AdminAddr string   // the address for operators, "" if it has none
	shared    *os.File // listening socket that its processes inherit, nil if each opens its own
	tmp       string   // TMPDIR of all its processes if they inherit the socket

	CPUs int // number of this machine's CPUs that the process is bound to; 0: not bound

	mu     sync.Mutex
	cmd    *exec.Cmd     // the newest run
	exited chan struct{} // closed once the newest run has ended
	tail   []byte        // the end of the log
	err    error         // error with which the newest run ended; nil for exit status 0
	cpu    time.Duration // CPU time of all runs that have ended
	rss    int64         // maximum resident memory of all runs that have ended, in KiB
}

// NewProcess returns a balancer that is run by a command. Its configuration file is in dir; its log is written to out as well, unless
// out is nil.
func NewProcess(name string, command, env []string, dir string, out io.Writer) (*Process, error) {
	// The listener reserves a free address. It is closed again before the process opens the address.
	ln, err := net.Listen("tcp", emulator.Loopback())
	if err != nil {
		return nil, err
	}
	defer func() { _ = ln.Close() }()
	if out == nil {
		out = io.Discard
	}
	return &Process{Name: name, Addr: ln.Addr().String(), command: command, env: env, config: filepath.Join(dir, name+".json"), log: out}, nil
}

// EnableAdmin gives the balancer an admin address from its next start on.
func (p *Process) EnableAdmin() error {
	ln, err := net.Listen("tcp", emulator.Loopback())
	if err != nil {
		return err
	}
	p.AdminAddr = ln.Addr().String()
	p.env = append(p.env[:len(p.env):len(p.env)], "EDGE_MGMT="+p.AdminAddr)
	return ln.Close()
}

// Call sends a request to the balancer's admin address and returns the status code and the body of the response.
func (p *Process) Call(method, path string) (int, string, error) {
	req, err := http.NewRequest(method, "http://"+p.AdminAddr+path, nil)
	if err != nil {
		return 0, "", err
	}
	req.Close = true
	r, err := (&http.Client{Timeout: readyTimeout}).Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = r.Body.Close() }()
	text, err := io.ReadAll(r.Body)
	return r.StatusCode, string(text), err
}

// WaitReady waits until the balancer reports at its admin address that it is ready.
func (p *Process) WaitReady() error {
	for end := time.Now().Add(readyTimeout); ; time.Sleep(pingInterval) {
		if code, _, err := p.Call(http.MethodGet, "/control/ready"); err == nil && code == http.StatusOK {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("balancer %s did not report that it is ready within %v; end of its log: %s", p.Name, readyTimeout, p.LogTail())
		}
	}
}

// ShareListener opens the balancer's listening socket, which each of its processes inherits, and creates a TMPDIR for all of them. It
// uses a new address: the one reserved by NewProcess may still be open in a child process that another test is starting.
func (p *Process) ShareListener() error {
	ln, err := net.Listen("tcp", emulator.Loopback())
	if err != nil {
		return err
	}
	defer func() { _ = ln.Close() }()
	p.Addr = ln.Addr().String()
	if p.shared, err = ln.(*net.TCPListener).File(); err != nil {
		return err
	}
	if p.tmp, err = os.MkdirTemp("", "up"); err != nil {
		return err
	}
	p.env = append(p.env, "EDGE_ACCEPT_FD=3", "TMPDIR="+p.tmp)
	return nil
}

// UnshareListener closes the socket and removes the directory that ShareListener created, if it was called.
func (p *Process) UnshareListener() {
	if p.shared != nil {
		_ = p.shared.Close()
		_ = os.RemoveAll(p.tmp)
	}
}

// Successor returns another process of the same balancer, with the same name, address and configuration, but with an admin address
// of its own.
func (p *Process) Successor() (*Process, error) {
	q := &Process{Name: p.Name, Addr: p.Addr, command: p.command, env: slices.Clone(p.env), config: p.config,
		log: p.log, CPUs: p.CPUs, shared: p.shared, tmp: p.tmp}
	return q, q.EnableAdmin()
}

// WriteConfig replaces the balancer's configuration file atomically.
func (p *Process) WriteConfig(config []byte) error {
	if err := os.WriteFile(p.config+".new", config, 0o600); err != nil {
		return err
	}
	return os.Rename(p.config+".new", p.config)
}

// Start starts the process and waits until it answers that it is ready.
func (p *Process) Start() error {
	if err := p.Launch(); err != nil {
		return err
	}
	for end := time.Now().Add(readyTimeout); ; {
		select {
		case <-p.Exited():
			return fmt.Errorf("balancer %s ended during its start; end of its log: %s", p.Name, p.LogTail())
		default:
		}
		if answersPing(p.Addr) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("balancer %s was not ready within %v; end of its log: %s", p.Name, readyTimeout, p.LogTail())
		}
		time.Sleep(pingInterval)
	}
}

// Launch starts the process without waiting until it is ready.
func (p *Process) Launch() error {
	cmd := exec.Command(p.command[0], p.command[1:]...)
	cmd.Env = append(append(os.Environ(), "EDGE_CONFIG="+p.config, "EDGE_NAME="+p.Name, "EDGE_LISTEN="+p.Addr), p.env...)
	if p.shared != nil {
		cmd.ExtraFiles = []*os.File{p.shared}
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := p.startBound(cmd); err != nil {
		return fmt.Errorf("starting balancer %s: %w", p.Name, err)
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.mu.Unlock()
	go func() {
		for lines := bufio.NewReader(out); ; {
			text, err := lines.ReadBytes('\n')
			_, _ = p.log.Write(text)
			p.mu.Lock()
			p.tail = append(p.tail, text...)
			p.tail = p.tail[max(0, len(p.tail)-maxLogTail):]
			p.mu.Unlock()
			if err != nil {
				break
			}
		}
		err := cmd.Wait()
		p.mu.Lock()
		p.err = err
		p.cpu += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
		if u, ok := cmd.ProcessState.SysUsage().(*syscall.Rusage); ok {
			p.rss = max(p.rss, u.Maxrss)
		}
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

// startBound starts a command. If the process is to be bound to CPUs, the calling thread is bound to them for that time, as a child
// inherits the binding of the thread that starts it.
func (p *Process) startBound(cmd *exec.Cmd) error {
	if p.CPUs == 0 {
		return cmd.Start()
	}
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var previous, selected unix.CPUSet
	if err := unix.SchedGetaffinity(0, &previous); err != nil {
		return err
	}
	for i, n := 0, 0; i < 1024 && n < p.CPUs; i++ {
		if previous.IsSet(i) {
			selected.Set(i)
			n++
		}
	}
	if err := unix.SchedSetaffinity(0, &selected); err != nil {
		return err
	}
	defer func() { _ = unix.SchedSetaffinity(0, &previous) }()
	return cmd.Start()
}

// answersPing reports whether a balancer answers PING with PONG, by which a load balancer in front of it learns that it is ready.
func answersPing(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.WriteString(c, "PING\r\n")
	text, err := bufio.NewReader(c).ReadString('\n')
	return err == nil && text == "PONG\r\n"
}

// LogTail returns the end of the balancer's log.
func (p *Process) LogTail() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.TrimSpace(string(p.tail))
}

// Signal sends a signal to the newest run. It is no error if that has ended, or if there was none.
func (p *Process) Signal(sig syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	if err := p.cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

// Pid returns the process id of the newest run.
func (p *Process) Pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// Exited returns a channel that is closed once the newest run has ended. It is nil before the first run.
func (p *Process) Exited() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// Err returns the error with which the newest run ended: nil if it exited with status 0, or has not ended.
func (p *Process) Err() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// Kill kills the newest run and waits for its end.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	if done := p.Exited(); done != nil {
		<-done
	}
}

// TotalUsage returns the CPU time of all runs that have ended, and the maximum resident memory of any of them in MiB.
func (p *Process) TotalUsage() (cpu time.Duration, mb float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cpu, float64(p.rss) / 1024
}

// CPU returns the CPU time that the running process has used so far, 0 if it is unknown.
func (p *Process) CPU() time.Duration {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(fields) < 13 {
		return 0
	}
	var user, sys int64
	_, _ = fmt.Sscan(fields[11], &user)
	_, _ = fmt.Sscan(fields[12], &sys)
	return time.Duration(user+sys) * time.Second / 100
}

// RSS returns the resident memory of the running process in KiB, 0 if it is unknown.
func (p *Process) RSS() int64 {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil {
		return 0
	}
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	for _, line := range strings.Split(string(text), "\n") {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			var kb int64
			_, _ = fmt.Sscan(rest, &kb)
			return kb
		}
	}
	return 0
}

// idempotencyNames and keyScopeNames are the values of "Effect" and "Group" in a balancer's configuration.
var idempotencyNames = map[policy.Idempotency]string{policy.Idempotent: "read_like", policy.IdempotentWithKey: "idempotency_key", policy.NonIdempotent: "non_idempotent"}
var keyScopeNames = map[policy.KeyScope]string{policy.KeyScopeAll: "all", policy.KeyScopeZone: "zone", policy.KeyScopeFailureDomain: "cell"}

// BalancerConfig returns the configuration file of one balancer of a world.
func BalancerConfig(w *topology.World, num int, listen, discovery string, seed uint64, known json.RawMessage) []byte {
	d := &w.Deployment
	us := func(t time.Duration) int64 { return t.Microseconds() }
	var classes []map[string]any
	var messageObjectives []float64
	for i, class := range d.Classes {
		classes = append(classes, map[string]any{"Name": w.ClassNames[i], "Effect": idempotencyNames[class.Idempotency], "Group": keyScopeNames[class.KeyScope],
			"WindowUs": us(class.KeyTTL), "LatencyGoalUs": us(class.SetupObjective), "OuterLimitUs": us(w.Deadlines[i]), "Utility": class.PriorityWeight})
		messageObjectives = append(messageObjectives, float64(us(w.MessageObjective)))
	}
	var zones []string
	for z := range w.Zones {
		zones = append(zones, ZoneName(z))
	}
	report := map[string]any{"How": "none", "Fields": []string{}}
	if d.HasLoadReports {
		report = map[string]any{"How": "probe", "Fields": []string{"x0", "x1"}}
	}
	text, err := json.MarshalIndent(map[string]any{
		"name": fmt.Sprintf("n%d", num), "listen": listen, "discovery": discovery, "seed": fmt.Sprintf("%016x", seed),
		"limits": map[string]any{"cores": w.Limits.Cores, "memory_mb": w.Limits.MemoryMB, "sockets": w.Limits.Sockets},
		"known":  known,
		"settings": map[string]any{
			"PeersTotal": w.Balancers, "Zone": num % w.Zones, "Areas": zones, "RegistryMode": "pushed", "ServiceGrades": classes, "Accounts": []any{},
			"Guarantees": map[string]any{"ColdFrom": d.SlowStartFloor, "ColdUs": us(d.SlowStartWindow), "DrainGraceUs": us(w.DrainGrace),
				"FallMultiple": d.OverloadMultiple, "FallUs": us(d.OverloadWindow)},
			"Limits": map[string]any{"ConnectTimeoutUs": us(w.ConnectTimeout), "MostSetupTries": d.MaxAttempts,
				"MaxRetryAfterUs": us(d.MaxRetryAfter), "RetryAfter": d.CanSendRetryAfter, "Probes": d.CanHealthCheck},
			"Prices": map[string]any{"CrossZone": d.CrossZoneCost}, "Report": report,
			"Specifics": map[string]any{"Groups": w.Load.Groups > 0, "MessageAimUs": messageObjectives, "Mode": "proxy"},
		},
	}, "", "  ")
	if err != nil {
		panic(err) // cannot happen: plain values, and a list that the testbed has encoded itself
	}
	return text
}

// ZoneName returns the name of a zone.
func ZoneName(z int) string { return fmt.Sprintf("zone-%c", 'a'+z%26) }
