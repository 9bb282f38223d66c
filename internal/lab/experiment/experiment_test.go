package experiment

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sabletally/internal/hclconfig"
)

const completeFile = `experiment {
  mode   = "sockets"
  length = "10s"
}
world {
  server "std" { count = 3 }
}
load {
  rate = 5
  life = "10s"
}
`

// TestLoadRepositoryExperiments guards against changes of the format that make the repository's own experiment files invalid.
func TestLoadRepositoryExperiments(t *testing.T) {
	files, err := filepath.Glob("../../../lab/experiments/*.hcl")
	if err != nil || len(files) < 11 {
		t.Fatal(err, files)
	}
	for _, path := range append(files, "../../../cmd/testbed/demo.hcl") {
		if _, err := Load(path); err != nil {
			t.Error(err)
		}
	}
}

// TestParseCompleteFile checks that values of all kinds of blocks reach the experiment, and that defaults are set.
func TestParseCompleteFile(t *testing.T) {
	x, err := Parse([]byte(strings.Replace(completeFile, "rate = 5", "rate = 5\n  burst {\n at = \"1s\"\n for = \"2s\"\n times = 3\n}", 1)+
		`fault "slow" {
  at    = "2s"
  for   = "1500ms"
  part  = "30%"
  times = 4
}
arm "x" {
  policy = "least"
  limits {
    cores = 0.5
  }
}
`), "dir/some.hcl")
	if err != nil {
		t.Fatal(err)
	}
	f := x.World.Faults[0]
	if x.Name != "some" || len(x.World.Machines) != 3 || f.Share != 0.3 || f.For != 1500*time.Millisecond || f.Factor != 4 ||
		x.Arms[0].Policy != "least" || x.Arms[0].Limits.Cores != 0.5 || x.Arms[0].Limits.Sockets != 1024 || len(x.World.Load.Bursts) != 1 || x.World.Load.Length != 10*time.Second || x.World.ClassNames[0] != "feed" {
		t.Fatalf("%+v", x)
	}
}

// TestParseRejectsBadFiles checks the position and the text of each error. It guards against invalid files that are accepted, and
// against errors that point to the wrong place.
func TestParseRejectsBadFiles(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`length = "10s"`, `length = 10`, `f.hcl:3:12: length: 10 has no unit; must be a duration such as "10ms" or "10s"`},
		{`length = "10s"`, `length = "10"`, `f.hcl:3:12: length: "10" is not a duration such as "250ms"`},
		{`length = "10s"`, `length = "0s"`, "f.hcl:3:12: length: 0s lies outside 1s to 1h0m0s"},
		{`length = "10s"`, ``, `f.hcl:1:1: experiment requires the attribute "length"`},
		{`length = "10s"`, `lenght = "10s"`, `f.hcl:3:3: Unsupported argument: An argument named "lenght" is not expected here. Did you mean "length"?`}, //nolint:misspell // the misspelling is the case
		{`"sockets"`, `"socket"`, `f.hcl:2:12: mode: "socket" is none of sockets, virtual; did you mean "sockets"?`},
		{`count = 3`, `count = 3.5`, "f.hcl:6:26: count: 3.5 is not a whole number"},
		{`count = 3`, `count = 0`, "f.hcl:6:26: count: 0 lies outside 1 to 200"},
		{`count = 3`, `count = "x"`, "f.hcl:6:26: count: must be a number"},
		{`server "std" { count = 3 }`, ``, `f.hcl:5:1: world: wants 1 to 200 servers (blocks "server"), has 0`},
		{`rate = 5`, ``, "f.hcl:8:1: load: no clients: neither standing nor rate is set"},
		{`rate = 5`, `standing = 5`, "f.hcl:8:1: load: standing clients need a time within which they connect: fill"},
		{`rate = 5`, `rate = 900000`, "more than the limit of 20000"},
		{`rate = 5`, "rate = 5\n  fill = \"10s\"", "load: fill 10s leaves no time to measure"},
		{"load {", "lode {", `f.hcl:8:1: Unsupported block type: Blocks of type "lode" are not expected here. Did you mean "load"?`},
		{"load {", "load {}\nload {", `f.hcl:9:1: a second block "load"; the first is in line 8`},
		{"}\nload", "}\nfault \"drian\" {}\nload", `f.hcl:8:7: fault "drian" is none of`},
		{"}\nload", "}\nfault \"drian\" {}\nload", `did you mean "drain"?`},
		{"}\nload", "}\nfault \"crash\" {\n  at = \"1s\"\n  for = \"1s\"\n}\nload", `f.hcl:8:1: fault "crash" requires the attribute "part"`},
		{"}\nload", "}\nfault \"crash\" {\n  at = \"1s\"\n  for = \"1s\"\n  part = \"300%\"\n}\nload", `f.hcl:11:10: part: must be a percentage such as "30%"`},
		{"}\nload", "}\nfault \"crash\" {\n  at = \"11s\"\n  for = \"1s\"\n  part = 1\n}\nload", "f.hcl:9:8: at: 11s lies outside 0s to 10s"},
		{"}\nload", "}\narm \"a\" {\n  policy = \"ours\"\n  broken = \"two-tries\"\n}\nload", `f.hcl:8:1: arm "a": policy, binary and broken are mutually exclusive`},
		{"}\nload", "}\narm \"a\" {}\narm \"a\" {}\nload", `f.hcl:9:1: arm "a" is declared twice`},
		{"}\nload", "}\narm \"a\" {\n  policy = \"hsah\"\n}\nload", `f.hcl:9:12: policy: "hsah" is none of ours, random, least, hash; did you mean "hash"?`},
		{`"sockets"`, `"virtual"`, ""},
		{"\"sockets\"\n", "\"virtual\"\n  seeds = [1, 1]\n", "f.hcl:3:11: seeds: must hold only whole numbers from 0, each once"},
		{"\"sockets\"\n", "\"sockets\"\n  seeds = [1, -1]\n", "f.hcl:3:11: seeds: must hold only whole numbers"},
		{"server", "notice = [\"2s\", \"1s\"]\n  server", "f.hcl:6:12: notice: 2s is longer than 1s"},
		{"server", "outer_limit = \"100ms\"\n  server", "world: the outer limit 100ms is shorter than the set-up goal 300ms"},
		{"server", "grade \"g\" { effect = \"idem\" }\n  server", `effect: "idem" is none of deduplicated, idempotent, unrepeatable`},
		{"world {", "world", "f.hcl:5:1: Argument or block definition required"},
	} {
		x, err := Parse([]byte(strings.Replace(completeFile, c.old, c.new, 1)), "f.hcl")
		if c.want == "" {
			if err != nil {
				t.Errorf("file with %q: unexpected error %v", c.new, err)
			}
			continue
		}
		if err == nil || !strings.Contains(err.Error(), c.want) || x != nil {
			t.Errorf("file with %q: got error %v, want %q", c.new, err, c.want)
		}
	}
	// All errors of a file are returned at once, in the order of the file.
	_, err := Parse([]byte(strings.NewReplacer(`"10s"`, `10`, "count = 3", "count = 0", "rate = 5", "rate = -1").Replace(completeFile)), "f.hcl")
	var faults hclconfig.Diagnostics
	if !errors.As(err, &faults) || len(faults) < 4 || faults[0].Line != 3 || faults[len(faults)-1].Line < 9 {
		t.Errorf("a file with four errors gave: %v", err)
	}
	if _, err := Parse([]byte("experiment {\n  mode = 5\n}\n"), "f.hcl"); err == nil || !strings.Contains(err.Error(), "f.hcl:2:10: mode: must be a quoted string") ||
		!strings.Contains(err.Error(), `requires a block "world"`) {
		t.Errorf("a file with a number as mode and without a world gave: %v", err)
	}
	if _, err := Load(filepath.Join(t.TempDir(), "none.hcl")); !os.IsNotExist(err) {
		t.Error(err)
	}
}

// FuzzParse checks that for any text Parse returns either an experiment or errors with positions, and does not panic.
func FuzzParse(f *testing.F) {
	f.Add(completeFile)
	for _, path := range []string{"release", "scale", "rough-servers"} {
		text, err := os.ReadFile("../../../lab/experiments/" + path + ".hcl")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(string(text))
	}
	f.Add(strings.Replace(completeFile, "3", "[]", 1))
	f.Add(strings.Replace(completeFile, `"10s"`, "null", 1))
	f.Add("experiment {}\nworld {}\nload {}")
	f.Fuzz(func(t *testing.T, text string) {
		x, err := Parse([]byte(text), "f.hcl")
		var faults hclconfig.Diagnostics
		hasDiagnostics := errors.As(err, &faults)
		if err == nil && x == nil || err != nil && (!hasDiagnostics || len(faults) == 0 || faults[0].File != "f.hcl" || faults[0].Line == 0) {
			t.Fatalf("Parse returned neither an experiment nor errors with positions: %v", err)
		}
	})
}
