package config

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"sabletally/internal/hclconfig"
)

// completeFile sets all required attributes and some others.
const completeFile = `fleet "istanbul" {
  listen  = "127.0.0.1:7001"
  seeds   = ["127.0.0.1:7001", "127.0.0.1:7002"]
  data    = "/var/lib/sabletally"
  copies  = 3
  machine = "m1"
  zone    = "a"
  site    = "istanbul"
}
`

// TestCompleteFile checks the values of a file with all required attributes, and the defaults of some others.
func TestCompleteFile(t *testing.T) {
	f, err := Parse([]byte(completeFile), "f.hcl")
	if err != nil {
		t.Fatal(err)
	}
	if f.FleetName != "istanbul" || f.Advertise != f.Listen || len(f.Seeds) != 2 || f.ReplicationFactor != 3 || f.Machine != "m1" || f.ForgetAfter != 24*time.Hour {
		t.Errorf("values of the complete file: %+v", f)
	}
}

// TestNumberOfSeedsIsBounded checks that a file may name as many seeds as a fleet may have members, and not one more.
func TestNumberOfSeedsIsBounded(t *testing.T) {
	file := func(seeds int) string {
		var all []string
		for i := range seeds {
			all = append(all, fmt.Sprintf("%q", fmt.Sprintf("127.1.%d.%d:7001", i/250, 1+i%250)))
		}
		return strings.Replace(completeFile, `"127.0.0.1:7001", "127.0.0.1:7002"`, strings.Join(all, ", "), 1)
	}
	f, err := Parse([]byte(file(1024)), "f.hcl")
	if err != nil || len(f.Seeds) != 1024 {
		t.Errorf("%d seeds: %v", len(f.Seeds), err)
	}
	if _, err := Parse([]byte(file(1025)), "f.hcl"); err == nil || !strings.Contains(err.Error(), "seeds") {
		t.Errorf("1,025 seeds: %v", err)
	}
}

// TestRoles reads a file of each role, including one without a role. It guards against a default that is not that of the role.
func TestRoles(t *testing.T) {
	for _, c := range []struct {
		old, replacement    string
		role                Role
		voters, subscribers int
	}{
		{"", "", RoleMember, 3, 0},
		{`copies  = 3`, `role = "control"`, RoleControl, 5, 1000},
		{`copies  = 3`, "role = \"control\"\n voters = 3\n followers = 300", RoleControl, 3, 300},
		{"  listen  = \"127.0.0.1:7001\"\n", "", RoleBalancer, 3, 0},
	} {
		text := strings.Replace(completeFile, c.old, c.replacement, 1)
		if c.role == RoleBalancer {
			text = strings.Replace(text, `copies  = 3`, `role = "balancer"`, 1)
		}
		f, err := Parse([]byte(text), "f.hcl")
		if err != nil {
			t.Fatal(err)
		}
		if f.Role != c.role || f.Voters != c.voters || f.MaxSubscribers != c.subscribers {
			t.Errorf("%q: %+v", c.replacement, f)
		}
	}
}

// TestFaultsNameFileLineAndColumn puts one fault at a time into a valid file. It guards against faults that are accepted, or reported without
// their location.
func TestFaultsNameFileLineAndColumn(t *testing.T) {
	for _, c := range []struct{ old, replacement, want string }{
		{`"127.0.0.1:7001"` + "\n", `"m1:7001"` + "\n", `f.hcl:2:13: listen: "m1:7001" is not a valid address`},
		{`"127.0.0.1:7001"` + "\n", `"0.0.0.0:7001"` + "\n", `f.hcl:2:13: listen: 0.0.0.0:7001 is the unspecified address`},
		{`"127.0.0.1:7002"`, `"127.0.0.1:7001"`, `f.hcl:3:32: seeds: "127.0.0.1:7001" is listed twice`},
		{`"127.0.0.1:7002"`, `"127.0.0.1:0"`, `f.hcl:3:32: seeds: "127.0.0.1:0" is not a valid address`},
		{`["127.0.0.1:7001", "127.0.0.1:7002"]`, `[]`, `f.hcl:3:13: seeds: must be a list of 1 to 1024 strings`},
		{`"/var/lib/sabletally"`, `"data"`, `f.hcl:4:13: data: "data" is not an absolute path`},
		{`copies  = 3`, `copies  = 0`, `f.hcl:5:13: copies: 0 lies outside 1 to 7`},
		{`copies  = 3`, "copies  = 3\n  voters = 4", `f.hcl:6:12: voters: 4 is even`},
		{`"m1"`, `"m 1"`, `f.hcl:6:13: machine: "m 1" is not a valid name`},
		{`  zone    = "a"` + "\n", ``, `f.hcl:1:1: fleet requires the attribute "zone"`},
		{`fleet "istanbul"`, `fleet ""`, `f.hcl:1:7: fleet: "" is not a valid name`},
		{`fleet "istanbul"`, `flet "istanbul"`, `f.hcl:1:1: the file requires a block "fleet"`},
		{`site    =`, `sight   =`, `f.hcl:8:3: Unsupported argument`},
		{"}\n", "}\nfleet \"b\" {}\n", `f.hcl:10:1: a second block "fleet"; the first is in line 1`},
		{"}\n", "}\nhold \"intent\" {}\n", `f.hcl:10:6: hold: unknown kind "intent"`},
		{"}\n", "}\nhold \"intents\" {}\n", `f.hcl:10:1: hold requires the attribute "grades"`},
		{`copies  = 3`, "role = \"relay\"\n  copies  = 3", `f.hcl:5:10: role: "relay" is none of control, balancer`},
		{`copies  = 3`, "copies  = 3\n  followers = 4", `f.hcl:6:15: followers: only available with role "control"`},
		{`copies  = 3`, "role = \"control\"\n  followers = 0", `f.hcl:6:15: followers: 0 lies outside 1 to 10000`},
		{`copies  = 3`, "role = \"control\"\n  list_old = \"1h\"", `f.hcl:6:14: list_old: not available with role "control", which has no endpoint list`},
		{`copies  = 3`, "role = \"balancer\"\n  voters = 3", `f.hcl:6:12: voters: not available with role "balancer"`},
		{`copies  = 3`, "role = \"balancer\"", `f.hcl:2:13: listen: not available with role "balancer"`},
		{`  listen  = "127.0.0.1:7001"` + "\n", "  role = \"control\"\n", `f.hcl:1:1: fleet requires the attribute "listen"`},
		{"}\n", "  role = \"control\"\n}\nhold \"intents\" { grades = [\"pay\"] }\n", `f.hcl:11:1: hold: not available with role "control", which runs no sessions`},
		{`copies  = 3`, `copies  =`, `f.hcl:5:12: Invalid expression`},
	} {
		_, err := Parse([]byte(strings.Replace(completeFile, c.old, c.replacement, 1)), "f.hcl")
		if _, isDiagnostics := errors.AsType[hclconfig.Diagnostics](err); !isDiagnostics || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: got error %v, want %q", c.replacement, err, c.want)
		}
	}
}

// TestUnknownClassesAreReported checks that a class which the deployment does not define is reported with its location.
func TestUnknownClassesAreReported(t *testing.T) {
	f, err := Parse([]byte(completeFile+"hold \"intents\" { grades = [\"pay\", \"buy\"] }\n"), "f.hcl")
	if err != nil {
		t.Fatal(err)
	}
	if err := f.CheckClasses(map[string]int{"pay": 0, "buy": 1}); err != nil {
		t.Error(err)
	}
	if err := f.CheckClasses(map[string]int{"pay": 0}); err == nil || !strings.Contains(err.Error(), `f.hcl:10:35: grades: "buy" is not a grade`) {
		t.Error(err)
	}
}
