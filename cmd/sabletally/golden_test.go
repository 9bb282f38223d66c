package main

import (
	"fmt"
	"net/netip"
	"testing"

	"sabletally/internal/deployment"
)

// TestTheConfigurationFileKeepsItsKeys reads a configuration file with every key set, as earlier releases accept it. It guards against a key that
// is renamed, or whose value is read in another unit.
func TestTheConfigurationFileKeepsItsKeys(t *testing.T) {
	env := func(name string) string {
		return map[string]string{"EDGE_CONFIG": "testdata/config.json"}[name]
	}
	s, err := deployment.ReadNodeConfig(env, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		key       string
		got, want any
	}{
		{"name", s.Name, "n7"},
		{"listen", s.Listen, "127.0.0.1:14001"},
		{"discovery", s.Discovery, "127.0.0.1:14002"},
		{"mgmt", s.Admin, "127.0.0.1:14003"},
		{"seed", s.Seed, uint64(0xabc)},
		{"limits.cores", s.Cores, 2.5},
		{"limits.memory_mb", s.MemoryMB, 96},
		{"limits.sockets", s.MaxSockets, 777},
		{"known", fmt.Sprint(s.InitialEndpoints.Complete, s.InitialEndpoints.Revision, len(s.InitialEndpoints.Endpoints), s.InitialEndpoints.Endpoints[0].UID, s.InitialEndpoints.Endpoints[0].Address), "true 5 1s-9127.0.0.1:14009"},
		{"peers.listen", s.Gossip.Listen, netip.MustParseAddrPort("127.0.0.1:14004")},
		{"peers.others", fmt.Sprint(s.Gossip.Peers), "[127.0.0.1:14005 127.0.0.1:14006]"},
		{"what only a start takes in", s.StartupOnly, "n7127.0.0.1:14001127.0.0.1:14003{2.5 96 777}abc"},
	} {
		if c.got != c.want {
			t.Errorf("%s: got %v, want %v", c.key, c.got, c.want)
		}
	}
}
