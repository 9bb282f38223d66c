package changefeed

import "fmt"

// maxSnapshotLag is the largest size of the changes after a cached snapshot, as a fraction 1/maxSnapshotLag of the snapshot, up to which
// the snapshot is sent again.
const maxSnapshotLag = 4

// LogConfig bounds the newest changes that a Log retains. Older ones can only be replaced by a snapshot.
type LogConfig struct {
	MaxChanges int
	MaxBytes   int // by Change.Size; the newest change is retained whatever its size
}

// Log is a state with the newest changes that led to it.
type Log struct {
	config         LogConfig
	state          *State
	entries        []entry // the newest changes in order, without a gap, up to the state's version
	bytes          int     // of the entries
	latestSnapshot *SharedMessage
}

// entry is a retained change.
type entry struct {
	change  *Change
	message *SharedMessage
	size    int
}

// NewLog returns an empty log.
func NewLog(config LogConfig) *Log {
	config.MaxChanges = max(1, config.MaxChanges)
	config.MaxBytes = max(1, config.MaxBytes)
	return &Log{config: config, state: NewState()}
}

// State returns the newest state, which must only be modified by the log.
func (l *Log) State() *State { return l.state }

// Fleet is the ID of the state's fleet, empty before it is known.
func (l *Log) Fleet() string { return l.state.Fleet() }

// Version is the state's version.
func (l *Log) Version() uint64 { return l.state.Version() }

// Digest is the state's digest.
func (l *Log) Digest() uint64 { return l.state.Digest() }

// Changes is the number of retained changes.
func (l *Log) Changes() int { return len(l.entries) }

// Bytes is the size of the retained changes.
func (l *Log) Bytes() int { return l.bytes }

// Append creates the next version: it applies and retains the change, and returns it for replication. The items are retained, not
// copied. ErrInvalidItem, ErrFull and ErrForeignFleet leave the log as it was.
func (l *Log) Append(items []Item) (Change, error) {
	change, err := l.state.nextChange(items)
	if err != nil {
		return Change{}, err
	}
	return change, l.Apply(change)
}

// Apply applies the next change. An old change whose content differs from the retained one is ErrConflict.
func (l *Log) Apply(change Change) error {
	if change.Version < l.Version() {
		if digest, ok := l.digestAt(change.Version); ok && digest != change.DigestAfter {
			return fmt.Errorf("%w: version %d with digest %016x, here %016x", ErrConflict, change.Version, change.DigestAfter, digest)
		}
	}
	if err := l.state.Apply(change); err != nil {
		return err
	}
	applied := entry{change: &change, size: change.Size()}
	applied.message = &SharedMessage{Content: Message{Change: applied.change}}
	l.entries = append(l.entries, applied)
	l.bytes += applied.size
	l.truncate()
	return nil
}

// truncate drops the oldest changes until the rest is within the bounds; the newest one is kept in any case.
func (l *Log) truncate() {
	dropped := 0
	for len(l.entries)-dropped > 1 && (len(l.entries)-dropped > l.config.MaxChanges || l.bytes > l.config.MaxBytes) {
		l.bytes -= l.entries[dropped].size
		l.entries[dropped] = entry{}
		dropped++
	}
	l.entries = l.entries[dropped:]
}

// Install replaces the state by a snapshot and drops all retained changes, unless the log has that version already.
func (l *Log) Install(snapshot Snapshot) error {
	before := l.Version()
	if err := l.state.Install(snapshot); err != nil {
		return err
	}
	if l.Version() != before {
		l.entries = nil
		l.bytes = 0
		l.latestSnapshot = nil
	}
	return nil
}

// firstVersion is the oldest version from which the retained changes lead to the newest one.
func (l *Log) firstVersion() uint64 { return l.Version() - uint64(len(l.entries)) }

// digestAt is the digest of the state at a version, if the retained changes reach back to it.
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

// canReplayFrom reports whether a peer with this version and digest can be brought up to date by changes alone. A peer that is ahead
// can: it lacks nothing yet.
func (l *Log) canReplayFrom(version, digest uint64) bool {
	if version > l.Version() {
		return true
	}
	known, ok := l.digestAt(version)
	return ok && known == digest
}

// ChangesSince returns the changes after a version, in order, for a peer with that version and digest; none for a peer that is ahead.
// It returns false where a snapshot is needed.
func (l *Log) ChangesSince(version, digest uint64) ([]*Change, bool) {
	if !l.canReplayFrom(version, digest) {
		return nil, false
	}
	if version >= l.Version() {
		return nil, true
	}
	var changes []*Change
	for _, e := range l.entriesAfter(version) {
		changes = append(changes, e.change)
	}
	return changes, true
}

// entriesAfter returns the changes after a version that the log reaches back to.
func (l *Log) entriesAfter(version uint64) []entry { return l.entries[version-l.firstVersion():] }

// entryAfter returns the change that follows a version, which the log reaches back to and which is not the newest.
func (l *Log) entryAfter(version uint64) entry { return l.entries[version-l.firstVersion()] }

// Snapshot returns the state as a message. It is built at most once for each version.
func (l *Log) Snapshot() *Snapshot { return l.sharedSnapshot().Content.Snapshot }

func (l *Log) sharedSnapshot() *SharedMessage {
	if l.latestSnapshot == nil || l.latestSnapshot.Content.Snapshot.Version != l.Version() {
		snapshot := &Snapshot{Fleet: l.Fleet(), Version: l.Version(), Digest: l.Digest(), Items: l.state.Items("")}
		l.latestSnapshot = &SharedMessage{Content: Message{Snapshot: snapshot}}
	}
	return l.latestSnapshot
}

// snapshotNewerThan returns a snapshot that is newer than a version. The cached one is returned while the changes after it are small
// compared with it, so that many subscribers that start at once do not cause a new snapshot for each change.
func (l *Log) snapshotNewerThan(version uint64) *SharedMessage {
	if l.latestSnapshot == nil {
		return l.sharedSnapshot()
	}
	cached := l.latestSnapshot.Content.Snapshot
	if cached.Version <= version || !l.canReplayFrom(cached.Version, cached.Digest) {
		return l.sharedSnapshot()
	}
	lag := 0
	for _, e := range l.entriesAfter(cached.Version) {
		lag += e.size
	}
	if lag*maxSnapshotLag <= cached.Size() {
		return l.latestSnapshot
	}
	return l.sharedSnapshot()
}
