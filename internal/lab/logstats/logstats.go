// Package logstats summarizes the debug logs of many balancers over time: the random variation of a single balancer averages out over all of
// them. It owns the parsing of these logs and the rows of the tables that are made from them. It must never check rules, and never need a
// running balancer.
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
	maxLineBytes   = 1 << 20    // limit for the length of a log line
	maxRows        = 100_000    // limit for the number of rows from the first line to the last
	maxSetupMicros = 60_000_000 // limit for recorded set-up times; longer ones count as this
)

// The columns of a row, in their order. Each is a kind of event that log lines are counted as.
const (
	ReadyProcesses          = iota // processes that have become ready
	EstablishedSessions            // established sessions
	EndedSessions                  // established sessions that ended or migrated
	TimedOutAttempts               // attempts that timed out
	FailedAttempts                 // attempts that failed with an error
	UnconnectedAttempts            // attempts that got no connection
	RejectedAttempts               // attempts that were rejected, reset or canceled
	RejectedByBudget               // sessions rejected before any attempt
	RejectedAfterAttempts          // sessions rejected after attempts
	FailedSessions                 // sessions that failed for other reasons
	EndpointLists                  // endpoint lists received
	FailedDiscoveryRequests        // requests for an endpoint list that failed
	LoadEstimates                  // load estimates of health checks
	SpeedChanges                   // changes of the estimated speed of a server
	SlowMessageReports             // reports of slow messages
	columnCount
)

// ColumnNames are the names of the columns as tables print them.
var ColumnNames = [columnCount]string{"ready", "stands", "ended", "timed-out", "failed", "no-conn", "turned", "braked", "nacked",
	"broken-off", "lists", "no-list", "guesses", "paces", "slow"}

// Row holds the counts of one step of time, over all balancers.
type Row struct {
	At              time.Duration // start of the step, since the first line of all logs
	Columns         [columnCount]int
	Sessions        int            // sessions that are established at the end of the step
	ServersPerGroup float64        `json:"Places"` // mean number of servers that hold sessions of a group; 0 without groups
	SetupP50        time.Duration  `json:"Middle"` // median set-up time
	SetupP90        time.Duration  `json:"Late"`   // 90th percentile of the set-up times
	Servers         map[string]int // established sessions by server, at the end of the step
}

// Statistics is the summary of all logs.
type Statistics struct {
	Step   time.Duration // length of a row
	Rows   []Row
	Names  []string // names of the servers, sorted
	Unread int      // number of lines that are not log lines of a balancer
	Logs   int      // number of logs
}

// entry holds the fields of a log line that are evaluated. Their JSON names are those of the log.
type entry struct {
	Time     time.Time `json:"ts"`
	Message  string    `json:"msg"`
	Outcome  string    `json:"how"`
	Answer   string
	Attempts int `json:"tries"`
	Server   string
	Session  string  `json:"circuit"`
	After    float64 // set-up time in seconds
	Group    uint64
}

// groupServer identifies a server and the group of a session on it.
type groupServer struct {
	server string
	group  uint64 // 0 if the session has no group
}

// event is the effect of a log line on the counts.
type event struct {
	at            time.Time
	column        int           // noColumn if the event only changes the number of sessions
	setupTime     time.Duration // set-up time of a session that was established
	sessionChange int           // change of the number of sessions of groupServer
	groupServer   groupServer
}

// noColumn stands for a log line or event that is counted in no column.
const noColumn = -1

// Reader reads the logs of balancers, one after the other, and summarizes them.
type Reader struct {
	events []event
	unread int
	logs   int
}

// column returns the column that the entry counts in, or noColumn. Where a log message was reworded, the earlier one is read too.
func (e *entry) column() int {
	switch e.Message {
	case "ready":
		return ReadyProcesses
	case "session established", "stands":
		return EstablishedSessions
	case "session ended", "stood":
		return EndedSessions
	case "endpoint list received", "list":
		return EndpointLists
	case "endpoint list request failed", "no list":
		return FailedDiscoveryRequests
	case "load estimated", "guess":
		return LoadEstimates
	case "machine speed changed", "pace":
		return SpeedChanges
	case "slow messages":
		return SlowMessageReports
	case "attempt ended", "try ended":
		switch e.Outcome {
		case "timed-out":
			return TimedOutAttempts
		case "failed":
			return FailedAttempts
		case "connect-failed":
			return UnconnectedAttempts
		}
		return RejectedAttempts
	case "session not served", "not served":
		switch {
		case len(e.Answer) < 4 || e.Answer[:4] != "BUSY":
			return FailedSessions
		case e.Attempts == 0:
			return RejectedByBudget
		}
		return RejectedAfterAttempts
	}
	return noColumn
}

// Read reads the log of one balancer, whose processes follow each other in it. Text before the JSON object of a line is skipped: a log
// collector may have put its own timestamp there. An error names the line.
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

// parseEntry parses a line, and reports whether it is a log line of a balancer.
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
	case ReadyProcesses: // the sessions of the earlier process ended with it, but no line tells when
		for _, s := range sessions {
			r.events = append(r.events, event{at: e.Time, column: noColumn, sessionChange: -1, groupServer: s})
		}
		clear(sessions)
	case EstablishedSessions:
		counted.setupTime = time.Duration(e.After * float64(time.Second))
		counted.sessionChange = 1
		counted.groupServer = groupServer{server: e.Server, group: e.Group}
		sessions[e.Session] = counted.groupServer
	case EndedSessions:
		if s, established := sessions[e.Session]; established {
			counted.sessionChange = -1
			counted.groupServer = s
			delete(sessions, e.Session)
		}
	}
	r.events = append(r.events, counted)
}

// Sum summarizes the logs that were read, in rows of a step of time each.
func (r *Reader) Sum(step time.Duration) (*Statistics, error) {
	if step <= 0 {
		return nil, fmt.Errorf("step %v is not positive", step)
	}
	stats := &Statistics{Step: step, Unread: r.unread, Logs: r.logs}
	if len(r.events) == 0 {
		return stats, nil
	}
	slices.SortStableFunc(r.events, func(a, b event) int { return a.at.Compare(b.at) })
	first := r.events[0].at
	length := r.events[len(r.events)-1].at.Sub(first)
	if length/step >= maxRows {
		return nil, fmt.Errorf("logs of %v in steps of %v need more than %d rows", length, step, maxRows)
	}
	b := newRowBuilder()
	for i := range r.events {
		e := &r.events[i]
		for e.at.Sub(first) >= b.row.At+step {
			stats.Rows = append(stats.Rows, b.endRow(step))
		}
		b.add(e)
	}
	stats.Rows = append(stats.Rows, b.endRow(step))
	stats.Names = slices.Sorted(maps.Keys(b.sessionsByServer))
	return stats, nil
}

// rowBuilder computes the rows from the events in order of time.
type rowBuilder struct {
	row              Row                     // current row
	setupTimes       *hdrhistogram.Histogram // set-up times of the current row, in microseconds
	sessions         int                     // sessions that are established now
	sessionsByServer map[string]int
	sessionsByGroup  map[groupServer]int
	serversByGroup   map[uint64]int
}

func newRowBuilder() *rowBuilder {
	return &rowBuilder{
		setupTimes:       hdrhistogram.New(1, maxSetupMicros, 3),
		sessionsByServer: map[string]int{},
		sessionsByGroup:  map[groupServer]int{},
		serversByGroup:   map[uint64]int{},
	}
}

// add adds an event to the current row.
func (b *rowBuilder) add(e *event) {
	if e.column != noColumn {
		b.row.Columns[e.column]++
	}
	if e.column == EstablishedSessions {
		_ = b.setupTimes.RecordValue(min(max(e.setupTime.Microseconds(), 1), maxSetupMicros)) // values within the bounds give no error
	}
	if e.sessionChange == 0 {
		return
	}
	b.sessions += e.sessionChange
	b.sessionsByServer[e.groupServer.server] += e.sessionChange
	before := b.sessionsByGroup[e.groupServer]
	after := before + e.sessionChange
	b.sessionsByGroup[e.groupServer] = after
	group := e.groupServer.group
	if group == 0 || before != 0 && after != 0 {
		return
	}
	b.serversByGroup[group] += e.sessionChange
	if b.serversByGroup[group] == 0 {
		delete(b.serversByGroup, group)
	}
}

// endRow completes the current row and starts the next one.
func (b *rowBuilder) endRow(step time.Duration) Row {
	row := b.row
	row.Sessions = b.sessions
	row.Servers = maps.Clone(b.sessionsByServer)
	if len(b.serversByGroup) > 0 {
		servers := 0
		for _, count := range b.serversByGroup {
			servers += count
		}
		row.ServersPerGroup = float64(servers) / float64(len(b.serversByGroup))
	}
	if b.setupTimes.TotalCount() > 0 {
		row.SetupP50 = time.Duration(b.setupTimes.ValueAtQuantile(50)) * time.Microsecond
		row.SetupP90 = time.Duration(b.setupTimes.ValueAtQuantile(90)) * time.Microsecond
	}
	b.setupTimes.Reset()
	b.row = Row{At: row.At + step}
	return row
}
