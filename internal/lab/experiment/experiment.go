// Package experiment reads experiment files. It defines their format and units, and reports errors in them by file, line and column.
// It must never run an experiment.
package experiment

import (
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"

	"sabletally/internal/hclconfig"
	"sabletally/internal/lab/topology"
)

// Modes of an experiment.
const (
	Sockets = "sockets" // emulators and balancer processes that communicate over sockets, in real time
	Virtual = "virtual" // a simulation in virtual time
)

// Limits of what one machine can run.
const (
	maxSocketBalancers  = 16
	maxSocketServers    = 200
	maxSocketClients    = 20000
	maxVirtualBalancers = 10000
	maxVirtualServers   = 5000
	maxVirtualClients   = 2000000
	maxLength           = time.Hour
	maxSeeds            = 100
)

// BrokenModes are the names of the deliberate faults of the reference balancer, by which the checker is tested.
var BrokenModes = []string{"answers-twice", "sends-to-drained", "two-tries", "never-answers"}

// Arm is one of the programs or policies that an experiment compares.
type Arm struct {
	Name   string
	Policy string          // policy of the reference balancer or of the simulation; "" if the arm is a binary
	Binary string          // path of the balancer program, on sockets; "" means the one beside the testbed
	Broken string          // deliberate fault of the reference balancer, on sockets
	Env    []string        // additional environment variables of its balancers, as NAME=VALUE
	Limits topology.Limits // resource limits of its balancers; those of the world unless the file sets others
}

// Experiment is the content of an experiment file.
type Experiment struct {
	Name  string
	Title string
	Mode  string // Sockets or Virtual
	Seeds []uint64
	World topology.World
	Arms  []Arm
}

// reader reads one file and collects the errors in it.
type reader struct {
	*hclconfig.Reader
	experiment *Experiment
	length     time.Duration // length of each run
}

// Load reads an experiment file. The error is hclconfig.Diagnostics if its content is invalid.
func Load(path string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(text, path)
}

// Parse parses the text of an experiment file; path is the file's name in messages. Errors are hclconfig.Diagnostics.
func Parse(text []byte, path string) (*Experiment, error) {
	name := strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	r := &reader{Reader: &hclconfig.Reader{}, experiment: &Experiment{Name: name}, length: maxLength}
	body := r.Parse(text, path)
	if body == nil {
		return nil, r.Diagnostics
	}
	top := r.Block("the file", body, hclconfig.FileStart(path), "",
		hcl.BlockHeaderSchema{Type: "experiment"},
		hcl.BlockHeaderSchema{Type: "world"},
		hcl.BlockHeaderSchema{Type: "load"},
		hcl.BlockHeaderSchema{Type: "fault", LabelNames: []string{"kind"}},
		hcl.BlockHeaderSchema{Type: "arm", LabelNames: []string{"name"}})
	r.readAll(top)
	if err := r.Err(); err != nil {
		return nil, err
	}
	return r.experiment, nil
}

// readAll reads all blocks of the file.
func (r *reader) readAll(top *hclconfig.Block) {
	header := top.Single("experiment", true)
	world := top.Single("world", true)
	load := top.Single("load", true)
	if header != nil {
		r.readHeader(header)
	}
	if world != nil {
		r.readWorld(world)
	}
	if load != nil {
		r.readLoad(load)
	}
	for _, fault := range top.Blocks["fault"] {
		r.readFault(fault)
	}
	for _, arm := range top.Blocks["arm"] {
		r.readArm(arm)
	}
	if len(r.experiment.Arms) == 0 {
		r.addDefaultArm()
	}
}

// readHeader reads the block "experiment".
func (r *reader) readHeader(in *hcl.Block) {
	b := r.Block("experiment", in.Body, in.DefRange, "title mode length seeds")
	b.Require("mode", "length")
	x := r.experiment
	x.Title = b.String("title", x.Name)
	x.Mode = b.String("mode", Sockets, Sockets, Virtual)
	x.Seeds = b.UintList("seeds", []uint64{1}, maxSeeds)
	r.length = b.Duration("length", 30*time.Second, time.Second, maxLength)
}

// isVirtual reports whether the experiment runs in virtual time.
func (r *reader) isVirtual() bool { return r.experiment.Mode == Virtual }

// limit returns the limit that applies to the mode of the experiment.
func (r *reader) limit(sockets, virtual int) int {
	if r.experiment.Mode == Sockets {
		return sockets
	}
	return virtual
}
