package changefeed

import "fmt"

// LogConfig bounds the ring of newest changes; what is cut from it is no longer told by changes, but by a snapshot.
type LogConfig struct {
	MaxChanges int // changes
	MaxBytes   int // of them, as Change.Size counts; the newest one is kept whatever its size
}

// Log is a state with the newest of the changes that led to it.
type Log struct {
	config         LogConfig
	state          *State
	entries        []entry // the newest changes in order, without a gap, up to the state's version
	bytes          int
	latestSnapshot *SharedMessage // the newest that was built, nil where there is none
}

type entry struct {
	change  *Change
	message *SharedMessage
	size    int
}

// NewLog begins empty.
func NewLog(cfg LogConfig) *Log {
	return &Log{config: LogConfig{MaxChanges: max(1, cfg.MaxChanges), MaxBytes: max(1, cfg.MaxBytes)}, state: NewState()}
}

// State is what the log has come to, not to be changed but through the log.
func (l *Log) State() *State { return l.state }

// Fleet, Version and Digest are the state's.
func (l *Log) Fleet() string   { return l.state.Fleet() }
func (l *Log) Version() uint64 { return l.state.Version() }
func (l *Log) Digest() uint64  { return l.state.Digest() }

// Changes is the number of changes in the ring, Bytes their size.
func (l *Log) Changes() int { return len(l.entries) }
func (l *Log) Bytes() int   { return l.bytes }

// Append makes the next version at the source: the change is applied, kept, and handed out for the others. The items are kept as
// they are. ErrItem, ErrFull and ErrFleet leave all as it was.
func (l *Log) Append(items []Item) (Change, error) {
	c, err := l.state.nextChange(items)
	if err != nil {
		return Change{}, err
	}
	return c, l.Apply(c)
}

// Apply takes the next change. An old one whose content the ring knows to be another is ErrConflict.
func (l *Log) Apply(c Change) error {
	if c.Version < l.Version() {
		if d, is := l.digestAt(c.Version); is && d != c.DigestAfter {
			return fmt.Errorf("%w: version %d with digest %016x, here %016x", ErrConflict, c.Version, c.DigestAfter, d)
		}
	}
	if err := l.state.Apply(c); err != nil {
		return err
	}
	e := entry{change: &c, size: c.Size()}
	e.message = &SharedMessage{Content: Message{Change: e.change}}
	l.entries = append(l.entries, e)
	l.bytes += e.size
	cut := 0
	for len(l.entries)-cut > 1 && (len(l.entries)-cut > l.config.MaxChanges || l.bytes > l.config.MaxBytes) {
		l.bytes -= l.entries[cut].size
		l.entries[cut] = entry{}
		cut++
	}
	l.entries = l.entries[cut:]
	return nil
}

// Install replaces all by a snapshot; the changes before it are forgotten.
func (l *Log) Install(n Snapshot) error {
	was := l.Version()
	if err := l.state.Install(n); err != nil {
		return err
	}
	if l.Version() != was {
		l.entries, l.bytes, l.latestSnapshot = nil, 0, nil
	}
	return nil
}

// firstVersion is the version from which on the ring leads to the newest.
func (l *Log) firstVersion() uint64 { return l.Version() - uint64(len(l.entries)) }

// digestAt is the digest that the state had at a version, if the ring reaches back so far.
func (l *Log) digestAt(version uint64) (uint64, bool) {
	first := l.firstVersion()
	switch {
	case version == l.Version():
		return l.Digest(), true
	case version < first || version > l.Version():
		return 0, false
	case version == first:
		return l.entries[0].change.DigestBefore, true
	}
	return l.entries[version-first-1].change.DigestAfter, true
}

// canReplayFrom tells whether who has this version with this digest can be led on by changes alone. One that is ahead can: it lacks
// nothing yet.
func (l *Log) canReplayFrom(version, digest uint64) bool {
	if version > l.Version() {
		return true
	}
	d, is := l.digestAt(version)
	return is && d == digest
}

// ChangesSince are the changes after a version, in order, for who has that version with that digest; none for who is ahead. False where
// only a snapshot helps.
func (l *Log) ChangesSince(version, digest uint64) ([]*Change, bool) {
	if !l.canReplayFrom(version, digest) {
		return nil, false
	}
	if version >= l.Version() {
		return nil, true
	}
	var all []*Change
	for _, e := range l.entries[version-l.firstVersion():] {
		all = append(all, e.change)
	}
	return all, true
}

// entryAfter is the change that follows a version which the ring reaches, and is not the newest.
func (l *Log) entryAfter(version uint64) entry { return l.entries[version-l.firstVersion()] }

// Snapshot is the state as one message, built at most once for each version.
func (l *Log) Snapshot() *Snapshot { return l.sharedSnapshot().Content.Snapshot }

func (l *Log) sharedSnapshot() *SharedMessage {
	if l.latestSnapshot == nil || l.latestSnapshot.Content.Snapshot.Version != l.Version() {
		l.latestSnapshot = &SharedMessage{Content: Message{Snapshot: &Snapshot{Fleet: l.Fleet(), Version: l.Version(), Digest: l.Digest(), Items: l.state.Items("")}}}
	}
	return l.latestSnapshot
}

// snapshotNewerThan is a snapshot that is newer than a version. The one built last is sent again, with the changes after it to follow,
// while these are few beside it: a relay whose followers all begin anew words the state once, not at each change.
func (l *Log) snapshotNewerThan(version uint64) *SharedMessage {
	if l.latestSnapshot != nil {
		if s := l.latestSnapshot.Content.Snapshot; s.Version > version && l.canReplayFrom(s.Version, s.Digest) {
			behind := 0
			for _, e := range l.entries[s.Version-l.firstVersion():] {
				behind += e.size
			}
			if behind*4 <= s.Size() {
				return l.latestSnapshot
			}
		}
	}
	return l.sharedSnapshot()
}
