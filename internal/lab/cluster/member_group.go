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
	lookEach = 20 * time.Millisecond
	meetIn   = 30 * time.Second
	seedsOf  = 3 // members that are everybody's seeds
)

// Band is the fleet of a world.
type Band struct {
	Ties *emulator.Ties
	dir  string
	all  []*Process
	More string // of each member's file, behind the block,
	Less string // and within it
}

// NewBand makes the ways between so many members, whose files and directories lie in dir.
func NewBand(many int, dir string, seed uint64) (*Band, error) {
	t, err := emulator.NewTies(many, seed)
	if err != nil {
		return nil, err
	}
	return &Band{Ties: t, dir: dir, all: make([]*Process, many)}, nil
}

// Enlist makes a process a member from its next start on; it needs an operators' address. Each is on a machine of its own, and the
// machines are dealt out to zones in turn.
func (b *Band) Enlist(i, copies, zones int, p *Process) error {
	if p.Mgmt == "" {
		if err := p.Operate(); err != nil {
			return err
		}
	}
	b.all[i] = p
	seeds := make([]string, 0, seedsOf)
	for s := range min(seedsOf, len(b.all)) {
		seeds = append(seeds, fmt.Sprintf("%q", b.Ties.Reached(s)))
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
%s`, b.Ties.Listen(i), b.Ties.Reached(i), strings.Join(seeds, ", "), b.Data(i), copies, i, Zone(i%max(zones, 1)), b.Less, b.More)
	file := filepath.Join(b.dir, fmt.Sprintf("fleet-%d.hcl", i))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	p.env = append(p.env[:len(p.env):len(p.env)], "SABLETALLY_FLEET="+file)
	return nil
}

// Data is a member's directory.
func (b *Band) Data(i int) string { return filepath.Join(b.dir, fmt.Sprintf("data-%d", i)) }

// Lose ends a member outright and deletes its directory: the machine is lost with its disk.
func (b *Band) Lose(i int) error {
	b.all[i].Kill()
	return os.RemoveAll(b.Data(i))
}

// set has the ways between some members and the others be as a step says.
func (b *Band) set(band uint64, as faults.Tie) {
	b.Ties.Set(func(from, to int, tie *emulator.Tie) {
		out, in := band>>from&1 == 1, band>>to&1 == 1
		if out != in && (out && as.Out || in && as.In) {
			*tie = emulator.Tie{Cut: as.Cut, Loss: as.Loss, Late: as.Late, Mixed: as.Mixed}
		}
	})
}

// meet waits until all members that run see each other, once nothing is between them any more: a fleet that stays apart
// is a fault of the program's, whatever clients saw of it.
func (f *Field) meet() error {
	f.band.Ties.Set(func(_, _ int, tie *emulator.Tie) { *tie = emulator.Tie{} })
	var run []int
	for i, p := range f.Procs {
		select {
		case <-p.Exited():
		default:
			_ = p.Signal(syscall.SIGCONT)
			run = append(run, i)
		}
	}
	return f.band.Until("all members that run see each other", meetIn, run, Together(len(run)))
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

// Until waits until every member told says of itself what is wanted, within a bound.
func (b *Band) Until(what string, within time.Duration, members []int, is func(fleet.Report) bool) error {
	for end := time.Now().Add(within); ; time.Sleep(lookEach) {
		var last string
		for _, i := range members {
			if r, err := b.all[i].Fleet(); err != nil {
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

// Together is that a member sees so many here, itself among them, and takes what it knows for true.
func Together(many int) func(fleet.Report) bool {
	return func(r fleet.Report) bool { return r.Standing == "together" && r.Alive == many }
}

// Sees is how a member sees another, by its name; empty where it knows none of that name.
func Sees(r fleet.Report, name string) (state string) {
	for _, o := range r.Others {
		if o.Name == name && o.ReportedBy == "" {
			state = o.State
		}
	}
	return state
}

// Close ends the ways.
func (b *Band) Close() { b.Ties.Close() }
