package gossip

import (
	"go.uber.org/zap"

	"sabletally/internal/fleet/membership"
)

// logEvent logs one event of the table with its figures. docs/fleet.md says what operators have to do at each line.
func (a *Agent) logEvent(event membership.Event) {
	log := a.opt.Log
	alive := zap.Int("alive", event.Alive)
	total := zap.Int("total", event.Total)
	member := append(memberFields(event.Member), alive, total)
	switch event.Kind {
	case membership.MemberJoined:
		log.Info("fleet: member joined", member...)
	case membership.MemberRestarted:
		log.Info("fleet: member restarted", member...)
	case membership.MemberFailed:
		log.Warn("fleet: member failed", member...)
	case membership.MemberLeft:
		log.Info("fleet: member left", member...)
	case membership.MemberFlapping:
		log.Warn("fleet: member is flapping", append(member, zap.Int("times", event.Returns))...)
	case membership.MemberReplaced:
		log.Warn("fleet: member's data directory is lost, another member uses its address", member...)
	case membership.MemberForgotten:
		log.Warn("fleet: member forgotten", member...)
	case membership.ProcessResumed:
		log.Warn("fleet: process was suspended, no quorum until a majority of members responds", zap.Duration("for", event.Duration), alive)
	case membership.StandingChanged:
		write := log.Warn
		if event.Standing == membership.Quorum {
			write = log.Info
		}
		write("fleet: standing changed", zap.Stringer("standing", event.Standing), alive, total)
	case membership.TooFewMachines:
		log.Warn("fleet: too few machines for all replicas", zap.Int("machines", event.Alive), zap.Int("replicas", event.Total))
	case membership.EnoughMachines:
		log.Info("fleet: enough machines for all replicas", zap.Int("machines", event.Alive), zap.Int("replicas", event.Total))
	case membership.DuplicateDetected:
		log.Error("fleet: another process uses a copy of this member's data directory, stop one of them and give it an empty directory",
			zap.String("id", event.Member.ID), zap.Stringer("addr", event.Member.Addr))
	}
}

// memberFields returns the log fields that describe a member.
func memberFields(m membership.Member) []zap.Field {
	return []zap.Field{
		zap.String("member", m.Name),
		zap.String("id", m.ID),
		zap.Stringer("addr", m.Addr),
		zap.String("machine", m.Machine),
		zap.String("zone", m.Zone),
		zap.String("site", m.Site),
	}
}
