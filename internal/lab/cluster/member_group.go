// This file provides what balancers need as members of a fleet: the emulated links between them, their configuration files and data
// directories, and queries about how they see each other.

package cluster

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"sabletally/internal/fleet"
	"sabletally/internal/lab/emulator"
	"sabletally/internal/lab/faults"
)

const (
	pollInterval  = 20 * time.Millisecond
	quorumTimeout = 30 * time.Second
	seedCount     = 3 // number of members that all members have as their seeds
)

// MemberGroup is the fleet that the balancers of a world form.
type MemberGroup struct {
	Links         *emulator.MemberLinks
	dir           string     // directory of the members' configuration files and data directories
	processes     []*Process // newest process of each member
	ExtraBlocks   string     // appended to each member's file, after the block "fleet"
	ExtraSettings string     // appended to the block "fleet" of each member's file
}

// NewMemberGroup creates the links between a number of members, whose files and data directories are in dir.
func NewMemberGroup(count int, dir string, seed uint64) (*MemberGroup, error) {
	links, err := emulator.NewMemberLinks(count, seed)
	if err != nil {
		return nil, err
	}
	return &MemberGroup{Links: links, dir: dir, processes: make([]*Process, count)}, nil
}

// Add makes a process member i of the fleet from its next start on, and gives it an admin address if it has none. Each member is on
// a machine of its own, and the machines are assigned to the zones in turn.
func (g *MemberGroup) Add(i, replicationFactor, zones int, p *Process) error {
	if p.AdminAddr == "" {
		if err := p.EnableAdmin(); err != nil {
			return err
		}
	}
	g.processes[i] = p
	seeds := make([]string, 0, seedCount)
	for s := range min(seedCount, len(g.processes)) {
		seeds = append(seeds, fmt.Sprintf("%q", g.Links.Advertised(s)))
	}
	text := fmt.Sprintf(`fleet "lab" {
  listen    = %q
  advertise = %q
  seeds     = [%s]
  data      = %q
  copies    = %d
  machine   = "m%d"
  zone      = %q
  site      = "s"

  repair_after = "2s"
  %s
}
%s`, g.Links.Listen(i), g.Links.Advertised(i), strings.Join(seeds, ", "), g.DataDir(i), replicationFactor, i, ZoneName(i%max(zones, 1)), g.ExtraSettings, g.ExtraBlocks)
	file := filepath.Join(g.dir, fmt.Sprintf("fleet-%d.hcl", i))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	p.env = append(p.env[:len(p.env):len(p.env)], "SABLETALLY_FLEET="+file)
	return nil
}

// DataDir returns the data directory of a member.
func (g *MemberGroup) DataDir(i int) string { return filepath.Join(g.dir, fmt.Sprintf("data-%d", i)) }

// LoseMachine kills a member and deletes its data directory, as if its machine were lost with its disk.
func (g *MemberGroup) LoseMachine(i int) error {
	g.processes[i].Kill()
	return os.RemoveAll(g.DataDir(i))
}

// setLinks sets the condition of the links between some members and all others. members has a bit for each of the former.
func (g *MemberGroup) setLinks(members uint64, condition faults.MemberLink) {
	g.Links.Set(func(from, to int, link *emulator.MemberLink) {
		out, in := members>>from&1 == 1, members>>to&1 == 1
		if out != in && (out && condition.Out || in && condition.In) {
			*link = emulator.MemberLink{Cut: condition.Cut, Loss: condition.Loss, Delay: condition.Delay, Duplicated: condition.Duplicated}
		}
	})
}

// waitForQuorum restores all links between members, continues suspended members and waits until all running ones see each other. A
// fleet that stays partitioned on healthy links is a fault of the program, even if no client noticed it.
func (c *Cluster) waitForQuorum() error {
	c.members.Links.Set(func(_, _ int, link *emulator.MemberLink) { *link = emulator.MemberLink{} })
	var running []int
	for i, p := range c.Processes {
		select {
		case <-p.Exited():
		default:
			_ = p.Signal(syscall.SIGCONT)
			running = append(running, i)
		}
	}
	return c.members.WaitUntil("all running members see each other", quorumTimeout, running, SeesQuorumOf(len(running)))
}

// Fleet gets a member's report about the fleet from its admin address.
func (p *Process) Fleet() (r fleet.Report, err error) {
	code, text, err := p.Call(http.MethodGet, "/control/fleet")
	if err != nil {
		return r, err
	}
	if code != http.StatusOK {
		return r, fmt.Errorf("balancer %s: GET /control/fleet: status %d: %s", p.Name, code, text)
	}
	err = json.Unmarshal([]byte(text), &r)
	return r, err
}

// WaitUntil waits until the reports of all given members fulfill a condition, which what describes. It fails with the last reports
// that do not, once timeout has passed.
func (g *MemberGroup) WaitUntil(what string, timeout time.Duration, members []int, isFulfilled func(fleet.Report) bool) error {
	for end := time.Now().Add(timeout); ; time.Sleep(pollInterval) {
		var last string
		for _, i := range members {
			if r, err := g.processes[i].Fleet(); err != nil {
				last += fmt.Sprintf("\nmember %d: %v", i, err)
			} else if !isFulfilled(r) {
				last += fmt.Sprintf("\nmember %d: standing %q, %d members alive, others:", i, r.Standing, r.Alive)
				for _, o := range r.Others {
					last += fmt.Sprintf(" %s %s", o.Name, o.State)
				}
			}
		}
		if last == "" {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("fleet: timeout after %v of waiting until %s:%s", timeout, what, last)
		}
	}
}

// SeesQuorumOf returns a condition for WaitUntil: a member sees exactly count members alive, itself among them, and is together with
// a quorum, so that it acts on what it knows.
func SeesQuorumOf(count int) func(fleet.Report) bool {
	return func(r fleet.Report) bool { return r.Standing == "together" && r.Alive == count }
}

// MemberState returns the state that a report gives for the member with a name, or "" if the report has no such
// member, or only one that was replaced.
func MemberState(r fleet.Report, name string) (state string) {
	for _, o := range r.Others {
		if o.Name == name && o.ReplacedBy == "" {
			state = o.State
		}
	}
	return state
}

// Close ends the links between the members.
func (g *MemberGroup) Close() { g.Links.Close() }
