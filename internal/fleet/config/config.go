// Package config reads and validates the fleet file, in which an operator configures one process of a fleet. Errors name the file, line and
// column. The package must never open a file or address that the fleet file names, and never guess a value that has no safe default: a
// member with a wrong machine or zone would promise a redundancy that it does not have.
package config

import (
	"net/netip"
	"os"
	"time"

	"github.com/hashicorp/hcl/v2"

	"sabletally/internal/hclconfig"
)

// MaxMembers is the maximum number of members of a fleet.
const MaxMembers = 1024

// Role is the function of a process in the fleet, as the fleet file spells it.
type Role string

// The roles. A fleet file without a role configures a member.
const (
	RoleMember   Role = ""         // a balancer that is a full member
	RoleControl  Role = "control"  // a dedicated process that is a member and publishes the agreed state to balancers
	RoleBalancer Role = "balancer" // a balancer that is not a member and subscribes to control processes
)

// File is the content of a valid fleet file.
type File struct {
	Role      Role
	FleetName string // messages from other fleets are rejected

	Listen    netip.AddrPort   // local address for TCP and UDP; not valid for RoleBalancer
	Advertise netip.AddrPort   // address at which other processes reach this one; Listen by default
	Seeds     []netip.AddrPort // addresses of members to contact first
	DataDir   string           // absolute path of a directory that no other process uses

	ReplicationFactor int // number of replicas of each record
	Voters            int // number of members that vote on the agreed state; odd

	// Failure domains, from the smallest to the largest.
	Machine string
	Zone    string
	Site    string

	ForgetAfter time.Duration // time after which a failed member is no longer listed
	RepairAfter time.Duration // time after which the records of a failed member get another replica

	ListFreshTTL time.Duration // maximum age at which a stored endpoint list is used as it is
	ListStaleTTL time.Duration // maximum age at which the endpoints of a stored list are candidates for health checks

	MaxRecords     int // maximum number of records that this member stores
	MaxBytes       int // maximum size of the stored keys and values together, in bytes
	MaxSubscribers int // maximum number of balancers that a control process serves; 0 for the other roles

	IdempotentClasses []Class // service classes whose sessions are recorded in the fleet before they are sent to an upstream
}

// Class is the name of a service class and its location in the fleet file.
type Class struct {
	Name string

	location hcl.Range
}

// CheckClasses returns a hclconfig.Diagnostics with the classes of the file that the deployment does not define, or nil if it defines all.
func (f *File) CheckClasses(deployed map[string]int) error {
	r := &hclconfig.Reader{}
	for _, class := range f.IdempotentClasses {
		if _, isDeployed := deployed[class.Name]; !isDeployed {
			r.Errorf(class.location, "grades: %q is not a grade that the settings define", class.Name)
		}
	}
	return r.Err()
}

// Read reads and validates a fleet file. If its content is invalid, the error is a hclconfig.Diagnostics.
func Read(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(text, path)
}
