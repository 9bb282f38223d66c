// This file owns what balancers have that are members of a fleet: the ways between them, their files and directories, and
// what is asked of them about each other.

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
	seedCount     = 3 // members that are everybody's seeds
)

// MemberGroup is the fleet of a world.
type MemberGroup struct {
	Links         *emulator.MemberLinks
	dir           string
	processes     []*Process
	ExtraBlocks   string // of each member's file, behind the block,
	ExtraSettings string // and within it
}

// NewMemberGroup makes the ways between so many members, whose files and directories lie in dir.
func NewMemberGroup(many int, dir string, seed uint64) (*MemberGroup, error) {
	t, err := emulator.NewMemberLinks(many, seed)
	if err != nil {
		return nil, err
	}
	return &MemberGroup{Links: t, dir: dir, processes: make([]*Process, many)}, nil
}

// Add makes a process a member from its next start on; it needs an operators' address. Each is on a machine of its own, and the
// machines are dealt out to zones in turn.
func (b *MemberGroup) Add(i, copies, zones int, p *Process) error {
	if p.AdminAddr == "" {
		if err := p.EnableAdmin(); err != nil {
			return err
		}
	}
	b.processes[i] = p
	seeds := make([]string, 0, seedCount)
	for s := range min(seedCount, len(b.processes)) {
		seeds = append(seeds, fmt.Sprintf("%q", b.Links.Advertised(s)))
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
%s`, b.Links.Listen(i), b.Links.Advertised(i), strings.Join(seeds, ", "), b.DataDir(i), copies, i, ZoneName(i%max(zones, 1)), b.ExtraSettings, b.ExtraBlocks)
	file := filepath.Join(b.dir, fmt.Sprintf("fleet-%d.hcl", i))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	p.env = append(p.env[:len(p.env):len(p.env)], "SABLETALLY_FLEET="+file)
	return nil
}

// DataDir is a member's directory.
func (b *MemberGroup) DataDir(i int) string { return filepath.Join(b.dir, fmt.Sprintf("data-%d", i)) }

// LoseMachine ends a member outright and deletes its directory: the machine is lost with its disk.
func (b *MemberGroup) LoseMachine(i int) error {
	b.processes[i].Kill()
	return os.RemoveAll(b.DataDir(i))
}

// set has the ways between some members and the others be as a step says.
func (b *MemberGroup) set(band uint64, as faults.MemberLink) {
	b.Links.Set(func(from, to int, tie *emulator.MemberLink) {
		out, in := band>>from&1 == 1, band>>to&1 == 1
		if out != in && (out && as.Out || in && as.In) {
			*tie = emulator.MemberLink{Cut: as.Cut, Loss: as.Loss, Delay: as.Delay, Duplicated: as.Duplicated}
		}
	})
}

// waitForQuorum waits until all members that run see each other, once nothing is between them any more: a fleet that stays apart
// is a fault of the program's, whatever clients saw of it.
func (c *Cluster) waitForQuorum() error {
	c.members.Links.Set(func(_, _ int, tie *emulator.MemberLink) { *tie = emulator.MemberLink{} })
	var run []int
	for i, p := range c.Processes {
		select {
		case <-p.Exited():
		default:
			_ = p.Signal(syscall.SIGCONT)
			run = append(run, i)
		}
	}
	return c.members.WaitUntil("all members that run see each other", quorumTimeout, run, SeesQuorumOf(len(run)))
}

// Fleet asks a member how it sees the others.
func (p *Process) Fleet() (r fleet.Report, err error) {
	code, text, err := p.Call(http.MethodGet, "/control/fleet")
	if err != nil {
		return r, err
	}
	if code != http.StatusOK {
		return r, fmt.Errorf("balancer %s: %d %s", p.Name, code, text)
	}
	err = json.Unmarshal([]byte(text), &r)
	return r, err
}

// WaitUntil waits until the reports of the members given fulfil a condition, within a bound.
func (b *MemberGroup) WaitUntil(what string, within time.Duration, members []int, is func(fleet.Report) bool) error {
	for end := time.Now().Add(within); ; time.Sleep(pollInterval) {
		var last string
		for _, i := range members {
			if r, err := b.processes[i].Fleet(); err != nil {
				last += fmt.Sprintf("\n%d: %v", i, err)
			} else if !is(r) {
				last += fmt.Sprintf("\n%d: %s, %d here:", i, r.Standing, r.Alive)
				for _, o := range r.Others {
					last += fmt.Sprintf(" %s %s", o.Name, o.State)
				}
			}
		}
		if last == "" {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("fleet: not within %v: %s%s", within, what, last)
		}
	}
}

// SeesQuorumOf is that a member sees so many here, itself among them, and takes what it knows for true.
func SeesQuorumOf(many int) func(fleet.Report) bool {
	return func(r fleet.Report) bool { return r.Standing == "together" && r.Alive == many }
}

// MemberState is how a member sees another, by its name; empty where it knows none of that name.
func MemberState(r fleet.Report, name string) (state string) {
	for _, o := range r.Others {
		if o.Name == name && o.ReplacedBy == "" {
			state = o.State
		}
	}
	return state
}

// Close ends the ways.
func (b *MemberGroup) Close() { b.Links.Close() }
