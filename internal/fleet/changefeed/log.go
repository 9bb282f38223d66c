package changefeed

import "fmt"

// LogConfig bounds the ring of newest changes; what is cut from it is no longer told by changes, but by a snapshot.
type LogConfig struct {
	MaxChanges int // changes
	MaxBytes   int // of them, as Change.Size counts; the newest one is kept whatever its size
}

// Log is a state with the newest of the changes that led to it.
type Log struct {
	cfg   LogConfig
	state *State
	ring  []entry // the newest changes in order, without a gap, up to the state's version
	bytes int
	snap  *SharedMessage // the newest that was built, nil where there is none
}

type entry struct {
	change *Change
	out    *SharedMessage
	size   int
}

// NewLog begins empty.
func NewLog(cfg LogConfig) *Log {
	return &Log{cfg: LogConfig{MaxChanges: max(1, cfg.MaxChanges), MaxBytes: max(1, cfg.MaxBytes)}, state: NewState()}
}

// State is what the log has come to, not to be changed but through the log.
func (l *Log) State() *State { return l.state }

// Fleet, Version and Digest are the state's.
func (l *Log) Fleet() string   { return l.state.Fleet() }
func (l *Log) Version() uint64 { return l.state.Version() }
func (l *Log) Digest() uint64  { return l.state.Digest() }

// Changes is the number of changes in the ring, Bytes their size.
func (l *Log) Changes() int { return len(l.ring) }
func (l *Log) Bytes() int   { return l.bytes }

// Append makes the next version at the source: the change is applied, kept, and handed out for the others. The items are kept as
// they are. ErrItem, ErrFull and ErrFleet leave all as it was.
func (l *Log) Append(items []Item) (Change, error) {
	c, err := l.state.next(items)
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
	e.out = &SharedMessage{Content: Message{Change: e.change}}
	l.ring = append(l.ring, e)
	l.bytes += e.size
	cut := 0
	for len(l.ring)-cut > 1 && (len(l.ring)-cut > l.cfg.MaxChanges || l.bytes > l.cfg.MaxBytes) {
		l.bytes -= l.ring[cut].size
		l.ring[cut] = entry{}
		cut++
	}
	l.ring = l.ring[cut:]
	return nil
}

// Install replaces all by a snapshot; the changes before it are forgotten.
func (l *Log) Install(n Snapshot) error {
	was := l.Version()
	if err := l.state.Install(n); err != nil {
		return err
	}
	if l.Version() != was {
		l.ring, l.bytes, l.snap = nil, 0, nil
	}
	return nil
}

// first is the version from which on the ring leads to the newest.
func (l *Log) first() uint64 { return l.Version() - uint64(len(l.ring)) }

// digestAt is the digest that the state had at a version, if the ring reaches back so far.
func (l *Log) digestAt(version uint64) (uint64, bool) {
	first := l.first()
	switch {
	case version == l.Version():
		return l.Digest(), true
	case version < first || version > l.Version():
		return 0, false
	case version == first:
		return l.ring[0].change.DigestBefore, true
	}
	return l.ring[version-first-1].change.DigestAfter, true
}

// reaches tells whether who has this version with this digest can be led on by changes alone. One that is ahead can: it lacks
// nothing yet.
func (l *Log) reaches(version, digest uint64) bool {
	if version > l.Version() {
		return true
	}
	d, is := l.digestAt(version)
	return is && d == digest
}

// ChangesSince are the changes after a version, in order, for who has that version with that digest; none for who is ahead. False where
// only a snapshot helps.
func (l *Log) ChangesSince(version, digest uint64) ([]*Change, bool) {
	if !l.reaches(version, digest) {
		return nil, false
	}
	if version >= l.Version() {
		return nil, true
	}
	var all []*Change
	for _, e := range l.ring[version-l.first():] {
		all = append(all, e.change)
	}
	return all, true
}

// after is the change that follows a version which the ring reaches, and is not the newest.
func (l *Log) after(version uint64) entry { return l.ring[version-l.first()] }

// Snapshot is the state as one message, built at most once for each version.
func (l *Log) Snapshot() *Snapshot { return l.snapshot().Content.Snapshot }

func (l *Log) snapshot() *SharedMessage {
	if l.snap == nil || l.snap.Content.Snapshot.Version != l.Version() {
		l.snap = &SharedMessage{Content: Message{Snapshot: &Snapshot{Fleet: l.Fleet(), Version: l.Version(), Digest: l.Digest(), Items: l.state.Items("")}}}
	}
	return l.snap
}

// snapshotOver is a snapshot that is newer than a version. The one built last is sent again, with the changes after it to follow,
// while these are few beside it: a relay whose followers all begin anew words the state once, not at each change.
func (l *Log) snapshotOver(version uint64) *SharedMessage {
	if l.snap != nil {
		if s := l.snap.Content.Snapshot; s.Version > version && l.reaches(s.Version, s.Digest) {
			behind := 0
			for _, e := range l.ring[s.Version-l.first():] {
				behind += e.size
			}
			if behind*4 <= s.Size() {
				return l.snap
			}
		}
	}
	return l.snapshot()
}
