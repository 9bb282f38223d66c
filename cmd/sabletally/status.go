package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"sabletally/internal/fleet"
)

type statusCmd struct {
	Address string `arg:"" help:"The operators' address of a balancer or control process, such as 127.0.0.1:15000."`
	JSON    bool   `help:"As the process says it."`
}

// Run gets the fleet report of a process and prints it.
func (c statusCmd) Run() error {
	client := http.Client{Timeout: callTimeout}
	response, err := client.Get("http://" + c.Address + "/control/fleet")
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // an error loses no data, as the body was read
	text, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		return err
	case response.StatusCode == http.StatusNotFound:
		return fmt.Errorf("%s: the balancer is not in a fleet: %s was not set when it started", c.Address, fleetFileVariable)
	case response.StatusCode != http.StatusOK:
		return fmt.Errorf("%s: %s: %s", c.Address, response.Status, text)
	case c.JSON:
		_, err := os.Stdout.Write(text)
		return err
	}
	var report fleet.Report
	if err := json.Unmarshal(text, &report); err != nil {
		return fmt.Errorf("%s: decode the fleet report: %w", c.Address, err)
	}
	_, err = io.WriteString(os.Stdout, formatReport(report))
	return err
}

// formatReport formats a fleet report as text and tables.
func formatReport(r fleet.Report) string {
	var out strings.Builder
	switch {
	case !r.Member:
		fmt.Fprintf(&out, "fleet %s: this process is no member: %s\n", r.Fleet, r.Reason)
	case r.Subscriber != nil:
		formatSubscriber(&out, r)
	default:
		if r.Publisher != nil {
			formatPublisher(&out, r.Publisher)
		}
		formatMembers(&out, r)
		if r.Store != nil {
			formatStore(&out, r.Store)
		}
	}
	return out.String()
}

func formatSubscriber(out *strings.Builder, r fleet.Report) {
	s := r.Subscriber
	fmt.Fprintf(out, "fleet %s: follows %s; version %d, %s, %.1f s old; %d keys of %d bytes, %d changes, %d snapshots, %d times not current, %d conflicts\n",
		r.Fleet, cmp.Or(strings.Join(s.Publishers, ", "), "nobody"), s.Version, r.Standing, s.Age, s.Keys, s.Bytes, s.Changes, s.Snapshots,
		s.LeaseExpiries, s.Conflicts)
}

func formatPublisher(out *strings.Builder, p *fleet.PublisherReport) {
	fmt.Fprintf(out, "publishes version %d, %.1f s old; %d of %d followers, %d have it, lowest %d, %d wait for a snapshot, %d take nothing; %d snapshots, %d lapsed, %d full\n",
		p.Version, p.Age, p.Subscribers, p.MaxSubscribers, p.Current, p.LowestVersion, p.AwaitingSnapshot, p.Blocked, p.Snapshots,
		p.LeaseExpiries, p.RejectedFull)
}

func formatMembers(out *strings.Builder, r fleet.Report) {
	fmt.Fprintf(out, "fleet %s: %s, %d of %d members here, on %d machines for %d copies; health %d, stopped %d times\n",
		r.Fleet, r.Standing, r.Alive, len(r.Others)+1, r.Machines, r.Replicas, r.Health, r.Pauses)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "member\tmachine\tzone\tsite\taddress\tlife\tstate\tsince\tid") // writing to memory never fails
	for _, m := range append([]fleet.MemberReport{*r.Self}, r.Others...) {
		state := m.State
		since := time.Duration(m.Seconds * float64(time.Second)).Round(time.Second).String()
		if m.ID == r.Self.ID {
			state = "this one"
			since = "-"
		}
		if m.ReplacedBy != "" {
			state += ", replaced"
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%.8s\n", // writing to memory never fails
			m.Name, m.Machine, m.Zone, m.Site, m.Addr, m.Incarnation, state, since, m.ID)
	}
	_ = table.Flush() // writing to memory never fails
}

func formatStore(out *strings.Builder, s *fleet.StoreReport) {
	fmt.Fprintf(out, "epoch %d of %d members, %d records here (%d bytes, file %d), slots by holders: %v",
		s.Epoch, s.Members, s.Records, s.Bytes, s.FileBytes, s.ShardsByReplicas)
	if s.Voters > 0 {
		fmt.Fprintf(out, "; one of %d voters", s.Voters)
	}
	if s.IsLeader {
		out.WriteString(", leads the log")
	}
	if s.DiskError != "" {
		fmt.Fprintf(out, "; promises nothing: %s", s.DiskError)
	}
	out.WriteString("\n")
}
