package config

import (
	"net/netip"
	"path/filepath"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"

	"sabletally/internal/hclconfig"
)

// Bounds of what a file may set.
const (
	maxSeeds             = MaxMembers
	maxClasses           = 64
	maxReplicationFactor = 7
	maxVoters            = 7
	maxNameBytes         = 64 // names are part of the gossiped metadata, whose size is bounded
	maxSubscribersLimit  = 10000
	maxRecordsLimit      = 1000000
	maxMegabytes         = 4096
)

// Defaults that depend on the role.
const (
	defaultVoters        = 3
	defaultControlVoters = 5
)

// fleetAttributes are all attributes of the block "fleet".
const fleetAttributes = "role listen advertise seeds data copies machine zone site gone_after repair_after voters records megabytes " +
	"list_young list_old followers"

// unavailable has the attributes that a role does not have, and why.
var unavailable = map[Role]struct {
	attributes []string
	reason     string
}{
	RoleMember:  {[]string{"followers"}, `only role "control" has it`},
	RoleControl: {[]string{"list_young", "list_old"}, `role "control" has no list of servers`},
	RoleBalancer: {[]string{"listen", "advertise", "copies", "gone_after", "repair_after", "voters", "records", "megabytes", "followers"},
		`role "balancer" has none: the control processes' files say it`},
}

// Parse reads the text of a file; path is its name in errors. The error is a hclconfig.Diagnostics with all that is wrong.
func Parse(text []byte, path string) (*File, error) {
	r := &hclconfig.Reader{}
	body := r.Parse(text, path)
	if body == nil {
		return nil, r.Diagnostics
	}
	top := r.Block("the file", body, hclconfig.FileStart(path), "", hcl.BlockHeaderSchema{Type: "fleet", LabelNames: []string{"name"}},
		hcl.BlockHeaderSchema{Type: "hold", LabelNames: []string{"kind"}})
	f := &File{}
	if block := top.Single("fleet", true); block != nil {
		f.parseFleet(r, block)
	}
	for _, block := range top.Blocks["hold"] {
		f.parseHold(r, block)
	}
	if err := r.Err(); err != nil {
		return nil, err
	}
	return f, nil
}

// parseHold reads a block that names the classes whose sessions are recorded in the fleet.
func (f *File) parseHold(r *hclconfig.Reader, block *hcl.Block) {
	if f.Role == RoleControl {
		r.Errorf(block.DefRange, "hold: role %q runs no circuits", RoleControl)
	}
	if block.Labels[0] != "intents" {
		r.Errorf(block.LabelRanges[0], "hold %q is none; there is \"intents\"", block.Labels[0])
		return
	}
	if len(f.IdempotentClasses) > 0 {
		r.Errorf(block.DefRange, "a second hold \"intents\"")
	}
	b := r.Block("hold", block.Body, block.DefRange, "grades")
	b.Require("grades")
	names, locations := b.StringList("grades", maxClasses)
	for i, name := range names {
		f.IdempotentClasses = append(f.IdempotentClasses, Class{Name: name, location: locations[i]})
	}
}

// parseFleet reads the block "fleet". Faults are reported in the order of the calls.
func (f *File) parseFleet(r *hclconfig.Reader, block *hcl.Block) {
	p := &fleetParser{Block: r.Block("fleet", block.Body, block.DefRange, fleetAttributes), reader: r}
	f.Role = Role(p.String("role", string(RoleMember), string(RoleControl), string(RoleBalancer)))
	p.Require("seeds", "data", "machine", "zone", "site")
	p.checkAvailable(f.Role)
	f.FleetName = p.checkName("fleet", block.Labels[0], block.LabelRanges[0])
	f.Machine = p.name("machine")
	f.Zone = p.name("zone")
	f.Site = p.name("site")
	f.parseAddresses(p)
	f.parseDataDir(p)
	f.ReplicationFactor = p.Int("copies", 3, 1, maxReplicationFactor)
	f.ForgetAfter = p.Duration("gone_after", 24*time.Hour, time.Minute, 30*24*time.Hour)
	f.parseListAges(p)
	f.RepairAfter = p.Duration("repair_after", 10*time.Second, time.Second, time.Hour)
	f.parseVoters(p)
	f.MaxRecords = p.Int("records", 50000, 1, maxRecordsLimit)
	f.MaxBytes = p.Int("megabytes", 64, 1, maxMegabytes) << 20
}

func (f *File) parseAddresses(p *fleetParser) {
	if f.Role != RoleBalancer {
		p.Require("listen")
	}
	f.Listen = p.address("listen")
	f.Advertise = f.Listen
	if p.Has("advertise") {
		f.Advertise = p.address("advertise")
	}
	if f.Advertise.IsValid() && f.Advertise.Addr().IsUnspecified() {
		p.fault("listen", `%v is every address: "advertise" has to tell where the others reach this member`, f.Listen)
	}
	seeds, locations := p.StringList("seeds", maxSeeds)
	for i, text := range seeds {
		f.Seeds = append(f.Seeds, p.parseAddress("seeds", text, locations[i]))
	}
}

func (f *File) parseDataDir(p *fleetParser) {
	f.DataDir = p.String("data", "")
	if p.Has("data") && !filepath.IsAbs(f.DataDir) {
		p.fault("data", "%q is no absolute path; a relative one is another directory wherever the program is started", f.DataDir)
	}
}

func (f *File) parseListAges(p *fleetParser) {
	f.ListFreshTTL = p.Duration("list_young", 30*time.Second, 0, 24*time.Hour)
	f.ListStaleTTL = p.Duration("list_old", 24*time.Hour, 0, 30*24*time.Hour)
	if f.ListStaleTTL < f.ListFreshTTL {
		p.fault("list_old", "%v is less than list_young, %v", f.ListStaleTTL, f.ListFreshTTL)
	}
}

func (f *File) parseVoters(p *fleetParser) {
	otherwise := defaultVoters
	if f.Role == RoleControl {
		otherwise = defaultControlVoters
		f.MaxSubscribers = p.Int("followers", 1000, 1, maxSubscribersLimit)
	}
	f.Voters = p.Int("voters", otherwise, 1, maxVoters)
	if f.Voters%2 == 0 {
		p.fault("voters", "%d is even: it stands no more losses than %d", f.Voters, f.Voters-1)
	}
}

// fleetParser reads attributes of the block "fleet" whose rules are this package's.
type fleetParser struct {
	*hclconfig.Block
	reader *hclconfig.Reader
}

// fault reports what is wrong with an attribute, where it stands.
func (p *fleetParser) fault(attribute, format string, args ...any) {
	p.reader.Errorf(p.AttributeRange(attribute), attribute+": "+format, args...)
}

// checkAvailable reports the attributes that a role does not have.
func (p *fleetParser) checkAvailable(role Role) {
	for _, attribute := range unavailable[role].attributes {
		if p.Has(attribute) {
			p.fault(attribute, "%s", unavailable[role].reason)
		}
	}
}

// name reads an attribute that is a name; it is empty where the file has none.
func (p *fleetParser) name(attribute string) string {
	if !p.Has(attribute) {
		return ""
	}
	return p.checkName(attribute, p.String(attribute, "-"), p.AttributeRange(attribute))
}

func (p *fleetParser) checkName(what, text string, location hcl.Range) string {
	if location.Empty() {
		return text
	}
	isSpaceOrControl := func(c rune) bool { return c <= ' ' || c == 0x7f }
	if text == "" || len(text) > maxNameBytes || strings.ContainsFunc(text, isSpaceOrControl) {
		p.reader.Errorf(location, "%s: %q is no name: wants 1 to %d bytes without spaces", what, text, maxNameBytes)
	}
	return text
}

// address reads an attribute that is an address; it is invalid where the file has none.
func (p *fleetParser) address(attribute string) netip.AddrPort {
	text := p.String(attribute, "")
	if !p.Has(attribute) {
		return netip.AddrPort{}
	}
	return p.parseAddress(attribute, text, p.AttributeRange(attribute))
}

// parseAddress parses an IP address with a port. Host names are refused, as a resolver that hangs would block the start.
func (p *fleetParser) parseAddress(what, text string, location hcl.Range) netip.AddrPort {
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 {
		p.reader.Errorf(location, `%s: %q is no address; wants an IP address and a port, such as "127.0.0.1:7001"`, what, text)
		return netip.AddrPort{}
	}
	return address
}
