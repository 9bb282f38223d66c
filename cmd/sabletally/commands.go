// This file owns the program's commands: what an operator asks of files and of running processes. Without arguments the program
// is the balancer. But for those that say so (put, control) a command must never change anything.

package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"sabletally/internal/fleet"
	"sabletally/internal/fleet/config"
	"sabletally/internal/fleet/datadir"
	"sabletally/internal/fleet/store"
	"sabletally/internal/hclconfig"
)

const askWithin = 5 * time.Second // a balancer's operators' address answers within one

type commands struct {
	Fleet struct {
		Check   checkCmd   `cmd:"" help:"Reads the fleet's file and names each fault by file, line and column."`
		Verify  verifyCmd  `cmd:"" help:"Reads all of a member's directory, whose process has ended, and holds it against its checksums."`
		Status  statusCmd  `cmd:"" help:"Shows how a balancer or control process sees the fleet."`
		Control controlCmd `cmd:"" help:"Is a control process, which balancers follow, until SIGTERM or SIGINT."`
		Put     putCmd     `cmd:"" help:"Changes an item of configuration for the whole fleet, and prints the version that has it."`
		Get     getCmd     `cmd:"" help:"Prints an item as a control process publishes it."`
	} `cmd:"" help:"The other balancers, and what is held for them."`
}

// command runs one and answers the program's exit code: 0, 1 where it failed, 2 where it was called wrongly or a file is.
func command(args []string) int {
	parser, err := kong.New(&commands{}, kong.Name("sabletally"), kong.UsageOnError(),
		kong.Description("Without arguments, the balancer: it is told by its environment what it is (see the README)."))
	if err != nil {
		panic(err) // the struct above
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "sabletally:", err)
		return 2
	}
	if err := ctx.Run(); err != nil {
		if _, is := errors.AsType[wrongFile](err); is {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		eachFault(err, func(err error) { fmt.Fprintln(os.Stderr, err) })
		if _, is := errors.AsType[hclconfig.Diagnostics](err); is {
			return 2
		}
		return 1
	}
	return 0
}

// eachFault hands out what is wrong one by one.
func eachFault(err error, each func(error)) {
	all, is := errors.AsType[hclconfig.Diagnostics](err)
	if !is {
		each(err)
	}
	for _, f := range all {
		each(f)
	}
}

type checkCmd struct {
	File string `arg:"" help:"The fleet's file."`
}

// Run checks a file.
func (c checkCmd) Run() error {
	f, err := config.Read(c.File)
	if err != nil {
		return err
	}
	switch f.Role {
	case config.RoleBalancer:
		fmt.Printf("%s: fleet %q, a balancer that follows control processes; machine %s, zone %s, site %s\n", c.File, f.FleetName, f.Machine, f.Zone, f.Site)
	case config.RoleControl:
		fmt.Printf("%s: fleet %q, a control process for %d followers, %d voters, %d copies; machine %s, zone %s, site %s, reached at %v\n", c.File, f.FleetName,
			f.MaxSubscribers, f.Voters, f.ReplicationFactor, f.Machine, f.Zone, f.Site, f.Advertise)
	default:
		fmt.Printf("%s: fleet %q, %d copies; this member: machine %s, zone %s, site %s, reached at %v\n", c.File, f.FleetName, f.ReplicationFactor, f.Machine, f.Zone,
			f.Site, f.Advertise)
	}
	return nil
}

type verifyCmd struct {
	Dir string `arg:"" help:"The directory that the fleet's file names as data."`
}

// Run reads a directory.
func (c verifyCmd) Run() error {
	card, err := datadir.ReadIdentity(c.Dir)
	if err != nil {
		return err
	}
	saved, err := store.Inspect(c.Dir)
	if err != nil {
		return err
	}
	kinds, all, size := map[string]int{}, 0, 0
	for _, s := range saved.Shards {
		for _, r := range s.Records {
			kind, _, _ := strings.Cut(r.Key, "/")
			kinds[kind]++
			all++
			size += len(r.Key) + len(r.Value)
		}
	}
	fmt.Printf("%s: member %s of fleet %q (%s), machine %s, life %d\n", c.Dir, card.MemberID, card.FleetName, saved.FleetID, card.Machine, card.Incarnation)
	fmt.Printf("%d records of %d bytes in %d slots, %d entries of the log behind a snapshot of %d bytes: all checksums hold\n", all, size, len(saved.Shards),
		len(saved.Log.Entries), len(saved.Log.Snapshot))
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		fmt.Printf("  %s: %d\n", kind, kinds[kind])
	}
	return nil
}

type statusCmd struct {
	Address string `arg:"" help:"The operators' address of a balancer or control process, such as 127.0.0.1:15000."`
	JSON    bool   `help:"As the process says it."`
}

// Run asks one balancer.
func (c statusCmd) Run() error {
	r, err := (&http.Client{Timeout: askWithin}).Get("http://" + c.Address + "/control/fleet")
	if err != nil {
		return err
	}
	defer func() { _ = r.Body.Close() }()
	text, err := io.ReadAll(r.Body)
	switch {
	case err != nil:
		return err
	case r.StatusCode == http.StatusNotFound:
		return fmt.Errorf("%s: the balancer is in no fleet: %s was not set when it started", c.Address, fleetFile)
	case r.StatusCode != http.StatusOK:
		return fmt.Errorf("%s: %s: %s", c.Address, r.Status, text)
	case c.JSON:
		_, err := os.Stdout.Write(text)
		return err
	}
	var s fleet.Report
	if err := json.Unmarshal(text, &s); err != nil {
		return fmt.Errorf("%s: %w", c.Address, err)
	}
	show(os.Stdout, s)
	return nil
}

// show puts a report in a table.
func show(out io.Writer, s fleet.Report) {
	if !s.Member {
		_, _ = fmt.Fprintf(out, "fleet %s: this process is no member: %s\n", s.Fleet, s.Reason)
		return
	}
	if f := s.Subscriber; f != nil {
		_, _ = fmt.Fprintf(out, "fleet %s: follows %s; version %d, %s, %.1f s old; %d keys of %d bytes, %d changes, %d snapshots, %d times not current, %d conflicts\n",
			s.Fleet, cmp.Or(strings.Join(f.Publishers, ", "), "nobody"), f.Version, s.Standing, f.Age, f.Keys, f.Bytes, f.Changes, f.Snapshots, f.LeaseExpiries, f.Conflicts)
		return
	}
	if p := s.Publisher; p != nil {
		_, _ = fmt.Fprintf(out, "publishes version %d, %.1f s old; %d of %d followers, %d have it, lowest %d, %d wait for a snapshot, %d take nothing; %d snapshots, %d lapsed, %d full\n",
			p.Version, p.Age, p.Subscribers, p.MaxSubscribers, p.Current, p.LowestVersion, p.AwaitingSnapshot, p.Blocked, p.Snapshots, p.LeaseExpiries, p.RejectedFull)
	}
	if h := s.Store; h != nil {
		defer func() {
			_, _ = fmt.Fprintf(out, "epoch %d of %d members, %d records here (%d bytes, file %d), slots by holders: %v", h.Epoch, h.Members, h.Records, h.Bytes, h.FileBytes, h.ShardsByReplicas)
			if h.Voters > 0 {
				_, _ = fmt.Fprintf(out, "; one of %d voters", h.Voters)
			}
			if h.IsLeader {
				_, _ = fmt.Fprint(out, ", leads the log")
			}
			if h.DiskError != "" {
				_, _ = fmt.Fprintf(out, "; promises nothing: %s", h.DiskError)
			}
			_, _ = fmt.Fprintln(out)
		}()
	}
	_, _ = fmt.Fprintf(out, "fleet %s: %s, %d of %d members here, on %d machines for %d copies; health %d, stopped %d times\n", s.Fleet, s.Standing, s.Alive,
		len(s.Others)+1, s.Machines, s.Replicas, s.Health, s.Pauses)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "member\tmachine\tzone\tsite\taddress\tlife\tstate\tsince\tid")
	for _, m := range append([]fleet.MemberReport{*s.Self}, s.Others...) {
		state, since := m.State, time.Duration(m.Seconds*float64(time.Second)).Round(time.Second).String()
		if m.ID == s.Self.ID {
			state, since = "this one", "-"
		}
		if m.ReplacedBy != "" {
			state += ", replaced"
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%.8s\n", m.Name, m.Machine, m.Zone, m.Site, m.Addr, m.Incarnation, state, since, m.ID)
	}
	_ = t.Flush()
}
