package changefeed

import "fmt"

// snapshotLagDivisor limits the reuse of a cached snapshot: it is sent again while the changes after it have at most 1/snapshotLagDivisor
// of its size.
const snapshotLagDivisor = 4

// LogConfig limits the newest changes that a Log retains. A peer that lacks older changes needs a snapshot.
type LogConfig struct {
	MaxChanges int
	MaxBytes   int // limit of the sum of Change.Size; the newest change is retained whatever its size
}

// Log is a state together with the newest changes that led to it, from which lagging peers are brought up to date.
type Log struct {
	config         LogConfig
	state          *State
	entries        []logEntry // the newest changes in order of their versions, without gaps, up to the state's version
	retainedBytes  int        // sum of the entries' sizes
	latestSnapshot *SharedMessage
}

// logEntry is a retained change with its shared message and its size.
type logEntry struct {
	change  *Change
	message *SharedMessage
	size    int
}

// NewLog returns a log with an empty state. It retains at least one change, whatever the configuration.
func NewLog(config LogConfig) *Log {
	config.MaxChanges = max(1, config.MaxChanges)
	config.MaxBytes = max(1, config.MaxBytes)
	return &Log{config: config, state: NewState()}
}

// State returns the newest state. Only the log may modify it.
func (l *Log) State() *State { return l.state }

// Fleet returns the ID of the state's fleet, empty until it is known.
func (l *Log) Fleet() string { return l.state.Fleet() }

// Version returns the state's version.
func (l *Log) Version() uint64 { return l.state.Version() }

// Digest returns the state's digest.
func (l *Log) Digest() uint64 { return l.state.Digest() }

// Changes returns the number of retained changes.
func (l *Log) Changes() int { return len(l.entries) }

// Bytes returns the sum of the sizes of the retained changes.
func (l *Log) Bytes() int { return l.retainedBytes }

// Append creates the next version from items: it applies and retains the change and returns it for replication. The items are retained,
// not copied. After an error, which wraps ErrInvalidItem, ErrFull or ErrForeignFleet, the log is unchanged.
func (l *Log) Append(items []Item) (Change, error) {
	change, err := l.state.nextChange(items)
	if err != nil {
		return Change{}, err
	}
	return change, l.Apply(change)
}

// Apply applies and retains the next change. It returns ErrConflict for an older change whose result differs from the digest that the log
// retains for that version. After an error the log is unchanged.
func (l *Log) Apply(change Change) error {
	if change.Version < l.Version() {
		if digest, ok := l.digestAt(change.Version); ok && digest != change.DigestAfter {
			return fmt.Errorf("%w: change to version %d with digest %016x, here %016x", ErrConflict, change.Version, change.DigestAfter, digest)
		}
	}
	if err := l.state.Apply(change); err != nil {
		return err
	}
	applied := logEntry{change: &change, size: change.Size()}
	applied.message = &SharedMessage{Content: Message{Change: applied.change}}
	l.entries = append(l.entries, applied)
	l.retainedBytes += applied.size
	l.truncate()
	return nil
}

// truncate drops the oldest changes until the rest is within the limits of the configuration. It always keeps the newest change.
func (l *Log) truncate() {
	dropped := 0
	for len(l.entries)-dropped > 1 && (len(l.entries)-dropped > l.config.MaxChanges || l.retainedBytes > l.config.MaxBytes) {
		l.retainedBytes -= l.entries[dropped].size
		l.entries[dropped] = logEntry{}
		dropped++
	}
	l.entries = l.entries[dropped:]
}

// Install replaces the state by a newer snapshot and drops all retained changes. A snapshot of the state's own version changes nothing.
func (l *Log) Install(snapshot Snapshot) error {
	before := l.Version()
	if err := l.state.Install(snapshot); err != nil {
		return err
	}
	if l.Version() != before {
		l.entries = nil
		l.retainedBytes = 0
		l.latestSnapshot = nil
	}
	return nil
}

// oldestReplayableVersion returns the oldest version from which the retained changes lead to the newest version.
func (l *Log) oldestReplayableVersion() uint64 { return l.Version() - uint64(len(l.entries)) }

// digestAt returns the digest of the state at a version; false if the retained changes do not reach back to it.
func (l *Log) digestAt(version uint64) (uint64, bool) {
	first := l.oldestReplayableVersion()
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

// canReplayFrom reports whether a peer with this version and digest can be brought up to date by changes alone. That holds for a peer
// ahead of the log, too: it needs nothing yet.
func (l *Log) canReplayFrom(version, digest uint64) bool {
	if version > l.Version() {
		return true
	}
	known, ok := l.digestAt(version)
	return ok && known == digest
}

// ChangesSince returns the changes after a version, in order, for a peer with that version and digest; for a peer ahead of the log it
// returns none. It returns false if the peer needs a snapshot.
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

// entriesAfter returns the retained changes after a version, which must not be older than oldestReplayableVersion.
func (l *Log) entriesAfter(version uint64) []logEntry {
	return l.entries[version-l.oldestReplayableVersion():]
}

// entryAfter returns the change that follows a version, which must be older than the newest version but not older than
// oldestReplayableVersion.
func (l *Log) entryAfter(version uint64) logEntry {
	return l.entries[version-l.oldestReplayableVersion()]
}

// Snapshot returns a snapshot of the state. It is built at most once for each version.
func (l *Log) Snapshot() *Snapshot { return l.sharedSnapshot().Content.Snapshot }

// sharedSnapshot returns a snapshot of the newest version as a message, from the cache if it is still that version.
func (l *Log) sharedSnapshot() *SharedMessage {
	if l.latestSnapshot == nil || l.latestSnapshot.Content.Snapshot.Version != l.Version() {
		snapshot := &Snapshot{Fleet: l.Fleet(), Version: l.Version(), Digest: l.Digest(), Items: l.state.Items("")}
		l.latestSnapshot = &SharedMessage{Content: Message{Snapshot: snapshot}}
	}
	return l.latestSnapshot
}

// snapshotNewerThan returns a snapshot that is newer than a version. It reuses the cached snapshot while the changes after it are small in
// comparison, so that many subscribers that start at once do not cause a new snapshot for each change.
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
	if lag*snapshotLagDivisor <= cached.Size() {
		return l.latestSnapshot
	}
	return l.sharedSnapshot()
}
