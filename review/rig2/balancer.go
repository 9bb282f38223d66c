package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// object is a JSON object.
type object = map[string]any

// class returns the settings of one service class.
func class(name, effect, group string, goalMs, limitMs, windowMs int) object {
	return object{"Name": name, "Effect": effect, "Group": group, "LatencyGoalUs": goalMs * 1000, "OuterLimitUs": limitMs * 1000,
		"WindowUs": windowMs * 1000, "LateUtility": 0.0, "Stream": true, "Utility": 1.0}
}

// halls are the zones of the deployment albumce-istanbul.
var halls = []string{"hall-kartal", "hall-umraniye", "hall-esenyurt"}

// settings returns the settings of a small deployment, with the figures of albumce-istanbul, for the balancer of a hall.
func settings(hall int, classes []object) object {
	return object{
		"Areas": halls, "Zone": hall, "PeersTotal": 3, "Me": hall, "Tier": 0, "Tiers": []string{"feed-servers"},
		"Clients": object{"MarksRetry": true}, "ExcessUtility": 0.2, "Family": "conn", "Accounts": []object{{"AllowancePerS": 8.0, "Name": "circle-akcay", "Share": 1.0}},
		"Goal": object{"Whole": 0.55, "WorstClass": 0.0, "WorstTenant": 0.1, "WorstWindow": 0.35},
		"Guarantees": object{"AnswerSlackUs": 8000, "AskWithinUs": 10000000, "ColdFrom": 0.16, "ColdUs": 23000000, "DrainGraceUs": 750000,
			"FallMultiple": 3.0, "FallUs": 1500000},
		"Kinds": []string{"fast", "mid", "slow"},
		"Limits": object{"ConnIdleUs": 60000000, "ConnectTimeoutUs": 200000, "CpuUsPerRequest": 0.0, "CpuUsPerS": 800000, "MaxOpen": 1000000,
			"MaxRetryAfterUs": 1000000, "MayCancel": true, "MostSetupTries": 6, "Peers": false, "Probes": true, "RetryAfter": true,
			"SecondCopies": false, "StreamsPerConn": 1048576},
		"Prices": object{"CrossZone": 0.08, "LateFail": 0.08, "Moves": 0.026, "Probe": 0.0029, "Waste": 0.3}, "RegistryMode": "pushed",
		"Report": object{"Fields": []string{}, "How": "none"}, "ResolutionUs": 2000, "ServiceGrades": classes,
		"Specifics": object{"Groups": false, "Mode": "proxy", "ParkUs": 0, "MessageAimUs": []float64{250000}, "TellsDelay": false, "TellsLoad": false,
			"TenantQuotaConnections": []float64{614}},
		"UtilityBy": "request", "Weights": "rough",
	}
}

// balancer is one process of the project's program.
type balancer struct {
	rec    *recorder
	name   string
	listen string
	admin  string
	config string
	cmd    *exec.Cmd
	exited chan struct{}
	log    string
}

// options are what a balancer's process is started with.
type options struct {
	name      string
	dir       string // directory for its files
	tmp       string // TMPDIR
	listen    string
	admin     string
	discovery string
	known     list
	settings  object
	sockets   int      // limit of descriptors; 1024 if it is 0
	oneCore   bool     // the process runs on one core, as on the platform
	listener  *os.File // clients' listening socket that the platform holds, if any
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// runCommand returns the command of the deploy file that starts a balancer.
func runCommand() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	found := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if found == nil {
		return "", errors.New("deploy/balancer.toml has no run command")
	}
	return string(found[1]), nil
}

var (
	processesMu sync.Mutex
	processes   []*balancer
)

// startBalancer starts a balancer.
func startBalancer(rec *recorder, o options) (*balancer, error) {
	if o.sockets == 0 {
		o.sockets = 1024
	}
	command, err := runCommand()
	if err != nil {
		return nil, err
	}
	b := &balancer{rec: rec, name: o.name, listen: o.listen, admin: o.admin, exited: make(chan struct{}),
		config: filepath.Join(o.dir, o.name+".json"), log: filepath.Join(o.dir, o.name+".log")}
	config := object{"name": o.name, "listen": o.listen, "discovery": o.discovery, "mgmt": o.admin, "seed": "8c1f30d27a5be964",
		"limits": object{"cores": 1, "memory_mb": 192, "sockets": o.sockets}, "known": o.known, "settings": o.settings}
	text, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(b.config, text, 0o600); err != nil {
		return nil, err
	}
	logFile, err := os.OpenFile(b.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = logFile.Close() }()
	b.cmd = exec.Command("/bin/sh", "-c", command)
	b.cmd.Stdout, b.cmd.Stderr = logFile, logFile
	b.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "EDGE_CONFIG=" + b.config, "TMPDIR=" + o.tmp, "EDGE_NAME=" + o.name,
		"EDGE_LISTEN=" + o.listen, "EDGE_DISCOVERY=" + o.discovery, "EDGE_MGMT=" + o.admin}
	if o.listener != nil {
		null, err := os.Open(os.DevNull)
		if err != nil {
			return nil, err
		}
		defer func() { _ = null.Close() }()
		b.cmd.ExtraFiles = []*os.File{null, null, o.listener}
		b.cmd.Env = append(b.cmd.Env, "EDGE_ACCEPT_FD=5")
	}
	if o.oneCore {
		release := pinToOneCore()
		defer release()
	}
	if err := b.cmd.Start(); err != nil {
		return nil, err
	}
	processesMu.Lock()
	processes = append(processes, b)
	processesMu.Unlock()
	go func() {
		_ = b.cmd.Wait()
		close(b.exited)
	}()
	rec.add("started balancer %s", o.name)
	return b, nil
}

// signal sends a signal to the process.
func (b *balancer) signal(s syscall.Signal) {
	b.rec.add("%v to balancer %s", s, b.name)
	_ = b.cmd.Process.Signal(s)
}

// killAll ends all processes that were started.
func killAll() {
	processesMu.Lock()
	defer processesMu.Unlock()
	for _, b := range processes {
		_ = b.cmd.Process.Kill()
		<-b.exited
	}
}

// awaitPong waits until PING is answered with PONG.
func (b *balancer) awaitPong(within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		c, err := dialClient(b.rec, "ping", b.listen)
		if err != nil {
			continue
		}
		_, _ = c.conn.Write([]byte("PING\r\n"))
		text, err := c.line(time.Until(end))
		c.close()
		if err == nil && strings.HasPrefix(text, "PONG") {
			b.rec.add("balancer %s is ready", b.name)
			return nil
		}
	}
	return fmt.Errorf("balancer %s is not ready within %v", b.name, within)
}

// call makes a call at the operators' address.
func (b *balancer) call(method, path string) (int, string, error) {
	request, err := http.NewRequest(method, "http://"+b.admin+path, nil)
	if err != nil {
		return 0, "", err
	}
	request.Close = true
	response, err := (&http.Client{Timeout: 2 * time.Second}).Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, strings.TrimSpace(string(body)), nil
}
