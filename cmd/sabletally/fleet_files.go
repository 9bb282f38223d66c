package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"sabletally/internal/fleet/config"
	"sabletally/internal/fleet/datadir"
	"sabletally/internal/fleet/store"
)

type checkCmd struct {
	File string `arg:"" help:"The fleet's file."`
}

// Run checks a fleet file and prints what it describes.
func (c checkCmd) Run() error {
	f, err := config.Read(c.File)
	if err != nil {
		return err
	}
	switch f.Role {
	case config.RoleBalancer:
		fmt.Printf("%s: fleet %q, a balancer that follows control processes; machine %s, zone %s, site %s\n",
			c.File, f.FleetName, f.Machine, f.Zone, f.Site)
	case config.RoleControl:
		fmt.Printf("%s: fleet %q, a control process for %d followers, %d voters, %d copies; machine %s, zone %s, site %s, reached at %v\n",
			c.File, f.FleetName, f.MaxSubscribers, f.Voters, f.ReplicationFactor, f.Machine, f.Zone, f.Site, f.Advertise)
	default:
		fmt.Printf("%s: fleet %q, %d copies; this member: machine %s, zone %s, site %s, reached at %v\n",
			c.File, f.FleetName, f.ReplicationFactor, f.Machine, f.Zone, f.Site, f.Advertise)
	}
	return nil
}

type verifyCmd struct {
	Dir string `arg:"" help:"The directory that the fleet's file names as data."`
}

// Run verifies the checksums of a member's data directory and prints a summary of its content.
func (c verifyCmd) Run() error {
	identity, err := datadir.ReadIdentity(c.Dir)
	if err != nil {
		return err
	}
	saved, err := store.Inspect(c.Dir)
	if err != nil {
		return err
	}
	countByKind := map[string]int{}
	records, size := 0, 0
	for _, shard := range saved.Shards {
		for _, record := range shard.Records {
			kind, _, _ := strings.Cut(record.Key, "/")
			countByKind[kind]++
			records++
			size += len(record.Key) + len(record.Value)
		}
	}
	fmt.Printf("%s: member %s of fleet %q (%s), machine %s, life %d\n",
		c.Dir, identity.MemberID, identity.FleetName, saved.FleetID, identity.Machine, identity.Incarnation)
	fmt.Printf("%d records of %d bytes in %d slots, %d entries of the log behind a snapshot of %d bytes: all checksums hold\n",
		records, size, len(saved.Shards), len(saved.Log.Entries), len(saved.Log.Snapshot))
	for _, kind := range slices.Sorted(maps.Keys(countByKind)) {
		fmt.Printf("  %s: %d\n", kind, countByKind[kind])
	}
	return nil
}
