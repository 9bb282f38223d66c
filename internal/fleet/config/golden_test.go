package config

import (
	"net/netip"
	"path/filepath"
	"reflect"
	"testing"
	"time"
)

// TestEveryKeyIsUnchanged reads a file of each role that sets every key of that role to a value other than its default. It guards against a
// renamed key, which would break the files of operators.
func TestEveryKeyIsUnchanged(t *testing.T) {
	address := netip.MustParseAddrPort
	for name, want := range map[string]File{
		"member.hcl": {
			Role:              "",
			FleetName:         "istanbul",
			Listen:            address("0.0.0.0:7001"),
			Advertise:         address("10.0.0.1:7001"),
			Seeds:             []netip.AddrPort{address("10.0.0.1:7001"), address("[fd00::2]:7002")},
			DataDir:           "/var/lib/sabletally",
			ReplicationFactor: 4,
			Machine:           "m1",
			Zone:              "a",
			Site:              "site-1",
			ForgetAfter:       2 * time.Hour,
			ListFreshTTL:      45 * time.Second,
			ListStaleTTL:      3 * time.Hour,
			RepairAfter:       15 * time.Second,
			Voters:            5,
			MaxRecords:        1234,
			MaxBytes:          7 << 20,
			IdempotentClasses: []Class{{Name: "pay"}, {Name: "buy"}},
		},
		"control.hcl": {
			Role:              "control",
			FleetName:         "istanbul",
			Listen:            address("10.0.0.1:7001"),
			Advertise:         address("10.0.0.9:7009"),
			Seeds:             []netip.AddrPort{address("10.0.0.1:7001")},
			DataDir:           "/var/lib/control",
			ReplicationFactor: 2,
			Machine:           "m2",
			Zone:              "b",
			Site:              "site-2",
			ForgetAfter:       90 * time.Minute,
			ListFreshTTL:      30 * time.Second,
			ListStaleTTL:      24 * time.Hour,
			RepairAfter:       20 * time.Second,
			Voters:            7,
			MaxRecords:        4321,
			MaxBytes:          9 << 20,
			MaxSubscribers:    321,
		},
		"balancer.hcl": {
			Role:              "balancer",
			FleetName:         "istanbul",
			Seeds:             []netip.AddrPort{address("10.0.0.1:7001"), address("10.0.0.2:7001")},
			DataDir:           "/var/lib/balancer",
			ReplicationFactor: 3,
			Machine:           "m3",
			Zone:              "c",
			Site:              "site-3",
			ForgetAfter:       24 * time.Hour,
			ListFreshTTL:      5 * time.Second,
			ListStaleTTL:      6 * time.Minute,
			RepairAfter:       10 * time.Second,
			Voters:            3,
			MaxRecords:        50000,
			MaxBytes:          64 << 20,
			IdempotentClasses: []Class{{Name: "pay"}},
		},
	} {
		got, err := Read(filepath.Join("testdata", name))
		if err != nil {
			t.Errorf("read %s: %v", name, err)
			continue
		}
		for i := range got.IdempotentClasses {
			if got.IdempotentClasses[i].location.Empty() {
				t.Errorf("%s: class %q has no location", name, got.IdempotentClasses[i].Name)
			}
			got.IdempotentClasses[i] = Class{Name: got.IdempotentClasses[i].Name}
		}
		if !reflect.DeepEqual(*got, want) {
			t.Errorf("%s: got\n%+v, want\n%+v", name, *got, want)
		}
	}
}
