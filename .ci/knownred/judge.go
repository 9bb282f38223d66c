package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

// most is how many tests may be known to be red at a time.
const most = 3

// test is one test, or a test within one, by its exact name: TestName or TestName/within.
type test struct{ pkg, name string }

func (t test) String() string { return t.pkg + " " + t.name }

// parse reads the list: one line a test, PACKAGE TEST | cause | issue NUMBER, at most three of them. It tells the first fault with
// its line's number.
func parse(text string) ([]test, error) {
	var all []test
	if text == "" {
		return nil, nil
	}
	for i, line := range strings.Split(strings.TrimSuffix(text, "\n"), "\n") {
		parts := strings.Split(line, " | ")
		if len(parts) != 3 {
			return nil, fmt.Errorf("line %d is not PACKAGE TEST | cause | issue NUMBER", i+1)
		}
		which := strings.Fields(parts[0])
		number, isIssue := strings.CutPrefix(parts[2], "issue ")
		switch {
		case len(which) != 2:
			return nil, fmt.Errorf("line %d: %q is not a package and a test", i+1, parts[0])
		case strings.TrimSpace(parts[1]) == "":
			return nil, fmt.Errorf("line %d names no cause", i+1)
		case !isIssue || number == "" || strings.Trim(number, "0123456789") != "":
			return nil, fmt.Errorf("line %d: %q is not issue NUMBER", i+1, parts[2])
		case slices.Contains(all, test{which[0], which[1]}):
			return nil, fmt.Errorf("line %d names %s again", i+1, test{which[0], which[1]})
		case len(all) == most:
			return nil, fmt.Errorf("line %d is one too many: %d tests at most", i+1, most)
		}
		all = append(all, test{which[0], which[1]})
	}
	return all, nil
}

// event is one line of go test -json.
type event struct {
	Action, Package, Test, Output string
}

// pkg is how a package ended.
type pkg struct {
	written strings.Builder // what is shown once it has ended
	failed  bool
	red     bool // one of its tests failed
	whole   bool // it ran all its tests, and says so
}

// seen is what a run of go test said.
type seen struct {
	pkgs  map[string]*pkg
	order []string
	ended map[test]string // how; "" for one that began and has not ended
}

// read takes a run in and writes it as go test -v does, each package whole, as soon as it has ended.
func read(in io.Reader, out io.Writer) (*seen, error) {
	s := &seen{pkgs: map[string]*pkg{}, ended: map[test]string{}}
	for lines := bufio.NewReader(in); ; {
		line, err := lines.ReadBytes('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, err
		}
		if len(line) == 0 {
			break
		}
		var e event
		if json.Unmarshal(line, &e) != nil { // said by something else; what go test itself makes of it counts
			e = event{Output: string(line)}
		}
		if e.Package == "" { // also what the compiler says
			if _, err := io.WriteString(out, e.Output); err != nil {
				return nil, err
			}
			continue
		}
		p := s.pkgs[e.Package]
		if p == nil {
			p = &pkg{}
			s.pkgs[e.Package] = p
			s.order = append(s.order, e.Package)
		}
		p.written.WriteString(e.Output)
		if e.Test != "" {
			s.test(p, e)
			continue
		}
		switch e.Action {
		case "output":
			p.whole = p.whole || e.Output == "FAIL\n"
		case "pass", "fail", "skip":
			p.failed = e.Action == "fail"
			if _, err := io.WriteString(out, p.written.String()); err != nil {
				return nil, err
			}
			p.written = strings.Builder{}
		}
	}
	for _, name := range s.order { // those that were cut off
		if _, err := io.WriteString(out, s.pkgs[name].written.String()); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *seen) test(p *pkg, e event) {
	t := test{e.Package, e.Test}
	switch e.Action {
	case "run":
		s.ended[t] = ""
	case "pass", "skip":
		s.ended[t] = e.Action
	case "fail":
		s.ended[t] = e.Action
		p.red = true
	}
}

// judge tells everything that keeps a run from passing, none where it passes: it has to have failed by exactly the tests that are
// known to be red, each in a package that ran to its end. failed is whether go test itself says so.
func (s *seen) judge(known []test, failed bool) []string {
	var why []string
	said := false
	for t, how := range s.ended {
		switch {
		case how == "":
			why = append(why, t.String()+" did not end")
		case how == "fail" && !slices.Contains(known, t):
			why = append(why, t.String()+" failed")
		}
	}
	for name, p := range s.pkgs {
		said = said || p.failed
		switch {
		case !p.failed && p.red:
			why = append(why, name+" has tests that failed and says that it passed")
		case !p.failed:
		case !p.red:
			why = append(why, name+" failed without a test that failed")
		case !p.whole:
			why = append(why, name+" broke off: not all its tests were run")
		}
	}
	for _, t := range known {
		switch s.ended[t] {
		case "fail":
		case "pass":
			why = append(why, t.String()+" is listed and passes: take its line out")
		case "skip":
			why = append(why, t.String()+" is listed and was skipped")
		default:
			if _, began := s.ended[t]; !began {
				why = append(why, t.String()+" is listed and was not run: there is none of that name")
			}
		}
	}
	if failed && !said {
		why = append(why, "go test failed, and no package says why")
	}
	if !failed && said {
		why = append(why, "go test passed, though a package failed")
	}
	slices.Sort(why)
	return why
}
