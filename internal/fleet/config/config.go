// Package config owns the fleet file: what an operator sets for one process of a fleet, and what is wrong with it, by file, line and
// column. It must never open what the file names, and never guess a value without a safe default: a member with a wrong machine or
// zone would promise a redundancy that it does not have.
package config

import (
	"net/netip"
	"os"
	"time"

	"github.com/hashicorp/hcl/v2"

	"sabletally/internal/hclconfig"
)

// MaxMembers is the largest number of members of one fleet.
const MaxMembers = 1024

// Role is what a process does in the fleet, as the file has it.
type Role string

// The roles. A file without a role is a member's.
const (
	RoleMember   Role = ""         // a balancer that is a full member
	RoleControl  Role = "control"  // a dedicated process, which is a member and publishes the agreed state to balancers
	RoleBalancer Role = "balancer" // a balancer that follows control processes and is no member
)

// File is a fleet file that was read without faults.
type File struct {
	Role      Role
	FleetName string // messages of any other fleet are refused

	Listen    netip.AddrPort // TCP and UDP; invalid for RoleBalancer
	Advertise netip.AddrPort // where the others reach it; Listen by default
	Seeds     []netip.AddrPort
	DataDir   string // absolute; not shared with another process

	ReplicationFactor int // replicas of each record
	Voters            int // members that vote on the agreed state; odd

	// Failure domains, each within the next one.
	Machine string
	Zone    string
	Site    string

	ForgetAfter time.Duration // a member that failed longer ago is no longer listed
	RepairAfter time.Duration // the records of a member that failed longer ago get another replica

	ListFreshTTL time.Duration // a stored endpoint list is used up to this age
	ListStaleTTL time.Duration // its endpoints are candidates for health checks up to this age

	MaxRecords     int // stored by this member
	MaxBytes       int // of keys and values together
	MaxSubscribers int // balancers that a control process serves; 0 for the other roles

	IdempotentClasses []Class // service classes whose sessions are recorded in the fleet before they go to an upstream
}

// Class is the name of a service class, and where the file has it.
type Class struct {
	Name string

	location hcl.Range
}

// CheckClasses returns a hclconfig.Diagnostics that names the classes of the file that a deployment does not have, nil where there are none.
func (f *File) CheckClasses(deployed map[string]int) error {
	r := &hclconfig.Reader{}
	for _, class := range f.IdempotentClasses {
		if _, isDeployed := deployed[class.Name]; !isDeployed {
			r.Errorf(class.location, "grades: %q is no grade of the settings", class.Name)
		}
	}
	return r.Err()
}

// Read reads a file. The error is a hclconfig.Diagnostics where the content is wrong.
func Read(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(text, path)
}
