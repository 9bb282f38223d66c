package replication

// Write is a change of one shard that has to be written to disk.
type Write struct {
	Shard  int
	Ballot Ballot
	// ReplaceAll deletes all records of the shard before Records are written.
	ReplaceAll bool
	// Records are the records to write. A record with version 0 is deleted.
	Records []Record
}

// Ready is the work that a Node hands to its caller. Messages and Results may be sent only once Writes are on disk.
type Ready struct {
	Writes   []Write
	Messages []Message
	// Results are the results of operations that were submitted at this member.
	Results []Result
	Reports []ReplicaReport
}

// Empty reports whether there is nothing to do.
func (r Ready) Empty() bool {
	return len(r.Writes)+len(r.Messages)+len(r.Results)+len(r.Reports) == 0
}
