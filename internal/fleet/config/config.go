// Package config owns the fleet's file: what an operator tells one member of the others, and what is wrong with the file, by
// file, line and column. It must never open what the file names, and never guess what is missing: a member that takes itself
// for another's neighbour, or for on a machine of its own, would promise what it can't keep.
package config

import (
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"

	"sabletally/internal/hclconfig"
)

// Bounds of what a file may tell.
const (
	MaxMembers  = 1024 // of one fleet
	mostSeeds   = MaxMembers
	mostGrades  = 64
	mostCopies  = 7
	longestName = 64 // bytes; names go with every word about a member
	mostFollows = 10000
)

// Roles.
const (
	RoleMember   = ""         // a balancer that is a full member: a file without a role
	RoleControl  = "control"  // a process set aside, which balancers follow
	RoleBalancer = "balancer" // a balancer that follows control processes, and is no member
)

// File is what one member is told.
type File struct {
	Role              string
	FleetName         string         // whose words are heard; those of any other fleet are a stranger's
	Listen            netip.AddrPort // TCP and UDP, members only
	Advertise         netip.AddrPort // where the others reach it; Listen where the file tells none
	Seeds             []netip.AddrPort
	DataDir           string        // a directory of this member's own, absolute
	ReplicationFactor int           // holders of each record
	Machine           string        // what is lost together with this process,
	Zone              string        // then what is lost together with the machine,
	Site              string        // and with the zone
	ForgetAfter       time.Duration // a member that is gone for longer is shown no more
	ListFreshTTL      time.Duration // a held list of servers is used up to this age,
	ListStaleTTL      time.Duration // and its servers are asked one by one up to this
	RepairAfter       time.Duration // what one held that is gone for so long is copied anew
	Voters            int           // members that agree on who holds what
	MaxRecords        int           // held here at most,
	MaxBytes          int           // and of keys and values together
	MaxFollowers      int           // that a control process takes at most
	IdempotentClasses []Class       // grades whose circuits are held for others before they go to a server
}

// Class is a service grade's name, and where it stands.
type Class struct {
	Name string
	at   hcl.Range
}

// CheckClasses tells which grades that the file names are none of a deployment's: nil if all are.
func (f *File) CheckClasses(grades map[string]int) error {
	r := &hclconfig.Reader{}
	for _, g := range f.IdempotentClasses {
		if _, is := grades[g.Name]; !is {
			r.At(g.at, "grades: %q is no grade of the settings", g.Name)
		}
	}
	return r.Err()
}

// Read reads a file; the error is blocks.Faults where its content is wrong.
func Read(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(text, path)
}

// Parse reads a file's text; path is its name in messages.
func Parse(text []byte, path string) (*File, error) {
	r := &hclconfig.Reader{}
	body := r.File(text, path)
	if body == nil {
		return nil, r.Faults
	}
	top := r.Open("the file", body, hclconfig.Start(path), "", hcl.BlockHeaderSchema{Type: "fleet", LabelNames: []string{"name"}},
		hcl.BlockHeaderSchema{Type: "hold", LabelNames: []string{"kind"}})
	f := &File{}
	if in := top.Only("fleet", true); in != nil {
		f.read(r, in)
	}
	for _, in := range top.In["hold"] {
		if f.Role == RoleControl {
			r.At(in.DefRange, "hold: role %q runs no circuits", RoleControl)
		}
		if in.Labels[0] != "intents" {
			r.At(in.LabelRanges[0], "hold %q is none; there is \"intents\"", in.Labels[0])
			continue
		}
		if len(f.IdempotentClasses) > 0 {
			r.At(in.DefRange, "a second hold \"intents\"")
		}
		b := r.Open("hold", in.Body, in.DefRange, "grades")
		b.Must("grades")
		grades, places := b.Texts("grades", mostGrades)
		for i, g := range grades {
			f.IdempotentClasses = append(f.IdempotentClasses, Class{g, places[i]})
		}
	}
	if err := r.Err(); err != nil {
		return nil, err
	}
	return f, nil
}

func (f *File) read(r *hclconfig.Reader, in *hcl.Block) {
	b := r.Open("fleet", in.Body, in.DefRange, "role listen advertise seeds data copies machine zone site gone_after repair_after voters records megabytes list_young list_old followers")
	f.Role = b.Text("role", RoleMember, RoleControl, RoleBalancer)
	b.Must("seeds", "data", "machine", "zone", "site")
	for _, what := range notIn[f.Role] {
		if b.Has(what) {
			r.At(b.At(what), "%s: %s", what, map[string]string{RoleMember: `only role "control" has it`, RoleControl: `role "control" has no list of servers`,
				RoleBalancer: `role "balancer" has none: the control processes' files say it`}[f.Role])
		}
	}
	name := func(what, text string, at hcl.Range) string {
		if at.Empty() {
			return text
		}
		if text == "" || len(text) > longestName || strings.ContainsFunc(text, func(c rune) bool { return c <= ' ' || c == 0x7f }) {
			r.At(at, "%s: %q is no name: wants 1 to %d bytes without spaces", what, text, longestName)
		}
		return text
	}
	told := func(what string) string {
		if !b.Has(what) {
			return ""
		}
		return name(what, b.Text(what, "-"), b.At(what))
	}
	f.FleetName = name("fleet", in.Labels[0], in.LabelRanges[0])
	f.Machine, f.Zone, f.Site = told("machine"), told("zone"), told("site")
	if f.Role != RoleBalancer {
		b.Must("listen")
	}
	f.Listen = address(r, "listen", b.Text("listen", ""), b.At("listen"), b.Has("listen"))
	f.Advertise = f.Listen
	if b.Has("advertise") {
		f.Advertise = address(r, "advertise", b.Text("advertise", ""), b.At("advertise"), true)
	}
	if f.Advertise.IsValid() && f.Advertise.Addr().IsUnspecified() {
		r.At(b.At("listen"), `listen: %v is every address: "advertise" has to tell where the others reach this member`, f.Listen)
	}
	seeds, places := b.Texts("seeds", mostSeeds)
	for i, text := range seeds {
		f.Seeds = append(f.Seeds, address(r, "seeds", text, places[i], true))
	}
	f.DataDir = b.Text("data", "")
	if b.Has("data") && !filepath.IsAbs(f.DataDir) {
		r.At(b.At("data"), "data: %q is no absolute path; a relative one is another directory wherever the program is started", f.DataDir)
	}
	f.ReplicationFactor = b.Whole("copies", 3, 1, mostCopies)
	f.ForgetAfter = b.Span("gone_after", 24*time.Hour, time.Minute, 30*24*time.Hour)
	f.ListFreshTTL = b.Span("list_young", 30*time.Second, 0, 24*time.Hour)
	if f.ListStaleTTL = b.Span("list_old", 24*time.Hour, 0, 30*24*time.Hour); f.ListStaleTTL < f.ListFreshTTL {
		r.At(b.At("list_old"), "list_old: %v is less than list_young, %v", f.ListStaleTTL, f.ListFreshTTL)
	}
	f.RepairAfter = b.Span("repair_after", 10*time.Second, time.Second, time.Hour)
	voters := 3
	if f.Role == RoleControl {
		voters = 5
		f.MaxFollowers = b.Whole("followers", 1000, 1, mostFollows)
	}
	if f.Voters = b.Whole("voters", voters, 1, 7); f.Voters%2 == 0 {
		r.At(b.At("voters"), "voters: %d is even: it stands no more losses than %d", f.Voters, f.Voters-1)
	}
	f.MaxRecords = b.Whole("records", 50000, 1, 1000000)
	f.MaxBytes = b.Whole("megabytes", 64, 1, 4096) << 20
}

// notIn are what a role has none of.
var notIn = map[string][]string{
	RoleMember:   {"followers"},
	RoleControl:  {"list_young", "list_old"},
	RoleBalancer: {"listen", "advertise", "copies", "gone_after", "repair_after", "voters", "records", "megabytes", "followers"},
}

// address reads an IP address with a port. Names are refused: a look-up that hangs would hang the start with it.
func address(r *hclconfig.Reader, what, text string, at hcl.Range, told bool) netip.AddrPort {
	if !told {
		return netip.AddrPort{}
	}
	a, err := netip.ParseAddrPort(text)
	if err != nil || a.Port() == 0 {
		r.At(at, `%s: %q is no address; wants an IP address and a port, such as "127.0.0.1:7001"`, what, text)
		return netip.AddrPort{}
	}
	return a
}
