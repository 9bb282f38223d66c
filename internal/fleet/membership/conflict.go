package membership

import "net/netip"

// conflict is whether another process runs with this member's ID.
type conflict struct {
	probing   bool
	confirmed bool // for as long as this process runs
}

// HandleConflict takes that this member's own ID was seen at another address: its own one before, or that of a process with a copy of its
// data directory.
func (t *Table) HandleConflict(addr netip.AddrPort) {
	if t.conflict.probing || t.conflict.confirmed || addr == t.cfg.Self.Addr {
		return
	}
	t.conflict.probing = true
	t.request(Action{Kind: ProbeDuplicate, Addr: addr})
}

// HandleProbeResult takes whether a process with this member's ID responded. Neither of the two promises anything from then on, as neither
// can know to whom the records belong.
func (t *Table) HandleProbeResult(addr netip.AddrPort, isRunning bool) {
	t.conflict.probing = false
	if isRunning && !t.conflict.confirmed {
		t.conflict.confirmed = true
		t.report(Event{Kind: DuplicateDetected, Member: Member{ID: t.cfg.Self.ID, Addr: addr}})
		t.reportChanges()
	}
}
