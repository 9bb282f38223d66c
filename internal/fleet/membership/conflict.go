package membership

import "net/netip"

// conflict tracks whether another process runs with this member's ID.
type conflict struct {
	probing   bool // whether a ProbeDuplicate action is in flight
	confirmed bool // whether the other process responded; stays set until this process ends
}

// HandleConflict handles a report that this member's own ID was seen at another address. That is either this member's own previous address
// or the address of a process with a copy of its data directory.
func (t *Table) HandleConflict(addr netip.AddrPort) {
	if t.conflict.probing || t.conflict.confirmed || addr == t.cfg.Self.Addr {
		return
	}
	t.conflict.probing = true
	t.addAction(Action{Kind: ProbeDuplicate, Addr: addr})
}

// HandleProbeResult handles the result of ProbeDuplicate: whether a process with this member's ID responded. If one did, both processes stay
// in the quorum state Duplicate, as neither can know which of them owns the records.
func (t *Table) HandleProbeResult(addr netip.AddrPort, isRunning bool) {
	t.conflict.probing = false
	if isRunning && !t.conflict.confirmed {
		t.conflict.confirmed = true
		t.report(Event{Kind: DuplicateDetected, Member: Member{ID: t.cfg.Self.ID, Addr: addr}})
		t.reportChanges()
	}
}
