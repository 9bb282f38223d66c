package policy

import (
	"slices"
	"time"
)

// drainWindow is the time in which a draining balancer migrates all of its sessions.
type drainWindow struct {
	from  time.Duration // start of the migrations
	until time.Duration // end of the migrations; never unless the balancer drains
}

// StartDraining migrates all established sessions evenly between two times. New sessions are rejected from now
// on.
func (b *Balancer) StartDraining(from, until time.Duration) { b.drainWindow = drainWindow{from, until} }

// StopDraining ends draining, so that new sessions are admitted again.
func (b *Balancer) StopDraining() { b.drainWindow.until = never }

func (b *Balancer) isDraining() bool { return b.drainWindow.until < never }

// migrateForDraining plans to migrate an even part of the sessions in each round, so that the other balancers do
// not get all of them at once. The sessions are taken from all endpoints alike.
func (b *Balancer) migrateForDraining() {
	if b.now < b.drainWindow.from {
		return
	}
	inOrder := func(_, _ *session) int { return 0 }
	var sessions []*session
	for _, e := range b.endpoints {
		sessions = append(sessions, migratableSessions(e, inOrder)...)
	}
	slices.SortStableFunc(sessions, func(x, y *session) int { return x.position - y.position })
	rounds := max(1, int((b.drainWindow.until-b.now)/roundInterval))
	for _, s := range sessions[:(len(sessions)+rounds-1)/rounds] {
		b.migrate(s)
	}
}
