package config

import (
	"net/netip"
	"path/filepath"
	"reflect"
	"testing"
	"time"
)

// TestEveryKeyIsUnchanged reads one file of each role in which every key of that role is set, to a value that is not its default.
func TestEveryKeyIsUnchanged(t *testing.T) {
	address := netip.MustParseAddrPort
	for name, want := range map[string]File{
		"member.hcl": {Role: "", Fleet: "istanbul", Listen: address("0.0.0.0:7001"), Advertise: address("10.0.0.1:7001"),
			Seeds: []netip.AddrPort{address("10.0.0.1:7001"), address("[fd00::2]:7002")}, Data: "/var/lib/sabletally", Copies: 4, Machine: "m1", Zone: "a",
			Site: "site-1", Gone: 2 * time.Hour, Young: 45 * time.Second, Old: 3 * time.Hour, Repair: 15 * time.Second, Voters: 5, Records: 1234,
			Bytes: 7 << 20, Intents: []Grade{{Name: "pay"}, {Name: "buy"}}},
		"control.hcl": {Role: "control", Fleet: "istanbul", Listen: address("10.0.0.1:7001"), Advertise: address("10.0.0.9:7009"),
			Seeds: []netip.AddrPort{address("10.0.0.1:7001")}, Data: "/var/lib/control", Copies: 2, Machine: "m2", Zone: "b", Site: "site-2",
			Gone: 90 * time.Minute, Young: 30 * time.Second, Old: 24 * time.Hour, Repair: 20 * time.Second, Voters: 7, Records: 4321, Bytes: 9 << 20,
			Followers: 321},
		"balancer.hcl": {Role: "balancer", Fleet: "istanbul", Seeds: []netip.AddrPort{address("10.0.0.1:7001"), address("10.0.0.2:7001")},
			Data: "/var/lib/balancer", Copies: 3, Machine: "m3", Zone: "c", Site: "site-3", Gone: 24 * time.Hour, Young: 5 * time.Second, Old: 6 * time.Minute,
			Repair: 10 * time.Second, Voters: 3, Records: 50000, Bytes: 64 << 20, Intents: []Grade{{Name: "pay"}}},
	} {
		got, err := Read(filepath.Join("testdata", name))
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		for i := range got.Intents {
			if got.Intents[i].at.Empty() {
				t.Errorf("%s: no place of %q is known", name, got.Intents[i].Name)
			}
			got.Intents[i] = Grade{Name: got.Intents[i].Name}
		}
		if !reflect.DeepEqual(*got, want) {
			t.Errorf("%s: got\n%+v, want\n%+v", name, *got, want)
		}
	}
}
