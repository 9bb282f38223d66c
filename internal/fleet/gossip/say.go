package gossip

import (
	"go.uber.org/zap"

	"sabletally/internal/fleet/membership"
)

// say writes one line of the table's for the person with the pager: what was decided, and by which figures.
func (c *Contact) say(l membership.Line) {
	who := []zap.Field{zap.String("member", l.Member.Name), zap.String("id", l.Member.ID), zap.Stringer("addr", l.Member.Addr),
		zap.String("machine", l.Member.Machine), zap.String("zone", l.Member.Zone), zap.String("site", l.Member.Site),
		zap.Int("here", l.Here), zap.Int("of", l.Of)}
	log := c.opt.Log
	switch l.Kind {
	case membership.Came:
		log.Info("fleet: member is here", who...)
	case membership.Restarted:
		log.Info("fleet: member was restarted", who...)
	case membership.Died:
		log.Warn("fleet: member is gone", who...)
	case membership.Went:
		log.Info("fleet: member has left", who...)
	case membership.Flaps:
		log.Warn("fleet: member comes and goes", append(who, zap.Int("times", l.Came))...)
	case membership.Replaced:
		log.Warn("fleet: member's directory is lost: another one is at its address", who...)
	case membership.Forgotten:
		log.Warn("fleet: member is no part of the fleet any more", who...)
	case membership.Woke:
		log.Warn("fleet: this process was stopped: nothing that was known holds until most have answered", zap.Duration("for", l.For),
			zap.Int("here", l.Here))
	case membership.Stands:
		told := log.Info
		if l.Standing != membership.Together {
			told = log.Warn
		}
		told("fleet: standing", zap.Stringer("standing", l.Standing), zap.Int("here", l.Here), zap.Int("of", l.Of))
	case membership.TooFew:
		log.Warn("fleet: too few machines are here for all copies", zap.Int("machines", l.Here), zap.Int("copies", l.Of))
	case membership.Enough:
		log.Info("fleet: machines enough for all copies", zap.Int("machines", l.Here), zap.Int("copies", l.Of))
	case membership.IsDoubled:
		log.Error("fleet: another process has a copy of this member's directory: end one and give it an empty directory",
			zap.String("id", l.Member.ID), zap.Stringer("addr", l.Member.Addr))
	}
}
