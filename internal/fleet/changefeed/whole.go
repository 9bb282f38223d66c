package changefeed

// NewSnapshot is a state that came to be elsewhere than in a Log, as one message: its items in the order of their keys, their values
// shared. Items that no State takes make one that none installs.
func NewSnapshot(fleet string, version uint64, items []Item) *Snapshot {
	sum := uint64(0)
	for _, i := range items {
		sum += hashItem(i.Key, i.Value)
	}
	return &Snapshot{Fleet: fleet, Version: version, Digest: sum + mixBits(version), Items: items}
}
