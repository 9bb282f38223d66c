package gossip

import (
	"go.uber.org/zap"

	"sabletally/internal/fleet/membership"
)

// say writes one line of the table's for the person with the pager: what was decided, and by which figures.
func (c *Agent) say(l membership.Event) {
	who := []zap.Field{zap.String("member", l.Member.Name), zap.String("id", l.Member.ID), zap.Stringer("addr", l.Member.Addr),
		zap.String("machine", l.Member.Machine), zap.String("zone", l.Member.Zone), zap.String("site", l.Member.Site),
		zap.Int("here", l.Alive), zap.Int("of", l.Total)}
	log := c.opt.Log
	switch l.Kind {
	case membership.MemberJoined:
		log.Info("fleet: member is here", who...)
	case membership.MemberRestarted:
		log.Info("fleet: member was restarted", who...)
	case membership.MemberFailed:
		log.Warn("fleet: member is gone", who...)
	case membership.MemberLeft:
		log.Info("fleet: member has left", who...)
	case membership.MemberFlapping:
		log.Warn("fleet: member comes and goes", append(who, zap.Int("times", l.Returns))...)
	case membership.MemberReplaced:
		log.Warn("fleet: member's directory is lost: another one is at its address", who...)
	case membership.MemberForgotten:
		log.Warn("fleet: member is no part of the fleet any more", who...)
	case membership.ProcessResumed:
		log.Warn("fleet: this process was stopped: nothing that was known holds until most have answered", zap.Duration("for", l.Duration),
			zap.Int("here", l.Alive))
	case membership.StandingChanged:
		told := log.Info
		if l.Standing != membership.Quorum {
			told = log.Warn
		}
		told("fleet: standing", zap.Stringer("standing", l.Standing), zap.Int("here", l.Alive), zap.Int("of", l.Total))
	case membership.TooFewMachines:
		log.Warn("fleet: too few machines are here for all copies", zap.Int("machines", l.Alive), zap.Int("copies", l.Total))
	case membership.EnoughMachines:
		log.Info("fleet: machines enough for all copies", zap.Int("machines", l.Alive), zap.Int("copies", l.Total))
	case membership.DuplicateDetected:
		log.Error("fleet: another process has a copy of this member's directory: end one and give it an empty directory",
			zap.String("id", l.Member.ID), zap.Stringer("addr", l.Member.Addr))
	}
}
