// Command review-rig drives the cases of an independent review: it starts balancers by the command of the deploy file, plays clients,
// servers, discovery, the front and the platform round them, and judges what these have seen.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// rig is what all cases share: the record, the temporary folder and the processes that it has started.
type rig struct {
	mu      sync.Mutex
	record  *os.File
	start   time.Time
	dir     string // temporary folder, removed at the end
	root    string // root of the repository
	command string // the deploy file's run
	trouble bool
	procs   []*process
	servers []*server
	agent   *agent
}

// cantRun ends a case that could not run.
type cantRun struct{ why string }

func (r *rig) fail(format string, args ...any) { panic(cantRun{fmt.Sprintf(format, args...)}) }

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

var cases = map[string]func(r *rig) (broken string){}

// limit is when a case is given up; the scripts may run for 120 s.
const limit = 100 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		_, _ = fmt.Fprintln(os.Stderr, "usage: review-rig CASE FOLDER")
		os.Exit(2)
	}
	runtime.LockOSThread() // the processes end with the thread that started them
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) (code int) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return 2
	}
	r := &rig{record: record, start: time.Now(), trouble: os.Getenv("TROUBLE") != "0"}
	finish := func(code int, verdict string) int {
		r.note("%s", verdict)
		fmt.Println(verdict)
		return code
	}
	defer r.end()
	defer func() {
		p := recover()
		if why, is := p.(cantRun); is {
			code = finish(2, "could not run: "+why.why)
		} else if p != nil {
			panic(p)
		}
	}()
	go func() {
		stopped := make(chan os.Signal, 1)
		signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
		select {
		case <-stopped:
		case <-time.After(limit):
		}
		r.end()
		os.Exit(finish(2, "could not run: out of time"))
	}()
	r.prepare()
	r.note("case %s, trouble %v", name, r.trouble)
	if broken := cases[name](r); broken != "" {
		return finish(1, "broken: "+broken)
	}
	return finish(0, "held")
}

func (r *rig) prepare() {
	var err error
	parent := ""
	if len(os.TempDir()) > 40 { // the path of a Unix socket is short
		parent = "/tmp"
	}
	if r.dir, err = os.MkdirTemp(parent, "rv"); err != nil {
		r.fail("%v", err)
	}
	if r.root, err = os.Getwd(); err != nil {
		r.fail("%v", err)
	}
	text, err := os.ReadFile(filepath.Join(r.root, "deploy/balancer.toml"))
	if err != nil {
		r.fail("%v", err)
	}
	found := regexp.MustCompile(`(?m)^run = "(.*?)"`).FindSubmatch(text)
	if found == nil {
		r.fail("the deploy file has no run")
	}
	r.command = string(found[1])
}

func (r *rig) end() {
	r.mu.Lock()
	procs := r.procs
	r.procs = nil
	r.mu.Unlock()
	for _, p := range procs {
		p.kill()
	}
	if r.dir != "" {
		_ = os.RemoveAll(r.dir)
	}
}

// freeAddress returns a loopback address on which nothing listens now.
func (r *rig) freeAddress() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.fail("%v", err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// process is a program under test.
type process struct {
	r      *rig
	name   string
	cmd    *exec.Cmd
	mgmt   string
	exited chan struct{}
	err    error
}

// launch starts the deploy file's run, or another command line, with an environment. files become the descriptors 3, 4, ...
func (r *rig) launch(name, command string, env []string, files ...*os.File) *process {
	log, err := os.Create(filepath.Join(r.dir, name+".log"))
	if err != nil {
		r.fail("%v", err)
	}
	p := &process{r: r, name: name, exited: make(chan struct{})}
	p.cmd = exec.Command("/bin/sh", "-c", command)
	p.cmd.Dir = r.root
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	p.cmd.ExtraFiles = files
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		r.fail("start %s: %v", name, err)
	}
	r.mu.Lock()
	r.procs = append(r.procs, p)
	r.mu.Unlock()
	r.note("%s: started", name)
	go func() {
		p.err = p.cmd.Wait()
		_ = log.Close()
		r.note("%s: ended, %v", name, p.cmd.ProcessState)
		close(p.exited)
	}()
	return p
}

func (p *process) signal(s syscall.Signal) {
	p.r.note("%s: gets %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// waitListening waits until the process listens on its operators' address, without a call.
func (p *process) waitListening(within time.Duration) {
	for end := time.Now().Add(within); ; time.Sleep(10 * time.Millisecond) {
		conn, err := net.DialTimeout("tcp", p.mgmt, time.Second)
		if err == nil {
			_ = conn.Close()
			p.r.note("%s: listens", p.name)
			return
		}
		if p.hasExited() || time.Now().After(end) {
			p.keepLog()
			p.r.fail("%s does not listen", p.name)
		}
	}
}

func (p *process) kill() {
	select {
	case <-p.exited:
		return
	default:
	}
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.exited
}

func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// keepLog copies a process's log to the record.
func (p *process) keepLog() {
	text, _ := os.ReadFile(filepath.Join(p.r.dir, p.name+".log"))
	for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		p.r.note("%s log: %s", p.name, line)
	}
}

// call makes an operators' call; status is 0 if there was no answer within a second.
func (p *process) call(method, path string) (status int, body string) {
	request, _ := http.NewRequest(method, "http://"+p.mgmt+path, nil)
	request.Close = true
	response, err := (&http.Client{Timeout: time.Second}).Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, strings.TrimSpace(string(text))
}

// waitReady polls an operators' address as the platform does, until it says yes.
func (p *process) waitReady(interval, within time.Duration) {
	for end := time.Now().Add(within); ; time.Sleep(interval) {
		status, body := p.call("GET", "/control/ready")
		if status == 200 {
			p.r.note("%s: ready says %d %s", p.name, status, body)
			return
		}
		if p.hasExited() || time.Now().After(end) {
			p.keepLog()
			p.r.fail("%s is not ready: %d %s", p.name, status, body)
		}
	}
}

// server is a stand-in server: it answers OPEN by UP and each further line by that line.
type server struct {
	r        *rig
	uid      string
	listener net.Listener
	// onOpen, if not nil, is called with each OPEN in place of the answer UP.
	onOpen func(s *server, c net.Conn, line string)
	state  string
}

func (r *rig) serve(uid string) *server {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.fail("%v", err)
	}
	s := &server{r: r, uid: uid, listener: ln, state: "in_service"}
	r.servers = append(r.servers, s)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.handle(c)
		}
	}()
	return s
}

func (s *server) handle(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	opened := false
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		answer := line
		switch {
		case opened:
		case line == "PING\r\n":
			answer = "PONG\r\n"
		case strings.HasPrefix(line, "OPEN "):
			opened = true
			s.r.note("server %s: got %s", s.uid, strings.TrimSpace(line))
			if s.onOpen != nil {
				s.onOpen(s, c, line)
				continue
			}
			answer = "UP " + s.uid + "\r\n"
		default:
			answer = "SYNTAX\r\n"
		}
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
	}
}

// client is a stand-in client.
type client struct {
	r    *rig
	name string
	conn net.Conn
	in   *bufio.Reader

	mu     sync.Mutex
	moved  time.Time // when MOVE came
	ended  time.Time // when the connection ended
	how    string    // how it ended
	echoes int       // lines that came back
}

func (r *rig) connect(name, address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{r: r, name: name, conn: conn, in: bufio.NewReader(conn)}, nil
}

// request sends OPEN and returns the answer.
func (c *client) request(open string, wait time.Duration) (string, error) {
	if _, err := io.WriteString(c.conn, open); err != nil {
		return "", err
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(wait))
	line, err := c.in.ReadString('\n')
	_ = c.conn.SetReadDeadline(time.Time{})
	c.r.note("client %s: sent %s, got %s (%v)", c.name, strings.TrimSpace(open), strings.TrimSpace(line), err)
	return line, err
}

// chat sends a line every two seconds and records what comes back, until the connection ends or MOVE comes.
func (c *client) chat() {
	stop := make(chan struct{})
	go func() {
		for n := 0; ; n++ {
			if _, err := fmt.Fprintf(c.conn, "M %s %d\r\n", c.name, n); err != nil {
				return
			}
			select {
			case <-stop:
				return
			case <-time.After(2 * time.Second):
			}
		}
	}()
	go func() {
		defer close(stop)
		defer func() { _ = c.conn.Close() }()
		for {
			line, err := c.in.ReadString('\n')
			c.mu.Lock()
			switch {
			case err != nil:
				c.ended, c.how = time.Now(), err.Error()
				if errors.Is(err, io.EOF) {
					c.how = "closed"
				}
			case line == "MOVE\r\n":
				c.moved = time.Now()
			default:
				c.echoes++
			}
			c.mu.Unlock()
			if err != nil || line == "MOVE\r\n" {
				c.r.note("client %s: %s %v", c.name, strings.TrimSpace(line), err)
				return
			}
		}
	}()
}

// isHeld reports whether the balancer has neither moved the client nor ended its connection.
func (c *client) isHeld() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.moved.IsZero() && c.ended.IsZero()
}

func (c *client) isCutOff() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.moved.IsZero() && !c.ended.IsZero()
}

// ping asks on a new connection whether the balancer takes clients, as the front does. It returns "" if no answer came.
func (r *rig) ping(address string) string {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return ""
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	_, _ = io.WriteString(conn, "PING\r\n")
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(line)
}
