package config

import (
	"net/netip"
	"path/filepath"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"

	"sabletally/internal/hclconfig"
)

// Limits of the values in a fleet file.
const (
	maxSeeds             = MaxMembers
	maxClasses           = 64
	maxReplicationFactor = 7
	maxVoters            = 7
	maxNameBytes         = 64 // names are part of the gossiped metadata, whose size is limited
	maxSubscribersLimit  = 10000
	maxRecordsLimit      = 1000000
	maxMegabytes         = 4096
)

// The default number of voters, which depends on the role.
const (
	defaultVoters        = 3
	defaultControlVoters = 5
)

// fleetAttributes lists all attributes of the block "fleet".
const fleetAttributes = "role listen advertise seeds data copies machine zone site gone_after repair_after voters records megabytes " +
	"list_young list_old followers"

// unavailableAttributes has the attributes that must not be set with a role, and the reason.
var unavailableAttributes = map[Role]struct {
	attributes []string
	reason     string
}{
	RoleMember:  {[]string{"followers"}, `only available with role "control"`},
	RoleControl: {[]string{"list_young", "list_old"}, `not available with role "control", which has no endpoint list`},
	RoleBalancer: {[]string{"listen", "advertise", "copies", "gone_after", "repair_after", "voters", "records", "megabytes", "followers"},
		`not available with role "balancer": the files of the control processes set it`},
}

// Parse parses and validates the text of a fleet file. Errors name it by path. The error is a hclconfig.Diagnostics with all faults.
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

// parseHold reads a block "hold", which names the classes whose sessions are recorded in the fleet.
func (f *File) parseHold(r *hclconfig.Reader, block *hcl.Block) {
	if f.Role == RoleControl {
		r.Errorf(block.DefRange, "hold: not available with role %q, which runs no sessions", RoleControl)
	}
	if block.Labels[0] != "intents" {
		r.Errorf(block.LabelRanges[0], "hold: unknown kind %q; the only kind is \"intents\"", block.Labels[0])
		return
	}
	if len(f.IdempotentClasses) > 0 {
		r.Errorf(block.DefRange, "duplicate block hold \"intents\"")
	}
	b := r.Block("hold", block.Body, block.DefRange, "grades")
	b.Require("grades")
	names, locations := b.StringList("grades", maxClasses)
	for i, name := range names {
		f.IdempotentClasses = append(f.IdempotentClasses, Class{Name: name, location: locations[i]})
	}
}

// parseFleet reads the block "fleet". The order of the calls is the order in which faults are reported.
func (f *File) parseFleet(r *hclconfig.Reader, block *hcl.Block) {
	p := &fleetParser{Block: r.Block("fleet", block.Body, block.DefRange, fleetAttributes), reader: r}
	f.Role = Role(p.String("role", string(RoleMember), string(RoleControl), string(RoleBalancer)))
	p.Require("seeds", "data", "machine", "zone", "site")
	p.checkAvailable(f.Role)
	f.FleetName = p.checkName("fleet", block.Labels[0], block.LabelRanges[0])
	f.Machine = p.nameAttribute("machine")
	f.Zone = p.nameAttribute("zone")
	f.Site = p.nameAttribute("site")
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

// parseAddresses reads the addresses of this process and of the seeds.
func (f *File) parseAddresses(p *fleetParser) {
	if f.Role != RoleBalancer {
		p.Require("listen")
	}
	f.Listen = p.addressAttribute("listen")
	f.Advertise = f.Listen
	if p.HasAttribute("advertise") {
		f.Advertise = p.addressAttribute("advertise")
	}
	if f.Advertise.IsValid() && f.Advertise.Addr().IsUnspecified() {
		p.attributeErrorf("listen", `%v is the unspecified address: set "advertise" to the address at which others reach this member`, f.Listen)
	}
	seeds, locations := p.StringList("seeds", maxSeeds)
	for i, text := range seeds {
		f.Seeds = append(f.Seeds, p.parseAddress("seeds", text, locations[i]))
	}
}

// parseDataDir reads the path of the data directory.
func (f *File) parseDataDir(p *fleetParser) {
	f.DataDir = p.String("data", "")
	if p.HasAttribute("data") && !filepath.IsAbs(f.DataDir) {
		p.attributeErrorf("data", "%q is not an absolute path; a relative one depends on the directory in which the program is started", f.DataDir)
	}
}

// parseListAges reads the age limits of a stored endpoint list.
func (f *File) parseListAges(p *fleetParser) {
	f.ListFreshTTL = p.Duration("list_young", 30*time.Second, 0, 24*time.Hour)
	f.ListStaleTTL = p.Duration("list_old", 24*time.Hour, 0, 30*24*time.Hour)
	if f.ListStaleTTL < f.ListFreshTTL {
		p.attributeErrorf("list_old", "%v is less than list_young, %v", f.ListStaleTTL, f.ListFreshTTL)
	}
}

// parseVoters reads the number of voters and the limit of subscribers, both of which depend on the role.
func (f *File) parseVoters(p *fleetParser) {
	defaultCount := defaultVoters
	if f.Role == RoleControl {
		defaultCount = defaultControlVoters
		f.MaxSubscribers = p.Int("followers", 1000, 1, maxSubscribersLimit)
	}
	f.Voters = p.Int("voters", defaultCount, 1, maxVoters)
	if f.Voters%2 == 0 {
		p.attributeErrorf("voters", "%d is even: it tolerates no more failures than %d", f.Voters, f.Voters-1)
	}
}

// fleetParser reads the attributes of the block "fleet" that need more validation than hclconfig provides.
type fleetParser struct {
	*hclconfig.Block
	reader *hclconfig.Reader
}

// attributeErrorf reports a fault of an attribute at its location.
func (p *fleetParser) attributeErrorf(attribute, format string, args ...any) {
	p.reader.Errorf(p.AttributeRange(attribute), attribute+": "+format, args...)
}

// checkAvailable reports the attributes that are set but not available with the role.
func (p *fleetParser) checkAvailable(role Role) {
	for _, attribute := range unavailableAttributes[role].attributes {
		if p.HasAttribute(attribute) {
			p.attributeErrorf(attribute, "%s", unavailableAttributes[role].reason)
		}
	}
}

// nameAttribute reads an attribute that is a name. It returns an empty string if the attribute is not set.
func (p *fleetParser) nameAttribute(attribute string) string {
	if !p.HasAttribute(attribute) {
		return ""
	}
	return p.checkName(attribute, p.String(attribute, "-"), p.AttributeRange(attribute))
}

// checkName reports an invalid name, and returns it in any case. subject is what the fault is reported about.
func (p *fleetParser) checkName(subject, text string, location hcl.Range) string {
	if location.Empty() {
		return text
	}
	isSpaceOrControl := func(c rune) bool { return c <= ' ' || c == 0x7f }
	if text == "" || len(text) > maxNameBytes || strings.ContainsFunc(text, isSpaceOrControl) {
		p.reader.Errorf(location, "%s: %q is not a valid name: it must have 1 to %d bytes and no spaces", subject, text, maxNameBytes)
	}
	return text
}

// addressAttribute reads an attribute that is an address. The result is not valid if the attribute is not set.
func (p *fleetParser) addressAttribute(attribute string) netip.AddrPort {
	text := p.String(attribute, "")
	if !p.HasAttribute(attribute) {
		return netip.AddrPort{}
	}
	return p.parseAddress(attribute, text, p.AttributeRange(attribute))
}

// parseAddress parses an IP address with a port. Host names are rejected, because a resolver that hangs would block the start of the process.
// subject is what a fault is reported about.
func (p *fleetParser) parseAddress(subject, text string, location hcl.Range) netip.AddrPort {
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 {
		p.reader.Errorf(location, `%s: %q is not a valid address; expected an IP address and a port, such as "127.0.0.1:7001"`, subject, text)
		return netip.AddrPort{}
	}
	return address
}
