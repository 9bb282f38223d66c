package deployment

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
)

var updateGolden = flag.Bool("update", false, "write testdata/*.golden from the current build")

// compareGolden compares a text with a golden file that an earlier build wrote.
func compareGolden(t *testing.T, file, text string) {
	t.Helper()
	if *updateGolden {
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if text != string(want) {
		t.Errorf("%s: got\n%swant\n%s", file, text, want)
	}
}

// describe formats every field of settings, under names that do not depend on those of the fields.
func describe(d *Settings) string {
	var text strings.Builder
	line := func(name string, value any) { fmt.Fprintf(&text, "%s: %v\n", name, value) }
	p := d.Policy
	line("balancers", p.Balancers)
	line("index", p.Index)
	line("zone", p.Zone)
	line("excess weight", p.OverQuotaFactor)
	line("may probe", p.CanHealthCheck)
	line("may gossip", p.CanGossip)
	line("exact weights", p.HasExactWeights)
	line("may send Retry-After", p.CanSendRetryAfter)
	line("longest Retry-After", p.MaxRetryAfter)
	line("attempts", p.MaxAttempts)
	line("overload multiple", p.OverloadMultiple)
	line("overload window", p.OverloadWindow)
	line("slow-start floor", p.SlowStartFloor)
	line("slow-start window", p.SlowStartWindow)
	line("cross-zone price", p.CrossZoneCost)
	line("nines", p.NinesWeight)
	line("wanted nines", p.TargetNines)
	line("load reports when polled", p.HasLoadReports)
	line("load reports of the servers", p.HasEndpointReports)
	for n, class := range p.Classes {
		line(fmt.Sprintf("class %d", n), fmt.Sprint(uint8(class.Idempotency), uint8(class.KeyScope), class.KeyTTL, class.SetupObjective, class.MessageObjective, class.PriorityWeight))
	}
	for n, tenant := range p.Tenants {
		line(fmt.Sprintf("tenant %d", n), tenant.ConnectionQuota)
	}
	line("report fields", d.ReportFields)
	for _, names := range []map[string]int{d.Classes, d.Tenants, d.Zones} {
		for _, name := range slices.Sorted(maps.Keys(names)) {
			line("name "+name, names[name])
		}
	}
	line("deadlines", d.Deadlines)
	line("list on request", d.PollEndpointList)
	line("connect timeout", d.ConnectTimeout)
	return text.String()
}

// TestSettingsAreReadAsBefore guards against a key of the settings that is read otherwise than by earlier builds. The file has every
// key.
func TestSettingsAreReadAsBefore(t *testing.T) {
	text, err := os.ReadFile("testdata/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	d, err := ParseSettings(text)
	if err != nil {
		t.Fatal(err)
	}
	compareGolden(t, "testdata/settings.golden", describe(d))
}

// TestNodeFilesAreReadAsBefore guards against a key of the node file that is read otherwise than by earlier builds: at the start, with
// environment variables that override it, and at a reload.
func TestNodeFilesAreReadAsBefore(t *testing.T) {
	var text strings.Builder
	var inForce *NodeConfig
	for _, c := range []struct {
		name     string
		env      map[string]string
		isReload bool
	}{
		{"alone", nil, false},
		{"under variables", map[string]string{"EDGE_NAME": "other", "EDGE_LISTEN": "127.0.0.1:1", "EDGE_DISCOVERY": "127.0.0.1:2", "EDGE_MGMT": "127.0.0.1:3"}, false},
		{"in the place of another", map[string]string{"EDGE_DISCOVERY": "127.0.0.1:2"}, true},
	} {
		previous := inForce
		if !c.isReload {
			previous = nil
		}
		config, err := ReadNodeConfig(func(key string) string {
			if key == "EDGE_CONFIG" {
				return "testdata/node.json"
			}
			return c.env[key]
		}, previous)
		if err != nil {
			t.Fatal(err)
		}
		inForce = config
		fmt.Fprintf(&text, "%s: name %s, listen %s, discovery %s, mgmt %s, seed %d, cores %v, memory %d, sockets %d, gossip at %v to %v, fixed %q, "+
			"revision %d, whole %v\n", c.name, config.Name, config.Listen, config.Discovery, config.Admin, config.Seed, config.Cores, config.MemoryMB, config.MaxSockets, config.Gossip.Listen, config.Gossip.Peers,
			config.StartupOnly, config.InitialEndpoints.Revision, config.InitialEndpoints.Complete)
		for _, server := range config.InitialEndpoints.Endpoints {
			fmt.Fprintln(&text, server.UID, server.Address, server.Zone, server.FailureDomain, server.MachineType, uint8(server.State), server.Weight, server.StartedAt.UnixMilli())
		}
		text.WriteString(describe(config.Settings))
	}
	compareGolden(t, "testdata/node.golden", text.String())
}

// TestBadSettingsAreNamedAsBefore guards the error messages that operators see for invalid settings and node files, at the start and
// at a reload.
func TestBadSettingsAreNamedAsBefore(t *testing.T) {
	settings, err := os.ReadFile("testdata/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	node, err := os.ReadFile("testdata/node.json")
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	for _, change := range [][2]string{
		{`"PeersTotal"`, `"x"`}, {`"Zone": 1`, `"x": 1`}, {`"RegistryMode"`, `"x"`}, {`"on_request"`, `"x"`}, {`"ServiceGrades"`, `"x"`},
		{`"Guarantees"`, `"x"`}, {`"Limits"`, `"x"`}, {`"MostSetupTries"`, `"x"`}, {`"ColdFrom"`, `"x"`}, {`"ColdUs"`, `"x"`},
		{`"FallMultiple"`, `"x"`}, {`"FallUs"`, `"x"`}, {`"Mode": "proxy"`, `"Mode": "x"`}, {`"NinesWanted": 4.5`, `"NinesWanted": -1`},
		{`"nominal"`, `"x"`}, {`"How": "probe"`, `"How": "x"`}, {`"Effect": "read_like"`, `"x": 1`}, {`"read_like"`, `"x"`},
		{`"Group": "zone"`, `"Group": "x"`},
	} {
		_, err := ParseSettings([]byte(strings.Replace(string(settings), change[0], change[1], 1)))
		fmt.Fprintf(&text, "%s for %s: %v\n", change[1], change[0], err)
	}
	file := t.TempDir() + "/node.json"
	for _, change := range [][2]string{
		{`"listen": "127.0.0.1:7000"`, `"listen": "x"`}, {`"discovery": "127.0.0.1:7001"`, `"discovery": "x"`},
		{`"discovery": "127.0.0.1:7001"`, `"discovery": ":7"`}, {`"mgmt": "127.0.0.1:7002"`, `"mgmt": "x"`}, {`"seed": "1f"`, `"seed": "x"`},
		{`"cores"`, `"x"`}, {`"memory_mb"`, `"x"`}, {`"sockets"`, `"x"`}, {`"rev"`, `"x"`}, {`"PeersTotal"`, `"x"`}, {`"peers": {`, `"x": {`},
		{`"listen": "127.0.0.1:7003"`, `"listen": "x"`}, {`"127.0.0.1:7005"`, `"x"`}, {`"127.0.0.1:7005"`, `"127.0.0.1:7004"`},
		{`, "127.0.0.1:7005"`, ``}, {`"OuterLimitUs": 2000000`, `"x": 1`}, {`"LatencyGoalUs": 300000`, `"x": 1`}, {`"MaxRetryAfterUs"`, `"x"`},
		{`"Utility": 4.0`, `"x": 1`}, {`{`, `[`},
	} {
		if err := os.WriteFile(file, []byte(strings.Replace(string(node), change[0], change[1], 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		env := func(path string) func(string) string {
			return func(key string) string {
				if key == "EDGE_CONFIG" {
					return path
				}
				return ""
			}
		}
		previous, err := ReadNodeConfig(env("testdata/node.json"), nil)
		if err != nil {
			t.Fatal(err)
		}
		_, startErr := ReadNodeConfig(env(file), nil)
		_, reloadErr := ReadNodeConfig(env(file), previous)
		fmt.Fprintf(&text, "%s for %s: at the start: %v; later: %v\n", change[1], change[0], startErr, reloadErr)
	}
	compareGolden(t, "testdata/errors.golden", text.String())
}
