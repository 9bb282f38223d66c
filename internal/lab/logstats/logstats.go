// Package logstats sums up the debug logs of many balancers: random variation of one balancer averages out over all of them. It owns the
// number of logsing of these logs and the tables made of them. It must never check rules, and never need a running balancer.
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
	maxLineBytes   = 1 << 20    // of a log line
	maxRows        = 100_000    // from the first line to the last
	maxSetupMicros = 60_000_000 // longer set-ups count as this
)

// The columns of a row, in their order: the events that log lines are counted as.
const (
	Ready                 = iota // processes that have become ready
	Established                  // established sessions
	Ended                        // established sessions that ended or migrated
	TimedOut                     // attempts that timed out
	Failed                       // attempts that failed with an error
	Unconnected                  // attempts without a connection
	Rejected                     // attempts that were rejected, reset or canceled
	RejectedByBudget             // sessions rejected without an attempt
	RejectedAfterAttempts        // sessions rejected after attempts
	SessionFailed                // sessions that failed otherwise
	Lists                        // endpoint lists received
	NoList                       // requests to discovery that failed
	LoadEstimates                // health checks that gave a load
	Paces                        // changes of pace
	Slow                         // reports of slow messages
	columns
)

// ColumnNames are the names of the columns, as tables print them.
var ColumnNames = [columns]string{"ready", "stands", "ended", "timed-out", "failed", "no-conn", "turned", "braked", "nacked",
	"broken-off", "lists", "no-list", "guesses", "paces", "slow"}

// Row is one step of time, over all balancers.
type Row struct {
	At              time.Duration // since the first line of all logs
	Columns         [columns]int
	Sessions        int            // established at its end
	ServersPerGroup float64        `json:"Places"` // servers of a group, mean; 0 without groups
	SetupP50        time.Duration  `json:"Middle"` // median of the set-up times
	SetupP90        time.Duration  `json:"Late"`   // 90th percentile of the set-up times
	Servers         map[string]int // sessions by server, at its end
}

// Statistics is the sum of the logs.
type Statistics struct {
	Step   time.Duration
	Rows   []Row
	Names  []string // of the servers, sorted
	Unread int      // lines that are not log lines of a balancer
	Logs   int      // number of logs
}

// entry is the part of a log line that is counted. The names of its fields are those of the log.
type entry struct {
	Time     time.Time `json:"ts"`
	Message  string    `json:"msg"`
	Outcome  string    `json:"how"`
	Answer   string
	Attempts int `json:"tries"`
	Server   string
	Session  string  `json:"circuit"`
	After    float64 // seconds
	Group    uint64
}

// groupServer is a server of a group.
type groupServer struct {
	server string
	group  uint64 // 0: none
}

// event is one counted log line; noColumn if it only changes the number of sessions.
type event struct {
	at          time.Time
	column      int
	setupTime   time.Duration
	change      int // of the number of sessions of groupServer
	groupServer groupServer
}

const noColumn = -1

// Reader reads logs, one balancer's after the other, and sums them up.
type Reader struct {
	events []event
	unread int
	logs   int
}

// column returns the column that the entry counts in, or noColumn.
func (e *entry) column() int {
	switch e.Message {
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
		switch e.Outcome {
		case "timed-out":
			return TimedOut
		case "failed":
			return Failed
		case "connect-failed":
			return Unconnected
		}
		return Rejected
	case "not served":
		switch {
		case len(e.Answer) < 4 || e.Answer[:4] != "BUSY":
			return SessionFailed
		case e.Attempts == 0:
			return RejectedByBudget
		}
		return RejectedAfterAttempts
	}
	return noColumn
}

// Read reads the log of one balancer, with its restarts one after the other. Text before the JSON object of a line is skipped: a collector
// may have put its own time there. An error names the line.
func (r *Reader) Read(name string, log io.Reader) error {
	r.logs++
	sessions := map[string]groupServer{} // established sessions of the current process
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	line := 0
	for scanner.Scan() {
		line++
		entry, ok := parseEntry(scanner.Bytes())
		if !ok {
			r.unread++
			continue
		}
		r.add(&entry, sessions)
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("%s:%d: %w", name, line+1, err)
	}
	return nil
}

// parseEntry parses a log line, and reports whether it is one of a balancer.
func parseEntry(line []byte) (entry, bool) {
	var e entry
	start := bytes.IndexByte(line, '{')
	if start < 0 || json.Unmarshal(line[start:], &e) != nil || e.Time.IsZero() {
		return entry{}, false
	}
	return e, true
}

// add adds the events of an entry and updates the sessions of its process.
func (r *Reader) add(e *entry, sessions map[string]groupServer) {
	column := e.column()
	if column == noColumn {
		return
	}
	counted := event{at: e.Time, column: column}
	switch column {
	case Ready: // the sessions of an earlier process ended with it, at a time that is in no log
		for _, s := range sessions {
			r.events = append(r.events, event{at: e.Time, column: noColumn, change: -1, groupServer: s})
		}
		clear(sessions)
	case Established:
		counted.setupTime = time.Duration(e.After * float64(time.Second))
		counted.change = 1
		counted.groupServer = groupServer{server: e.Server, group: e.Group}
		sessions[e.Session] = counted.groupServer
	case Ended:
		if s, established := sessions[e.Session]; established {
			counted.change = -1
			counted.groupServer = s
			delete(sessions, e.Session)
		}
	}
	r.events = append(r.events, counted)
}

// Sum sums up what was read, in steps of time.
func (r *Reader) Sum(step time.Duration) (*Statistics, error) {
	if step <= 0 {
		return nil, fmt.Errorf("a step of %v is not positive", step)
	}
	f := &Statistics{Step: step, Unread: r.unread, Logs: r.logs}
	if len(r.events) == 0 {
		return f, nil
	}
	slices.SortStableFunc(r.events, func(a, b event) int { return a.at.Compare(b.at) })
	first := r.events[0].at
	length := r.events[len(r.events)-1].at.Sub(first)
	if length/step >= maxRows {
		return nil, fmt.Errorf("%v in steps of %v are over %d rows", length, step, maxRows)
	}
	s := newSummer()
	for i := range r.events {
		e := &r.events[i]
		for e.at.Sub(first) >= s.row.At+step {
			f.Rows = append(f.Rows, s.endRow(step))
		}
		s.add(e)
	}
	f.Rows = append(f.Rows, s.endRow(step))
	f.Names = slices.Sorted(maps.Keys(s.sessionsByServer))
	return f, nil
}

// summer sums up events in order of time.
type summer struct {
	row              Row // the current one
	setupTimes       *hdrhistogram.Histogram
	sessions         int
	sessionsByServer map[string]int
	sessionsByGroup  map[groupServer]int
	serversByGroup   map[uint64]int
}

func newSummer() *summer {
	return &summer{
		setupTimes:       hdrhistogram.New(1, maxSetupMicros, 3),
		sessionsByServer: map[string]int{},
		sessionsByGroup:  map[groupServer]int{},
		serversByGroup:   map[uint64]int{},
	}
}

func (s *summer) add(e *event) {
	if e.column != noColumn {
		s.row.Columns[e.column]++
	}
	if e.column == Established {
		_ = s.setupTimes.RecordValue(min(max(e.setupTime.Microseconds(), 1), maxSetupMicros)) // within its bounds: no error
	}
	if e.change == 0 {
		return
	}
	s.sessions += e.change
	s.sessionsByServer[e.groupServer.server] += e.change
	before := s.sessionsByGroup[e.groupServer]
	after := before + e.change
	s.sessionsByGroup[e.groupServer] = after
	group := e.groupServer.group
	if group == 0 || before != 0 && after != 0 {
		return
	}
	s.serversByGroup[group] += e.change
	if s.serversByGroup[group] == 0 {
		delete(s.serversByGroup, group)
	}
}

// endRow completes the current row and starts the next one.
func (s *summer) endRow(step time.Duration) Row {
	row := s.row
	row.Sessions = s.sessions
	row.Servers = maps.Clone(s.sessionsByServer)
	if len(s.serversByGroup) > 0 {
		servers := 0
		for _, count := range s.serversByGroup {
			servers += count
		}
		row.ServersPerGroup = float64(servers) / float64(len(s.serversByGroup))
	}
	if s.setupTimes.TotalCount() > 0 {
		row.SetupP50 = time.Duration(s.setupTimes.ValueAtQuantile(50)) * time.Microsecond
		row.SetupP90 = time.Duration(s.setupTimes.ValueAtQuantile(90)) * time.Microsecond
	}
	s.setupTimes.Reset()
	s.row = Row{At: row.At + step}
	return row
}
