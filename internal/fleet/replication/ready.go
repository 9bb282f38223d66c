package replication

// Write is a change of one shard on disk.
type Write struct {
	Shard  int
	Ballot Ballot
	// ReplaceAll deletes all records of the shard before Records are written.
	ReplaceAll bool
	// Records are to be written; one with version 0 is to be deleted.
	Records []Record
}

// Ready is what the caller has to do. Writes come first: Messages and Results may go out only once these are on disk.
type Ready struct {
	Writes   []Write
	Messages []Message
	// Results are those of operations that were submitted at this member.
	Results []Result
	Reports []ReplicaReport
}

// Empty reports whether there is nothing to do.
func (r Ready) Empty() bool {
	return len(r.Writes)+len(r.Messages)+len(r.Results)+len(r.Reports) == 0
}
