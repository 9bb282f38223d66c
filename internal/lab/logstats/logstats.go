// Package logstats sums up the debug logs of many balancers: one balancer's log shows chance, their sum does not.
// It owns the reading of these logs and the tables made of them. It must never check rules, and never need a running world.
package logstats

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	longest  = 1 << 20    // bytes of a line
	mostRows = 100_000    // steps of time from the first line to the last
	slowest  = 60_000_000 // microseconds that a set-up is counted for
)

// The columns of a row, in their order: what the balancers' messages are counted as.
const (
	Ready                 = iota // processes that welcome clients
	Established                  // sessions established
	Ended                        // that stood, and ended or were moved
	TimedOut                     // attempts that ended so
	Failed                       // or with an error
	Unconnected                  // or without a connection
	Turned                       // or turned away, reset, called off
	RejectedByBudget             // rejections without an attempt
	RejectedAfterAttempts        // rejections after attempts
	BrokenOff                    // other final answers but UP
	Lists                        // that came
	NoList                       // calls to discovery that failed
	LoadEstimates                // probes that gave a load
	Paces                        // steps of pace
	Slow                         // notes of slow messages
	columns
)

// Names of the columns.
var Names = [columns]string{"ready", "stands", "ended", "timed-out", "failed", "no-conn", "turned", "braked", "nacked",
	"broken-off", "lists", "no-list", "guesses", "paces", "slow"}

// Row is one step of time over all balancers.
type Row struct {
	At       time.Duration // from the first line of all on
	Columns  [columns]int
	Sessions int            // connections that stand at its end
	Places   float64        // servers that a group stands at, on the mean; 0 where none carries a group
	Middle   time.Duration  // half of the set-ups of this step took no longer,
	Late     time.Duration  // and nine of ten
	Servers  map[string]int // connections at each at its end
}

// Fleet is the sum of the logs.
type Fleet struct {
	Step   time.Duration
	Rows   []Row
	Names  []string // of the servers, sorted
	Unread int      // lines that are no log lines of a balancer
	Logs   int      // read
}

// entry is a log line, as far as it is counted.
type entry struct {
	Ts      time.Time
	Msg     string
	How     string
	Answer  string
	Tries   int
	Server  string
	Circuit string
	After   float64 // seconds
	Group   uint64
}

// place is a server where a group stands.
type place struct {
	server string
	group  uint64
}

// happening is one line, kept until the first line of all is known.
type happening struct {
	at     time.Time
	column int
	took   time.Duration
	change int // of the connections at a place
	place  place
}

// Reader takes logs, one balancer's after the other, and adds them up.
type Reader struct {
	all    []happening
	unread int
	logs   int
}

// column returns the column that a message counts in, -1 for none.
func (e *entry) column() int {
	switch e.Msg {
	case "ready":
		return Ready
	case "stands":
		return Established
	case "stood":
		return Ended
	case "list":
		return Lists
	case "no list":
		return NoList
	case "guess":
		return LoadEstimates
	case "pace":
		return Paces
	case "slow messages":
		return Slow
	case "try ended":
		switch e.How {
		case "timed-out":
			return TimedOut
		case "failed":
			return Failed
		case "connect-failed":
			return Unconnected
		}
		return Turned
	case "not served":
		switch {
		case len(e.Answer) < 4 || e.Answer[:4] != "BUSY":
			return BrokenOff
		case e.Tries == 0:
			return RejectedByBudget
		}
		return RejectedAfterAttempts
	}
	return -1
}

// Read takes one balancer's log, its restarts one after the other. What stands before a line's object is passed by, as a
// collector may put its own time there. An error names the line.
func (r *Reader) Read(name string, log io.Reader) error {
	r.logs++
	open := map[string]place{} // of this process
	in := bufio.NewScanner(log)
	in.Buffer(nil, longest)
	row := 0
	for in.Scan() {
		row++
		text := in.Bytes()
		e := entry{}
		at := bytes.IndexByte(text, '{')
		if at < 0 || json.Unmarshal(text[at:], &e) != nil || e.Ts.IsZero() {
			r.unread++
			continue
		}
		column := e.column()
		if column < 0 {
			continue
		}
		h := happening{at: e.Ts, column: column}
		switch column {
		case Ready: // what an earlier process held went with it; the moment of its end is in no log
			for _, p := range open {
				r.all = append(r.all, happening{at: e.Ts, column: -1, change: -1, place: p})
			}
			clear(open)
		case Established:
			h.took, h.change, h.place = time.Duration(e.After*float64(time.Second)), 1, place{e.Server, e.Group}
			open[e.Circuit] = h.place
		case Ended:
			if p, stood := open[e.Circuit]; stood {
				h.change, h.place = -1, p
				delete(open, e.Circuit)
			}
		}
		r.all = append(r.all, h)
	}
	if err := in.Err(); err != nil {
		return fmt.Errorf("%s:%d: %w", name, row+1, err)
	}
	return nil
}

// Sum adds up what was read, in steps of time.
func (r *Reader) Sum(step time.Duration) (*Fleet, error) {
	if step <= 0 {
		return nil, fmt.Errorf("a step of %v is none", step)
	}
	f := &Fleet{Step: step, Unread: r.unread, Logs: r.logs}
	if len(r.all) == 0 {
		return f, nil
	}
	slices.SortStableFunc(r.all, func(x, y happening) int { return x.at.Compare(y.at) })
	first := r.all[0].at
	if last := r.all[len(r.all)-1].at.Sub(first); last/step >= mostRows {
		return nil, fmt.Errorf("%v in steps of %v are over %d rows", last, step, mostRows)
	}
	took := hdrhistogram.New(1, slowest, 3)
	at, groups := map[place]int{}, map[uint64]int{} // connections at a place; places of a group
	held, servers := 0, map[string]int{}
	row := Row{}
	end := func() {
		row.Sessions, row.Servers = held, maps.Clone(servers)
		if len(groups) > 0 {
			places := 0
			for _, n := range groups {
				places += n
			}
			row.Places = float64(places) / float64(len(groups))
		}
		if took.TotalCount() > 0 {
			row.Middle = time.Duration(took.ValueAtQuantile(50)) * time.Microsecond
			row.Late = time.Duration(took.ValueAtQuantile(90)) * time.Microsecond
		}
		took.Reset()
		f.Rows = append(f.Rows, row)
		row = Row{At: row.At + step}
	}
	for _, h := range r.all {
		for h.at.Sub(first) >= row.At+step {
			end()
		}
		if h.column >= 0 {
			row.Columns[h.column]++
		}
		if h.column == Established {
			_ = took.RecordValue(min(max(h.took.Microseconds(), 1), slowest))
		}
		if h.change == 0 {
			continue
		}
		was := at[h.place]
		at[h.place] += h.change
		held, servers[h.place.server] = held+h.change, servers[h.place.server]+h.change
		if now := at[h.place]; h.place.group != 0 && (was == 0 || now == 0) {
			groups[h.place.group] += h.change
			if groups[h.place.group] == 0 {
				delete(groups, h.place.group)
			}
		}
	}
	end()
	f.Names = slices.Sorted(maps.Keys(servers))
	return f, nil
}
